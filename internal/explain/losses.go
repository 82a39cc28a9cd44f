package explain

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRows bounds the rows of each table of Losses, so that logs of any length
	// take a bounded amount of memory; what is beyond counts in the row "others".
	maxRows = 20_000
	// others names that row.
	others = "others"
	// retryMostMs is the longest told time to come back that is told apart, in ms.
	retryMostMs = 60_000
	// retryDigits is the precision of its histogram.
	retryDigits = 2
)

// Losses sums up where requests were refused or lost.
type Losses struct {
	Read, Skipped int
	Answered, Cut int
	// Unended are the requests that ran for long and have no end in the logs, oldest
	// first: their daemons were killed, or the logs end before.
	Unended []Unended
	// Classes are what became of requests by route and tier, least served first.
	Classes []Class
	// Refusals are by reason, tier, route and workspace, most first.
	Refusals []Refusals
	// Seconds are the refusals of each second by reason, oldest first.
	Seconds []Second
	// Servers are the failed sends by server and cause, most first.
	Servers []ServerFailures
	// Starts are by VM, oldest first.
	Starts []Start
	// Crowds are what pools told of themselves while they refused requests, oldest
	// first.
	Crowds []Crowd
	// PoolSeconds are what all pools together did in each second in which one of them
	// refused requests, oldest first.
	PoolSeconds []PoolSecond
}

// Refusals counts those of one kind.
type Refusals struct {
	Reason, Route, Workspace string
	Tier                     int // -1: not known when it was refused
	Count                    int
	// Held is the mean time from the request to its refusal, RetryAfter are the
	// 10th, 50th and 90th percentiles of the time that the callers were told to
	// come back after; milliseconds.
	HeldMs       float64
	RetryAfterMs [3]int64

	held  float64
	retry *hdrhistogram.Histogram
}

// Second counts the refusals that a second had, by reason.
type Second struct {
	At      time.Time
	Reasons map[string]int
}

// ServerFailures counts the sends to a server that failed for one cause.
type ServerFailures struct {
	Server, Cause string
	Count         int
}

// Unended is a request without an end.
type Unended struct {
	At                  time.Time // of the line that it still runs
	VM, Request, Server string
}

// Start tells how long a VM took from its start to its first whole answer.
type Start struct {
	VM      string
	At      time.Time
	FirstMs int64 // -1: it gave none
}

// Crowd is a pool's standing when it refused requests.
type Crowd struct {
	At                        time.Time
	Pool                      string
	Running, Free, Shed, Lost int
}

type refusalKey struct {
	reason, route, workspace string
	tier                     int
}

type failureKey struct{ server, cause string }

// LossCollector sums up logs. It is not safe for concurrent use.
type LossCollector struct {
	losses   Losses
	refusals map[refusalKey]*Refusals
	seconds  map[time.Time]map[string]int
	failures map[failureKey]int
	classes  map[classKey]*Class
	pools    map[time.Time]*PoolSecond
	running  map[string]Unended // by VM and request
	starting map[string]int     // by VM: its newest entry in Starts without an answer
}

// NewLossCollector returns a collector that has read nothing.
func NewLossCollector() *LossCollector {
	return &LossCollector{
		refusals: map[refusalKey]*Refusals{}, seconds: map[time.Time]map[string]int{},
		failures: map[failureKey]int{},
		classes:  map[classKey]*Class{}, pools: map[time.Time]*PoolSecond{}, running: map[string]Unended{}, starting: map[string]int{},
	}
}

// Read reads one log, whose lines are as those of Collector.Read.
func (c *LossCollector) Read(file string, r io.Reader) error {
	return scan(file, r, func(l Line, ok bool) {
		c.losses.Read++
		if !ok {
			c.losses.Skipped++
			return
		}
		c.take(l)
	})
}

func (c *LossCollector) take(l Line) {
	c.follow(l)
	switch l.Message {
	case "Answered.":
		c.losses.Answered++
		c.class(l).Answered++
		c.answered(l)
	case "Stream cut.":
		c.losses.Cut++
	case "Refused.":
		c.refused(l)
		c.class(l).Refused++
	case "Send failed.":
		c.failed(l)
	case "Started.":
		if l.Part == "gateway" && len(c.losses.Starts) < maxRows {
			c.starting[l.VM] = len(c.losses.Starts)
			c.losses.Starts = append(c.losses.Starts, Start{VM: l.VM, At: l.Time, FirstMs: -1})
		}
	case "Pool is crowded.":
		if len(c.losses.Crowds) < maxRows {
			c.losses.Crowds = append(c.losses.Crowds, Crowd{
				At: l.Time, Pool: text(l, "pool"), Running: number(l, "running"), Free: number(l, "free"),
				Shed: number(l, "shed"), Lost: number(l, "lost_runs"),
			})
		}
		c.poolSecond(l)
	}
}

// follow notes which requests run on, and which of those have ended.
func (c *LossCollector) follow(l Line) {
	id := text(l, "request")
	key := l.VM + " " + id
	switch l.Message {
	case "Still running.":
		if len(c.running) < maxRows {
			c.running[key] = Unended{At: l.Time, VM: l.VM, Request: id, Server: text(l, "server")}
		}
	case "Answered.", "Stream cut.", "Refused.":
		delete(c.running, key)
	}
}

func (c *LossCollector) answered(l Line) {
	if i, ok := c.starting[l.VM]; ok {
		c.losses.Starts[i].FirstMs = l.Time.Sub(c.losses.Starts[i].At).Milliseconds()
		delete(c.starting, l.VM)
	}
}

func (c *LossCollector) refused(l Line) {
	k := refusalKey{text(l, "reason"), text(l, "route"), text(l, "workspace"), -1}
	if _, ok := l.Fields["tier"]; ok {
		k.tier = number(l, "tier")
	}
	r := c.refusals[k]
	if r == nil && len(c.refusals) >= maxRows {
		k = refusalKey{others, others, others, -1}
		r = c.refusals[k]
	}
	if r == nil {
		r = &Refusals{Reason: k.reason, Route: k.route, Workspace: k.workspace, Tier: k.tier, retry: hdrhistogram.New(1, retryMostMs, retryDigits)}
		c.refusals[k] = r
	}
	r.Count++
	r.held += float64(number(l, "total_ms"))
	// A value within the range can't fail.
	_ = r.retry.RecordValue(int64(min(number(l, "retry_after_ms"), retryMostMs)))
	c.second(l.Time.Truncate(time.Second), k.reason)
}

func (c *LossCollector) second(at time.Time, reason string) {
	if c.seconds[at] == nil {
		if len(c.seconds) >= maxRows {
			return // days of seconds; Refusals has them
		}
		c.seconds[at] = map[string]int{}
	}
	c.seconds[at][reason]++
}

func (c *LossCollector) failed(l Line) {
	k := failureKey{text(l, "server"), text(l, "cause")}
	if _, ok := c.failures[k]; !ok && len(c.failures) >= maxRows {
		k = failureKey{others, others}
	}
	c.failures[k]++
}

// Losses returns what was read so far.
func (c *LossCollector) Losses() Losses {
	out := c.losses
	for _, r := range c.refusals {
		row := *r
		row.HeldMs = r.held / float64(r.Count)
		for i, q := range []float64{10, 50, 90} {
			row.RetryAfterMs[i] = r.retry.ValueAtQuantile(q)
		}
		out.Refusals = append(out.Refusals, row)
	}
	slices.SortFunc(out.Refusals, func(a, b Refusals) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Workspace, b.Workspace), a.Tier-b.Tier)
	})
	out.Classes, out.PoolSeconds = c.sortedClasses(), c.sortedPoolSeconds()
	for _, u := range c.running {
		out.Unended = append(out.Unended, u)
	}
	slices.SortFunc(out.Unended, func(a, b Unended) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Request, b.Request))
	})
	for at, reasons := range c.seconds {
		out.Seconds = append(out.Seconds, Second{at, reasons})
	}
	slices.SortFunc(out.Seconds, func(a, b Second) int { return a.At.Compare(b.At) })
	for k, n := range c.failures {
		out.Servers = append(out.Servers, ServerFailures{k.server, k.cause, n})
	}
	slices.SortFunc(out.Servers, func(a, b ServerFailures) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Server, b.Server), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// text and number return a field; empty and 0 where there is none of that type.
func text(l Line, name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func number(l Line, name string) int {
	n, _ := l.Fields[name].(float64)
	return int(n)
}
