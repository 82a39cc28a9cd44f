package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms; the range is in microseconds.
const (
	histogramMin    = 1
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Report summarizes a run. Times are in milliseconds.
type Report struct {
	Mix        string  `json:"mix"`
	Seed       uint64  `json:"seed"`
	DurationMs int64   `json:"duration_ms"`
	Sent       int     `json:"sent"`
	PerSecond  float64 `json:"sent_per_second"`
	// Tiers is sorted by priority; All covers all tiers.
	Tiers []TierReport `json:"tiers"`
	All   TierReport   `json:"all"`
	// Outcomes counts the final outcomes of callers. Refusals counts all typed
	// refusals, including those followed by a resend.
	Outcomes map[Outcome]int `json:"endings"`
	Refusals map[string]int  `json:"refusals"`
	// NoRetryAfter counts retryable refusals without a Retry-After header.
	NoRetryAfter int `json:"refusals_without_retry_after"`
	// SendLag is the delay of the load tool itself. If it is not far below the
	// latencies, the tool was the bottleneck and the results are not meaningful.
	SendLag Percentiles `json:"send_lag_ms"`
}

// TierReport covers one tier.
type TierReport struct {
	Tier     string `json:"tier"`
	Priority int    `json:"priority"`
	// Offered excludes callers that disconnected on purpose; Disconnected counts
	// those.
	Offered      int     `json:"offered"`
	Disconnected int     `json:"left"`
	Complete     int     `json:"whole"`
	Good         int     `json:"good"`
	Goodput      float64 `json:"goodput"`
	// Missed counts the offered requests that are not good by their first missed
	// target.
	Missed map[Miss]int `json:"missed"`
	// FirstToken and PerToken cover streamed complete answers, Total all complete
	// answers.
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

// tierStats collects the figures of one tier.
type tierStats struct {
	report                      TierReport
	firstToken, perToken, total *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax)) // the value is in range
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Summarize returns the report of a run's results.
func Summarize(m *Mix, seed uint64, duration time.Duration, results []Result) *Report {
	rep := &Report{
		Mix: m.Name, Seed: seed, DurationMs: duration.Milliseconds(), Sent: len(results),
		PerSecond: float64(len(results)) / duration.Seconds(),
		Outcomes:  map[Outcome]int{}, Refusals: map[string]int{},
	}
	for _, e := range Outcomes() {
		rep.Outcomes[e] = 0
	}
	lag := newHistogram()
	byTier, all := newStatsByTier(m), newTierStats("all", 0)
	for i := range results {
		r := &results[i]
		recordDuration(lag, r.SendLag)
		rep.count(r)
		targets := m.Tiers[r.Arrival.Class.Tier]
		byTier[r.Arrival.Class.Tier].add(r, targets)
		all.add(r, targets)
	}
	rep.SendLag, rep.All = percentiles(lag), all.finish()
	for _, t := range byTier {
		rep.Tiers = append(rep.Tiers, t.finish())
	}
	sort.Slice(rep.Tiers, func(i, j int) bool {
		a, b := rep.Tiers[i], rep.Tiers[j]
		return a.Priority < b.Priority || (a.Priority == b.Priority && a.Tier < b.Tier)
	})
	return rep
}

func newStatsByTier(m *Mix) map[string]*tierStats {
	out := map[string]*tierStats{}
	for name, t := range m.Tiers {
		out[name] = newTierStats(name, t.Priority)
	}
	return out
}

func newTierStats(tier string, priority int) *tierStats {
	return &tierStats{
		report:     TierReport{Tier: tier, Priority: priority, Missed: map[Miss]int{}},
		firstToken: newHistogram(), perToken: newHistogram(), total: newHistogram(),
	}
}

// retryableReasons are refusals after which a later retry helps, so the response needs
// a Retry-After header.
var retryableReasons = map[string]bool{
	"shed": true, "workspace_limit": true, "expired": true, "no_server": true,
	"no_owner": true, "suspect_busy": true, "entry_memory": true,
}

func (rep *Report) count(r *Result) {
	rep.Outcomes[r.LastAttempt().Outcome]++
	for i := range r.Attempts {
		attempt := &r.Attempts[i]
		if attempt.Reason == "" {
			continue
		}
		rep.Refusals[attempt.Reason]++
		if retryableReasons[attempt.Reason] && !attempt.RetryAfter && attempt.Outcome == OutcomeRefused {
			rep.NoRetryAfter++
		}
	}
}

func (t *tierStats) add(r *Result, targets Targets) {
	if !r.Offered() {
		t.report.Disconnected++
		return
	}
	t.report.Offered++
	if miss := r.Miss(targets); miss == NoMiss {
		t.report.Good++
	} else {
		t.report.Missed[miss]++
	}
	attempt := r.LastAttempt()
	if attempt.Outcome != OutcomeComplete {
		return
	}
	t.report.Complete++
	recordDuration(t.total, attempt.Total)
	if attempt.FirstToken > 0 {
		recordDuration(t.firstToken, attempt.FirstToken)
		recordDuration(t.perToken, attempt.PerToken())
	}
}

func (t *tierStats) finish() TierReport {
	r := t.report
	if r.Offered > 0 {
		r.Goodput = float64(r.Good) / float64(r.Offered)
	}
	r.FirstToken, r.PerToken, r.Total = percentiles(t.firstToken), percentiles(t.perToken), percentiles(t.total)
	return r
}

// InvalidOutcomes returns the number of callers with an outcome that must never occur:
// no answer, or a truncated, duplicated, misrouted or wrong one.
func (rep *Report) InvalidOutcomes() int {
	n := 0
	for _, e := range []Outcome{OutcomeTruncated, OutcomeMisrouted, OutcomeDuplicated, OutcomeWrong, OutcomeNoAnswer} {
		n += rep.Outcomes[e]
	}
	return n
}
