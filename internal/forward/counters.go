package forward

import (
	"expvar"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
)

// counters count requests and attempts by their outcome.
type counters struct {
	refusals          map[request.Reason]*expvar.Int
	failedSends       map[string]*expvar.Int
	malformedRequests *expvar.Int
	// connectionsClosedIdle counts callers' idle connections that gave way to others,
	// connectionsClosedSlow those whose caller had stopped to send or to read, requestsEvicted
	// the requests that did, connectionsRefused the connections that were closed unread.
	connectionsClosedIdle, connectionsClosedSlow, requestsEvicted, connectionsRefused *expvar.Int
	// overloads counts how often the daemon began to turn callers away in overload, and
	// connectionsShed the connections that it closed unread.
	overloads, connectionsShed *expvar.Int
	retriedFailures            *expvar.Int
	// retriesAllowed counts what the budget allowed, retriesSent what was sent to a server,
	// retriesWithdrawn what was allowed and is not any more when it would be sent.
	retriesAllowed, retriesDenied, retriesSent, retriesWithdrawn *expvar.Int

	// malformedEvents counts the events at which a server's stream could not be read further.
	malformedEvents map[eventFault]*expvar.Int
	// malformedHeads counts the answers that were lost as their head is none.
	malformedHeads map[httpconn.HeadFault]*expvar.Int
	streamsResumed *expvar.Int
	streamsCut     *expvar.Int
	// streamsTakenUp counts requests for the rest of a stream, versionsMixed streams that
	// went on at another version within one answer.
	streamsTakenUp, versionsMixed *expvar.Int
	// hedges counts the hedged attempts of silent streams, hedgesUnused those whose
	// original stream continued first.
	hedges, hedgesUnused *expvar.Int
	answered             *expvar.Int
	// panics counts the requests that were lost by a panic.
	panics *expvar.Int
	// invalidRates counts the answers that name a limit which is no decimal number.
	invalidRates *expvar.Int
	// invalidLeaving counts the answers whose leaving header has no known value.
	invalidLeaving *expvar.Int
	// invalidPushbacks counts the refusals whose Retry-After is no number of seconds.
	invalidPushbacks *expvar.Int
	// runningOmitted counts the "Still running." lines that the rate limit suppressed.
	runningOmitted *expvar.Int

	// retryWait is the time from a retry's permission to its first byte.
	retryWait *metrics.Histogram

	slotWait, connectTime, firstEvent, eventGap, totalTime *metrics.Histogram
}

// The causes of a failed send, as logs and metrics name them.
const (
	causeNotSent     = "not_sent"
	causeNotExecuted = "not_executed"
	causeLost        = "lost"
)

func newCounters(m *metrics.Registry) *counters {
	c := &counters{refusals: map[request.Reason]*expvar.Int{}, failedSends: map[string]*expvar.Int{}}
	for _, r := range request.Reasons() {
		c.refusals[r] = m.Counter("refusals", string(r))
	}
	for _, cause := range []string{causeNotSent, causeNotExecuted, causeLost} {
		c.failedSends[cause] = m.Counter("sends_failed", cause)
	}
	c.malformedEvents = map[eventFault]*expvar.Int{}
	for _, f := range eventFaults() {
		c.malformedEvents[f] = m.Counter("malformed_events", string(f))
	}
	c.malformedHeads = map[httpconn.HeadFault]*expvar.Int{}
	for _, f := range httpconn.HeadFaults() {
		c.malformedHeads[f] = m.Counter("malformed_heads", string(f))
	}
	c.malformedRequests = m.Counter("forward", "malformed")
	c.connectionsClosedIdle = m.Counter("forward", "connections_closed_idle")
	c.connectionsClosedSlow = m.Counter("forward", "connections_closed_slow")
	c.requestsEvicted = m.Counter("forward", "requests_evicted")
	c.connectionsRefused = m.Counter("forward", "connections_refused")
	c.overloads = m.Counter("forward", "overloads")
	c.connectionsShed = m.Counter("forward", "connections_shed")
	c.retriedFailures = m.Counter("retries", "server_failed")
	c.retriesAllowed = m.Counter("retries", "allowed_by_budget")
	c.retriesSent = m.Counter("retries", "sent")
	c.retriesWithdrawn = m.Counter("retries", "withdrawn_by_budget")
	c.retriesDenied = m.Counter("retries", "denied_by_budget")
	c.streamsResumed = m.Counter("streams", "resumed")
	c.streamsCut = m.Counter("streams", "cut")
	c.streamsTakenUp = m.Counter("streams", "taken_up")
	c.versionsMixed = m.Counter("streams", "versions_mixed")
	c.hedges = m.Counter("retries", "silent_stream")
	c.hedgesUnused = m.Counter("streams", "went_on_beside_a_hedge")
	c.answered = m.Counter("forward", "answered")
	c.invalidRates = m.Counter("forward", "invalid_rates")
	c.invalidPushbacks = m.Counter("forward", "invalid_pushbacks")
	c.invalidLeaving = m.Counter("forward", "invalid_leaving")
	c.panics = m.Counter("forward", "panics")
	c.runningOmitted = m.Counter("forward", "running_lines_omitted")
	c.slotWait = m.Histogram("latency", "wait_for_slot")
	c.retryWait = m.Histogram("latency", "retry_from_permission_to_send")
	c.connectTime = m.Histogram("latency", "connect")
	c.firstEvent = m.Histogram("latency", "first_event")
	c.eventGap = m.Histogram("latency", "gap_between_events")
	c.totalTime = m.Histogram("latency", "whole_answer")
	return c
}

func (c *counters) countRefusal(r request.Reason) {
	if n := c.refusals[r]; n != nil {
		n.Add(1)
	}
}

func sendErrorCause(err error) string {
	switch {
	case errors.Is(err, errNotExecuted):
		return causeNotExecuted
	case errors.Is(err, engine.ErrNotSent):
		return causeNotSent
	default:
		return causeLost
	}
}

func (c *counters) countFailedSend(err error) { c.failedSends[sendErrorCause(err)].Add(1) }
