package entry

import (
	"expvar"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
)

// The groups of the entry's counters.
const (
	groupRequests = "requests"
	groupRefusals = "refusals"
	groupGoodput  = "goodput"
	groupResumes  = "resumes"
	groupPrefill  = "prefill"
	groupEntry    = "entry"
)

// resumeCause says why a stream was resumed.
type resumeCause string

// The causes of a resume.
const (
	resumeBroken  resumeCause = "broken"
	resumeCrossed resumeCause = "crossed"
	resumeGap     resumeCause = "gap"
	resumeRetry   resumeCause = "resume_failed"
)

// counters are the entry's expvar counters, looked up once.
type counters struct {
	received, whole, refused, connectFailed *expvar.Int

	refusals     map[request.Reason]*expvar.Int
	met, missed  [request.MaxTiers]*expvar.Int
	resumes      map[resumeCause]*expvar.Int
	prefill      *expvar.Int
	prefillWaste *expvar.Int

	waiting, streams atomic.Int64
}

func newCounters(r *metrics.Registry) *counters {
	c := &counters{
		received:      r.Counter(groupRequests, "received"),
		whole:         r.Counter(groupRequests, "whole_answers"),
		refused:       r.Counter(groupRequests, "refused"),
		connectFailed: r.Counter(groupRequests, "connect_failed"),
		refusals:      map[request.Reason]*expvar.Int{},
		resumes:       map[resumeCause]*expvar.Int{},
		prefill:       r.Counter(groupPrefill, "computed_tokens"),
		prefillWaste:  r.Counter(groupPrefill, "wasted_tokens"),
	}
	for _, reason := range request.Reasons() {
		c.refusals[reason] = r.Counter(groupRefusals, string(reason))
	}
	for _, cause := range []resumeCause{resumeBroken, resumeCrossed, resumeGap, resumeRetry} {
		c.resumes[cause] = r.Counter(groupResumes, string(cause))
	}
	for t := range c.met {
		c.met[t] = r.Counter(groupGoodput, fmt.Sprintf("tier%d_met", t))
		c.missed[t] = r.Counter(groupGoodput, fmt.Sprintf("tier%d_missed", t))
	}
	return c
}

// gauges shows what the entry holds now.
func (c *counters) gauges(r *metrics.Registry, e *Entry) {
	r.Gauge(groupEntry, "waiting", func() any { return c.waiting.Load() })
	r.Gauge(groupEntry, "open_streams", func() any { return c.streams.Load() })
	r.Gauge(groupEntry, "body_bytes", func() any { return e.bodies.Used() })
	r.Gauge(groupEntry, "connections", func() any { return e.app.Server().GetOpenConnectionsCount() })
}

// refusal counts one refusal by its reason.
func (c *counters) refusal(reason request.Reason) {
	c.refused.Add(1)
	if v, ok := c.refusals[reason]; ok {
		v.Add(1)
		return
	}
	c.refusals[request.ReasonInternal].Add(1)
}

// ended counts a whole answer against its tier's targets.
func (c *counters) ended(s *request.Spec, f figures, now time.Time) {
	c.whole.Add(1)
	tier := min(int(s.Tier), len(c.met)-1)
	if f.met(s, now) {
		c.met[tier].Add(1)
	} else {
		c.missed[tier].Add(1)
	}
}

// drainFlag is set once when the entry drains.
type drainFlag struct{ v atomic.Bool }

func (d *drainFlag) set()        { d.v.Store(true) }
func (d *drainFlag) isSet() bool { return d.v.Load() }
