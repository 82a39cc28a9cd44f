package poolhost

import (
	"expvar"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
)

// counters are the host's; names are those of the metrics group "poolhost".
type counters struct {
	sessions, resets, gaps, silentSessions, sendFailed    *expvar.Int
	takenBack, entriesEnded, unknownReleases, badMessages *expvar.Int
	probeMisses, cacheGaps, suspectsShared, serversDown   *expvar.Int

	tiers [request.MaxTiers]tierCounters
}

func newCounters(m *metrics.Registry) counters {
	c := func(name string) *expvar.Int { return m.Counter("poolhost", name) }
	return counters{
		sessions: c("sessions_opened"), resets: c("sessions_reset"), gaps: c("batch_gaps"),
		silentSessions: c("sessions_silent"), sendFailed: c("send_failed"),
		takenBack: c("grants_taken_back"), entriesEnded: c("entries_ended"), unknownReleases: c("unknown_releases"),
		badMessages: c("bad_messages"), probeMisses: c("probe_misses"),
		cacheGaps: c("cache_event_gaps"), suspectsShared: c("suspects_shared"),
		serversDown: c("servers_down"),
		tiers:       newTierCounters(m),
	}
}
