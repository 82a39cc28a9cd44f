package poolhost

import (
	"expvar"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
)

// counters are the host's counters, in the metrics group "poolhost".
type counters struct {
	sessionsOpened, sessionResets, batchGaps, sessionTimeouts, sendFailed                        *expvar.Int
	grantsReclaimed, entriesEnded, unknownReleases, badMessages                                  *expvar.Int
	probeMisses, cacheEventGaps, suspectsShared, breakersOpened, crashes, pauses, brittleChanges *expvar.Int

	rateChanges, traitChanges, leavingAnnounced *expvar.Int

	tiers [request.MaxTiers]tierCounters
}

func newCounters(m *metrics.Registry) counters {
	c := func(name string) *expvar.Int { return m.Counter("poolhost", name) }
	return counters{
		sessionsOpened: c("sessions_opened"), sessionResets: c("sessions_reset"), batchGaps: c("batch_gaps"),
		sessionTimeouts: c("sessions_silent"), sendFailed: c("send_failed"),
		grantsReclaimed: c("grants_taken_back"), entriesEnded: c("entries_ended"), unknownReleases: c("unknown_releases"),
		badMessages: c("bad_messages"), probeMisses: c("probe_misses"),
		cacheEventGaps: c("cache_event_gaps"), suspectsShared: c("suspects_shared"),
		breakersOpened: c("servers_down"), crashes: c("servers_crashed"), pauses: c("servers_paused"), brittleChanges: c("servers_brittle_changed"), rateChanges: c("server_rates_changed"),
		traitChanges: c("traits_changed"), leavingAnnounced: c("servers_leaving_announced"),
		tiers: newTierCounters(m),
	}
}
