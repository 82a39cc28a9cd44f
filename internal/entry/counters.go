package entry

import (
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
)

// Metric groups.
const (
	groupRequests = "requests"
	groupRefusals = "refusals"
	groupGoodput  = "goodput"
	groupResumes  = "resumes"
	groupPrefill  = "prefill"
	groupEntry    = "entry"
)

// resumeCause is the reason why a stream was resumed.
type resumeCause string

// Resume causes.
const (
	resumeConnectionLost resumeCause = "broken"
	resumeMismatch       resumeCause = "crossed"
	resumeGap            resumeCause = "gap"
	resumeRetry          resumeCause = "resume_failed"
)

// counters are the entry's metrics, looked up once.
type counters struct {
	received, completed, refused, connectFailed *expvar.Int

	refusals                  map[request.Reason]*expvar.Int
	targetsMet, targetsMissed [request.MaxTiers]*expvar.Int
	resumes                   map[resumeCause]*expvar.Int
	prefillComputed           *expvar.Int
	prefillWasted             *expvar.Int

	waiting, streams atomic.Int64
}

func newCounters(r *metrics.Registry) *counters {
	c := &counters{
		received:        r.Counter(groupRequests, "received"),
		completed:       r.Counter(groupRequests, "whole_answers"),
		refused:         r.Counter(groupRequests, "refused"),
		connectFailed:   r.Counter(groupRequests, "connect_failed"),
		refusals:        map[request.Reason]*expvar.Int{},
		resumes:         map[resumeCause]*expvar.Int{},
		prefillComputed: r.Counter(groupPrefill, "computed_tokens"),
		prefillWasted:   r.Counter(groupPrefill, "wasted_tokens"),
	}
	for _, reason := range request.Reasons() {
		c.refusals[reason] = r.Counter(groupRefusals, string(reason))
	}
	for _, cause := range []resumeCause{resumeConnectionLost, resumeMismatch, resumeGap, resumeRetry} {
		c.resumes[cause] = r.Counter(groupResumes, string(cause))
	}
	for t := range c.targetsMet {
		c.targetsMet[t] = r.Counter(groupGoodput, fmt.Sprintf("tier%d_met", t))
		c.targetsMissed[t] = r.Counter(groupGoodput, fmt.Sprintf("tier%d_missed", t))
	}
	return c
}

// registerGauges registers gauges of the entry's current load.
func (c *counters) registerGauges(r *metrics.Registry, e *Entry) {
	r.Gauge(groupEntry, "waiting", func() any { return c.waiting.Load() })
	r.Gauge(groupEntry, "open_streams", func() any { return c.streams.Load() })
	r.Gauge(groupEntry, "body_bytes", func() any { return e.account.Used() })
	r.Gauge(groupEntry, "connections", func() any { return e.app.Server().GetOpenConnectionsCount() })
}

// countRefusal counts a refusal by its reason.
func (c *counters) countRefusal(reason request.Reason) {
	c.refused.Add(1)
	if v, ok := c.refusals[reason]; ok {
		v.Add(1)
		return
	}
	c.refusals[request.ReasonInternal].Add(1)
}

// countAnswer counts a complete answer, and whether it met its tier's targets.
func (c *counters) countAnswer(s *request.Spec, m measurements, now time.Time) {
	c.completed.Add(1)
	tier := min(int(s.Tier), len(c.targetsMet)-1)
	if m.metTargets(s, now) {
		c.targetsMet[tier].Add(1)
	} else {
		c.targetsMissed[tier].Add(1)
	}
}

// drainFlag is set once, when the entry starts to drain.
type drainFlag struct{ v atomic.Bool }

func (d *drainFlag) set()        { d.v.Store(true) }
func (d *drainFlag) isSet() bool { return d.v.Load() }
