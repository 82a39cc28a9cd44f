package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Report is what a run showed. Its times are milliseconds.
type Report struct {
	Mix        string  `json:"mix"`
	Seed       uint64  `json:"seed"`
	DurationMs int64   `json:"duration_ms"`
	Sent       int     `json:"sent"`
	PerSecond  float64 `json:"sent_per_second"`
	// Tiers by priority; All is all of them together.
	Tiers []TierReport `json:"tiers"`
	All   TierReport   `json:"all"`
	// Endings counts what callers were left with; Refusals counts every
	// typed refusal, those before a resend included.
	Endings  map[Ending]int `json:"endings"`
	Refusals map[string]int `json:"refusals"`
	// NoRetryAfter counts refusals of reasons shed, expired and the like that
	// did not say when to come back.
	NoRetryAfter int `json:"refusals_without_retry_after"`
	// Lag is how late the load tool itself was; where it is not far below the
	// latencies, the tool was the limit and the run says little.
	Lag Percentiles `json:"send_lag_ms"`
}

// TierReport is one tier's part of a report.
type TierReport struct {
	Tier     string `json:"tier"`
	Priority int    `json:"priority"`
	// Offered excludes callers that left on purpose, counted in Left.
	Offered int     `json:"offered"`
	Left    int     `json:"left"`
	Whole   int     `json:"whole"`
	Good    int     `json:"good"`
	Goodput float64 `json:"goodput"`
	// Missed counts the offered requests that are not good by the first
	// target that they missed.
	Missed map[Miss]int `json:"missed"`
	// FirstToken and PerToken are of streamed whole answers, Total of all
	// whole ones.
	FirstToken Percentiles `json:"first_token_ms"`
	PerToken   Percentiles `json:"per_token_ms"`
	Total      Percentiles `json:"total_ms"`
}

// Percentiles of a distribution, in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// tierTally collects one tier's figures.
type tierTally struct {
	report                    TierReport
	firstToken, perToken, all *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax)) // in bounds
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Summarize makes the report of a run's results.
func Summarize(m *Mix, seed uint64, duration time.Duration, results []Result) *Report {
	rep := &Report{
		Mix: m.Name, Seed: seed, DurationMs: duration.Milliseconds(), Sent: len(results),
		PerSecond: float64(len(results)) / duration.Seconds(),
		Endings:   map[Ending]int{}, Refusals: map[string]int{},
	}
	for _, e := range Endings() {
		rep.Endings[e] = 0
	}
	lag := newHistogram()
	tallies, all := newTallies(m), newTally("all", 0)
	for i := range results {
		r := &results[i]
		record(lag, r.Lag)
		rep.count(r)
		targets := m.Tiers[r.Arrival.Class.Tier]
		tallies[r.Arrival.Class.Tier].add(r, targets)
		all.add(r, targets)
	}
	rep.Lag, rep.All = percentiles(lag), all.done()
	for _, t := range tallies {
		rep.Tiers = append(rep.Tiers, t.done())
	}
	sort.Slice(rep.Tiers, func(i, j int) bool {
		a, b := rep.Tiers[i], rep.Tiers[j]
		return a.Priority < b.Priority || (a.Priority == b.Priority && a.Tier < b.Tier)
	})
	return rep
}

func newTallies(m *Mix) map[string]*tierTally {
	out := map[string]*tierTally{}
	for name, t := range m.Tiers {
		out[name] = newTally(name, t.Priority)
	}
	return out
}

func newTally(tier string, priority int) *tierTally {
	return &tierTally{
		report:     TierReport{Tier: tier, Priority: priority, Missed: map[Miss]int{}},
		firstToken: newHistogram(), perToken: newHistogram(), all: newHistogram(),
	}
}

// retryReasons are refusals after which coming back later helps, so that the
// caller must be told when.
var retryReasons = map[string]bool{
	"shed": true, "workspace_limit": true, "expired": true, "no_server": true,
	"no_owner": true, "suspect_busy": true, "entry_memory": true,
}

func (rep *Report) count(r *Result) {
	rep.Endings[r.Last().Ending]++
	for i := range r.Tries {
		y := &r.Tries[i]
		if y.Reason == "" {
			continue
		}
		rep.Refusals[y.Reason]++
		if retryReasons[y.Reason] && !y.RetryAfter && y.Ending == Refused {
			rep.NoRetryAfter++
		}
	}
}

func (t *tierTally) add(r *Result, targets Targets) {
	if !r.Offered() {
		t.report.Left++
		return
	}
	t.report.Offered++
	if miss := r.Miss(targets); miss == NoMiss {
		t.report.Good++
	} else {
		t.report.Missed[miss]++
	}
	y := r.Last()
	if y.Ending != Whole {
		return
	}
	t.report.Whole++
	record(t.all, y.Total)
	if y.FirstToken > 0 {
		record(t.firstToken, y.FirstToken)
		record(t.perToken, y.PerToken())
	}
}

func (t *tierTally) done() TierReport {
	r := t.report
	if r.Offered > 0 {
		r.Goodput = float64(r.Good) / float64(r.Offered)
	}
	r.FirstToken, r.PerToken, r.Total = percentiles(t.firstToken), percentiles(t.perToken), percentiles(t.all)
	return r
}

// Faults returns how many callers got something that must never happen: an
// answer that is lost, cut, doubled, another's or wrong.
func (rep *Report) Faults() int {
	n := 0
	for _, e := range []Ending{Cut, Crossed, Doubled, Wrong, Lost} {
		n += rep.Endings[e]
	}
	return n
}
