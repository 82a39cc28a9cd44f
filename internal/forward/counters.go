package forward

import (
	"expvar"

	"github.com/pkg/errors"

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
	// hedges counts second sends beside a silent stream, hedgesSpared those of them
	// whose stream went on by itself.
	hedges, hedgesSpared *expvar.Int
	answered             *expvar.Int
	// runningOmitted counts the requests that ran for long without a line of it.
	runningOmitted *expvar.Int

	waited, connected, first, gap, total *metrics.Histogram
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
	c.hedges = m.Counter("retries", "silent_stream")
	c.hedgesSpared = m.Counter("streams", "went_on_beside_a_hedge")
	c.answered = m.Counter("forward", "answered")
	c.runningOmitted = m.Counter("forward", "running_lines_omitted")
	c.waited = m.Histogram("latency", "wait_for_slot")
	c.connected = m.Histogram("latency", "connect")
	c.first = m.Histogram("latency", "first_event")
	c.gap = m.Histogram("latency", "gap_between_events")
	c.total = m.Histogram("latency", "whole_answer")
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
