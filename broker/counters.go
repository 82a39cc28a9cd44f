package broker

import (
	"expvar"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
)

// counters are the entry's metrics. Refusals are in the metrics group
// "broker_refusals" by reason, the others in group "broker".
type counters struct {
	refusals map[request.Reason]*expvar.Int // read-only once created

	grants, returned, withdrawn, redirected, requeued                                   *expvar.Int
	sessionsOpened, sessionsLost, sessionsSilent, sessionsReset, notOwner, ownerChanged *expvar.Int
	sendFailed, batchGaps, lateGrants, repeatedGrants                                   *expvar.Int
	unknownServer, wrongVersion, pushedBack, degradedEntered, degradedLeft, badMessages *expvar.Int
}

func newCounters(m *metrics.Registry) counters {
	c := func(name string) *expvar.Int { return m.Counter("broker", name) }
	return counters{
		refusals: refusalCounters(m),
		grants:   c("grants"), returned: c("grants_returned"), withdrawn: c("withdrawn"),
		redirected: c("redirected"), requeued: c("enqueued_again"),
		sessionsOpened: c("sessions_opened"), sessionsLost: c("sessions_lost"), sessionsSilent: c("sessions_silent"),
		sessionsReset: c("sessions_reset"), notOwner: c("not_owner"), ownerChanged: c("owner_changed"),
		sendFailed: c("send_failed"), batchGaps: c("batch_gaps"), lateGrants: c("late_grants"),
		repeatedGrants: c("doubled_grants"), unknownServer: c("unknown_server"), wrongVersion: c("wrong_version"), pushedBack: c("pushed_back"),
		degradedEntered: c("degraded_entered"), degradedLeft: c("degraded_left"), badMessages: c("bad_messages"),
	}
}

func refusalCounters(m *metrics.Registry) map[request.Reason]*expvar.Int {
	all := map[request.Reason]*expvar.Int{}
	for _, r := range request.Reasons() {
		all[r] = m.Counter("broker_refusals", string(r))
	}
	return all
}

// refusalCounter returns the counter of a reason. A reason that only a newer
// version of the owner knows counts as internal.
func (c counters) refusalCounter(r request.Reason) *expvar.Int {
	if v := c.refusals[r]; v != nil {
		return v
	}
	return c.refusals[request.ReasonInternal]
}
