package explain

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRows limits the rows of each table of Losses, so that logs of any length
	// take a bounded amount of memory. Refusals, classes and failed sends beyond it
	// are counted in the row "others".
	maxRows = 20_000
	// othersRow is the name of that row.
	othersRow = "others"
	// maxRetryAfterMs is the end of the histogram of retry-after times, in
	// milliseconds; longer times count as this one.
	maxRetryAfterMs = 60_000
	// retryAfterDigits is the number of significant digits of that histogram.
	retryAfterDigits = 2
)

// Losses sums up where requests were refused or lost.
type Losses struct {
	Read, Skipped int
	Answered, Cut int
	// Unended are the long-running requests whose end is not in the logs, oldest
	// first: their daemons were killed, or the logs end before they did.
	Unended []Unended
	// Classes count answers and refusals by route and tier, least served first.
	Classes []Class
	// Refusals are counted by reason, tier, route and workspace, most frequent
	// first.
	Refusals []RefusalRow
	// Seconds are the refusals by second and reason, oldest first.
	Seconds []RefusalSecond
	// Servers are the failed sends by server and cause, most frequent first.
	Servers []ServerFailures
	// Starts are the starts of daemons, in the order in which they were read.
	Starts []Start
	// Crowds are the states that pools logged while they refused requests, in the
	// order in which they were read.
	Crowds []PoolOverload
	// PoolSeconds count what all pools together granted and refused in each second
	// in which one of them refused requests, oldest first.
	PoolSeconds []PoolSecond
	// Retries are the retries by second and service, oldest first.
	Retries []RetrySecond
}

// RefusalRow counts the refusals with the same reason, route, workspace and tier.
type RefusalRow struct {
	Reason, Route, Workspace string
	Tier                     int // -1 if not known when the request was refused
	Count                    int
	// HeldMs is the mean time from the request to its refusal, RetryAfterMs are the
	// 10th, 50th and 90th percentiles of the retry-after times sent to callers, in
	// milliseconds.
	HeldMs       float64
	RetryAfterMs [3]int64

	heldMsSum  float64
	retryAfter *hdrhistogram.Histogram
}

// RefusalSecond counts the refusals within one second by reason.
type RefusalSecond struct {
	At      time.Time
	Reasons map[string]int
}

// ServerFailures counts the sends to one server that failed with one cause.
type ServerFailures struct {
	Server, Cause string
	Count         int
}

// Unended is a request whose end is not in the logs.
type Unended struct {
	At                  time.Time // time of its last line "Still running."
	VM, Request, Server string
}

// Start is the start of a daemon and the time until its first complete answer.
type Start struct {
	VM      string
	At      time.Time
	FirstMs int64 // milliseconds; -1 if it gave no answer
}

// PoolOverload is the state of a pool when it refused requests. Lost is the number
// of its lost runs.
type PoolOverload struct {
	At                        time.Time
	Pool                      string
	Running, Free, Shed, Lost int
}

type refusalKey struct {
	reason, route, workspace string
	tier                     int
}

type failureKey struct{ server, cause string }

// LossCollector reads logs and sums up losses. It is not safe for concurrent use.
type LossCollector struct {
	losses           Losses
	refusals         map[refusalKey]*RefusalRow
	seconds          map[time.Time]map[string]int
	failures         map[failureKey]int
	classes          map[classKey]*Class
	poolSeconds      map[time.Time]*PoolSecond
	retries          map[retryKey]*RetrySecond
	unended          map[string]Unended // keyed by VM and request id
	unansweredStarts map[string]int     // by VM: index in losses.Starts of a start without an answer yet
}

// NewLossCollector returns a collector that has read nothing.
func NewLossCollector() *LossCollector {
	return &LossCollector{
		refusals: map[refusalKey]*RefusalRow{}, seconds: map[time.Time]map[string]int{},
		failures: map[failureKey]int{},
		classes:  map[classKey]*Class{}, poolSeconds: map[time.Time]*PoolSecond{}, retries: map[retryKey]*RetrySecond{}, unended: map[string]Unended{}, unansweredStarts: map[string]int{},
	}
}

// Read reads one log; its lines have the same form as for Collector.Read.
func (c *LossCollector) Read(file string, r io.Reader) error {
	return scan(file, r, func(l Line, ok bool) {
		c.losses.Read++
		if !ok {
			c.losses.Skipped++
			return
		}
		c.add(l)
	})
}

func (c *LossCollector) add(l Line) {
	c.trackRunning(l)
	switch l.Message {
	case "Answered.":
		c.losses.Answered++
		c.classOf(l).Answered++
		c.endStart(l)
	case "Stream cut.":
		c.losses.Cut++
	case "Refused.":
		c.addRefusal(l)
		c.classOf(l).Refused++
	case "Send failed.":
		c.addFailure(l)
	case "Retry allowed.", "Retry denied.", "Retry sent.", "Retry withdrawn.":
		c.addRetry(l)
	case "Started.":
		if l.Part == "gateway" && len(c.losses.Starts) < maxRows {
			c.unansweredStarts[l.VM] = len(c.losses.Starts)
			c.losses.Starts = append(c.losses.Starts, Start{VM: l.VM, At: l.Time, FirstMs: -1})
		}
	case "Pool is crowded.":
		if len(c.losses.Crowds) < maxRows {
			c.losses.Crowds = append(c.losses.Crowds, PoolOverload{
				At: l.Time, Pool: stringField(l, "pool"), Running: intField(l, "running"), Free: intField(l, "free"),
				Shed: intField(l, "shed"), Lost: intField(l, "lost_runs"),
			})
		}
		c.addPoolSecond(l)
	}
}

// trackRunning keeps the set of long-running requests that have not ended.
func (c *LossCollector) trackRunning(l Line) {
	id := stringField(l, "request")
	key := l.VM + " " + id
	switch l.Message {
	case "Still running.":
		if len(c.unended) < maxRows {
			c.unended[key] = Unended{At: l.Time, VM: l.VM, Request: id, Server: stringField(l, "server")}
		}
	case "Answered.", "Stream cut.", "Refused.":
		delete(c.unended, key)
	}
}

func (c *LossCollector) endStart(l Line) {
	if i, ok := c.unansweredStarts[l.VM]; ok {
		c.losses.Starts[i].FirstMs = l.Time.Sub(c.losses.Starts[i].At).Milliseconds()
		delete(c.unansweredStarts, l.VM)
	}
}

func (c *LossCollector) addRefusal(l Line) {
	k := refusalKey{stringField(l, "reason"), stringField(l, "route"), stringField(l, "workspace"), -1}
	if _, ok := l.Fields["tier"]; ok {
		k.tier = intField(l, "tier")
	}
	r := c.refusals[k]
	if r == nil && len(c.refusals) >= maxRows {
		k = refusalKey{othersRow, othersRow, othersRow, -1}
		r = c.refusals[k]
	}
	if r == nil {
		r = &RefusalRow{Reason: k.reason, Route: k.route, Workspace: k.workspace, Tier: k.tier, retryAfter: hdrhistogram.New(1, maxRetryAfterMs, retryAfterDigits)}
		c.refusals[k] = r
	}
	r.Count++
	r.heldMsSum += float64(intField(l, "total_ms"))
	// RecordValue fails only for a value out of range.
	_ = r.retryAfter.RecordValue(int64(min(intField(l, "retry_after_ms"), maxRetryAfterMs)))
	c.addToSecond(l.Time.Truncate(time.Second), k.reason)
}

func (c *LossCollector) addToSecond(at time.Time, reason string) {
	if c.seconds[at] == nil {
		if len(c.seconds) >= maxRows {
			return // more than maxRows seconds; Refusals still counts it
		}
		c.seconds[at] = map[string]int{}
	}
	c.seconds[at][reason]++
}

func (c *LossCollector) addFailure(l Line) {
	k := failureKey{stringField(l, "server"), stringField(l, "cause")}
	if _, ok := c.failures[k]; !ok && len(c.failures) >= maxRows {
		k = failureKey{othersRow, othersRow}
	}
	c.failures[k]++
}

// Losses returns the summary of the lines read so far.
func (c *LossCollector) Losses() Losses {
	out := c.losses
	for _, r := range c.refusals {
		row := *r
		row.HeldMs = r.heldMsSum / float64(r.Count)
		for i, q := range []float64{10, 50, 90} {
			row.RetryAfterMs[i] = r.retryAfter.ValueAtQuantile(q)
		}
		out.Refusals = append(out.Refusals, row)
	}
	slices.SortFunc(out.Refusals, func(a, b RefusalRow) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Workspace, b.Workspace), a.Tier-b.Tier)
	})
	out.Classes, out.PoolSeconds, out.Retries = c.sortedClasses(), c.sortedPoolSeconds(), c.sortedRetries()
	for _, u := range c.unended {
		out.Unended = append(out.Unended, u)
	}
	slices.SortFunc(out.Unended, func(a, b Unended) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Request, b.Request))
	})
	for at, reasons := range c.seconds {
		out.Seconds = append(out.Seconds, RefusalSecond{at, reasons})
	}
	slices.SortFunc(out.Seconds, func(a, b RefusalSecond) int { return a.At.Compare(b.At) })
	for k, n := range c.failures {
		out.Servers = append(out.Servers, ServerFailures{k.server, k.cause, n})
	}
	slices.SortFunc(out.Servers, func(a, b ServerFailures) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Server, b.Server), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// stringField returns a field's value, or "" if it is no string.
func stringField(l Line, name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// intField returns a field's value, or 0 if it is no number.
func intField(l Line, name string) int {
	n, _ := l.Fields[name].(float64)
	return int(n)
}
