package forward

import (
	"expvar"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
)

// counters count what becomes of requests.
type counters struct {
	refusals     map[request.Reason]*expvar.Int
	sends        map[string]*expvar.Int
	malformed    *expvar.Int
	retryFailed  *expvar.Int
	budgetDenied *expvar.Int
	resumed      *expvar.Int
	cut          *expvar.Int
}

// The causes of a failed send.
const (
	causeNotSent     = "not_sent"
	causeNotExecuted = "not_executed"
	causeLost        = "lost"
)

func newCounters(m *metrics.Registry) *counters {
	c := &counters{refusals: map[request.Reason]*expvar.Int{}, sends: map[string]*expvar.Int{}}
	for _, r := range request.Reasons() {
		c.refusals[r] = m.Counter("refusals", string(r))
	}
	for _, cause := range []string{causeNotSent, causeNotExecuted, causeLost} {
		c.sends[cause] = m.Counter("sends_failed", cause)
	}
	c.malformed = m.Counter("forward", "malformed")
	c.retryFailed = m.Counter("retries", "server_failed")
	c.budgetDenied = m.Counter("retries", "denied_by_budget")
	c.resumed = m.Counter("streams", "resumed")
	c.cut = m.Counter("streams", "cut")
	return c
}

func (c *counters) refused(r request.Reason) {
	if n := c.refusals[r]; n != nil {
		n.Add(1)
	}
}

func causeOf(err error) string {
	switch {
	case errors.Is(err, errNotExecuted):
		return causeNotExecuted
	case errors.Is(err, engine.ErrNotSent):
		return causeNotSent
	default:
		return causeLost
	}
}

func (c *counters) sendFailed(err error) { c.sends[causeOf(err)].Add(1) }

func (x *exchange) fields() logrus.Fields {
	f := logrus.Fields{"request": x.callerID, "age_ms": x.age()}
	if x.route != nil {
		f["route"] = x.route.Name
	}
	if x.workspace != nil {
		f["workspace"] = x.workspace.Name
	}
	if x.out != nil {
		f["server"] = x.out.serverID
	}
	return f
}

func (x *exchange) logSend(err error) {
	x.server.log.WithFields(x.fields()).WithField("cause", causeOf(err)).WithError(err).Info("Send failed.")
}

func (x *exchange) logRefusal(r *request.Refusal) {
	x.server.log.WithFields(x.fields()).WithField("reason", r.Reason).WithField("not_run", r.NotRun.JSON()).WithError(r).Info("Refused.")
}

func (x *exchange) logAnswer(err error) {
	if err != nil {
		x.server.log.WithFields(x.fields()).WithError(err).Info("Stream cut.")
	}
}
