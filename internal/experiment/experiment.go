package experiment

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/load"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Options configure an experiment.
type Options struct {
	Scenario *Scenario
	Policies []pool.Policy
	Seed     uint64
	// Long selects the scenario's long duration.
	Long bool
	// WithoutFaults omits the scenario's faults, for a comparison run.
	WithoutFaults bool
	// Progress, if not nil, is called regularly while a policy runs.
	Progress func(policy pool.Policy, p load.Progress)
}

// Outcome is the result of an experiment.
type Outcome struct {
	Scenario   string `json:"scenario"`
	Seed       uint64 `json:"seed"`
	DurationMs int64  `json:"duration_ms"`
	// WithoutFaults is true if the scenario's faults were omitted.
	WithoutFaults bool `json:"without_faults"`
	Arrivals      int  `json:"arrivals"`
	// Offered is the offered load relative to the fleet's capacity.
	Offered  OfferedLoads                   `json:"offered_load"`
	Policies map[pool.Policy]*PolicyOutcome `json:"policies"`
	// Order is the order in which the policies ran.
	Order []pool.Policy `json:"order"`

	mix *load.Mix
}

// PolicyOutcome is the result of one policy.
type PolicyOutcome struct {
	// Goodput by tier is the fraction of offered requests that got a complete answer
	// within all targets of the tier. Callers that disconnected on purpose are
	// excluded.
	Goodput      map[string]float64 `json:"goodput"`
	TotalGoodput float64            `json:"total_goodput"`
	// WastedPrefillFraction is Prefill.WastedFraction.
	WastedPrefillFraction float64 `json:"wasted_prefill_fraction"`
	// FirstTokenP95Ms and TpotP95Ms cover streamed complete answers of all tiers.
	FirstTokenP95Ms float64        `json:"first_token_p95_ms"`
	TpotP95Ms       float64        `json:"tpot_p95_ms"`
	Refusals        map[string]int `json:"refusals"`
	Prefill         Prefill        `json:"prefill"`
	// Violations counts violations by rule; Examples holds the first ones. Baseline
	// policies violate RuleTierOrder by design.
	Violations map[Rule]int `json:"violations"`
	Examples   []Violation  `json:"violation_examples,omitempty"`
	Report     *load.Report `json:"report"`

	results []load.Result
}

// deadlineGrace is how long callers wait beyond their deadline. It is long enough that
// a slow answer is not mistaken for a missing one.
const deadlineGrace = 20 * time.Second

// maxExamples limits the number of violations in the outcome.
const maxExamples = 20

// Run runs the scenario once per policy, sequentially and with the same arrivals.
func Run(ctx context.Context, o Options) (*Outcome, error) {
	s, duration := o.Scenario, o.Scenario.Duration(o.Long)
	arrivals := load.Arrivals(&s.Mix, o.Seed, duration)
	out := &Outcome{
		Scenario: s.Name, Seed: o.Seed, DurationMs: duration.Milliseconds(), Arrivals: len(arrivals), WithoutFaults: o.WithoutFaults,
		Offered: s.offeredLoads(arrivals, duration), Policies: map[pool.Policy]*PolicyOutcome{}, mix: &s.Mix,
	}
	for _, p := range o.Policies {
		res, err := runPolicy(ctx, o, p, arrivals, duration)
		if err != nil {
			return nil, errors.Wrapf(err, "policy %s", p)
		}
		if err := ctx.Err(); err != nil {
			return nil, errors.Wrap(err, "run experiment")
		}
		out.Policies[p] = res
		out.Order = append(out.Order, p)
	}
	return out, nil
}

func runPolicy(ctx context.Context, o Options, p pool.Policy, arrivals []load.Arrival, duration time.Duration) (*PolicyOutcome, error) {
	sys, err := startSystem(ctx, o.Scenario, p)
	if err != nil {
		return nil, err
	}
	defer sys.stop()
	run := &load.Run{Mix: &o.Scenario.Mix, Arrivals: arrivals, Targets: []string{sys.address}, Keys: o.Scenario.keys(), DeadlineGrace: deadlineGrace}
	if err := run.Check(); err != nil {
		return nil, err
	}
	results, err := runLoad(ctx, o, p, sys, run)
	if err != nil {
		return nil, err
	}
	sys.waitIdle()
	return evaluate(o, sys, duration, results), nil
}

// runLoad sends the arrivals while the scenario's faults are injected.
func runLoad(ctx context.Context, o Options, p pool.Policy, sys *system, run *load.Run) ([]load.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	var faultErr error
	start := time.Now()
	if !o.WithoutFaults {
		wg.Go(func() { faultErr = sys.injectFaults(ctx, start) })
	}
	if o.Progress != nil {
		wg.Go(func() { reportProgress(ctx, o, p, run) })
	}
	results := run.Do(ctx)
	cancel()
	wg.Wait()
	return results, faultErr
}

const progressInterval = 250 * time.Millisecond

func reportProgress(ctx context.Context, o Options, p pool.Policy, run *load.Run) {
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			o.Progress(p, run.Progress(now))
		}
	}
}

// evaluate computes a policy's outcome from the callers' results, the trace and the
// run logs.
func evaluate(o Options, sys *system, duration time.Duration, results []load.Result) *PolicyOutcome {
	rep := load.Summarize(&o.Scenario.Mix, o.Seed, duration, results)
	runs := sys.runs()
	complete, disconnected := classifyRequests(results)
	cacheBlocks := 0
	for _, g := range o.Scenario.Engines {
		cacheBlocks += g.Count * g.Engine.CacheBlocks
	}
	out := &PolicyOutcome{
		Goodput: map[string]float64{}, TotalGoodput: rep.All.Goodput,
		FirstTokenP95Ms: rep.All.FirstToken.P95, TpotP95Ms: rep.All.PerToken.P95, Refusals: rep.Refusals,
		Prefill: countPrefill(runs, complete, disconnected, cacheBlocks), Violations: map[Rule]int{}, Report: rep, results: results,
	}
	out.WastedPrefillFraction = out.Prefill.WastedFraction
	for _, t := range rep.Tiers {
		out.Goodput[t.Tier] = t.Goodput
	}
	counts := map[request.ID]int{}
	for _, x := range runs {
		counts[request.ID(x.RequestID)]++
	}
	for _, v := range append(CheckTrace(sys.trace.Records(), true), CheckCallers(results, counts)...) {
		out.Violations[v.Rule]++
		if len(out.Examples) < maxExamples {
			out.Examples = append(out.Examples, v)
		}
	}
	return out
}
