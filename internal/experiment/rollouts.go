package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lycheekeel/lycheekeel/rollout"
)

// RolloutCase is a new version of a service, for simulated rollouts with the
// production recorder and decider.
type RolloutCase struct {
	Name string
	// Rate is the service's requests per second.
	Rate int
	// FailureShare is the fraction of the new version's answers that fail, SlowShare
	// the fraction that take SlowFactor times as long. Both apply from FaultStart on,
	// counted from the start of the rollout.
	FailureShare, SlowShare, SlowFactor float64
	FaultStart                          time.Duration
	// UnderLoad limits the fault to the time while the new servers in use have at
	// least half the load of a stable one.
	UnderLoad bool
	// SlowServer limits slowness to the first new server, as any version may run on a
	// slow server.
	SlowServer bool
}

// RolloutSetting holds the parameters that all cases share.
type RolloutSetting struct {
	Duration time.Duration
	Bounds   rollout.Bounds
	// StableFailureShare is the fraction of the stable version's answers that fail.
	StableFailureShare float64
	// Servers is the number of servers of each version.
	Servers int
}

// RolloutOutcome summarizes many rollouts of one case.
type RolloutOutcome struct {
	Case       RolloutCase
	Runs       int
	RolledBack int
	// MeanTimeToRollback is the mean time from the start of a rollout to its rollback.
	MeanTimeToRollback time.Duration
	// MaxExposed is the highest number of requests that the new version got before the
	// decision in any rollout. Bound is the number that it may get by the deadline.
	MaxExposed int
	Bound      float64
}

const (
	// reportInterval is the interval of the daemons' reports.
	reportInterval = 400 * time.Millisecond
	// latencyMedian and latencySigma describe the stable version's lognormal latency.
	latencyMedian = 50 * time.Millisecond
	latencySigma  = 0.4
	rolloutRoute  = "route"
)

// SimulateRollouts simulates a case n times. Equal seeds give equal outcomes.
func SimulateRollouts(s RolloutSetting, c RolloutCase, n int, seed uint64) RolloutOutcome {
	out := RolloutOutcome{Case: c, Runs: n, Bound: s.Bounds.Share*float64(c.Rate)*s.Duration.Seconds() + s.Bounds.Slack}
	var sum time.Duration
	for i := range n {
		p := newRolloutSimulation(s, c, rand.New(rand.NewPCG(seed, uint64(i))))
		v, at := p.run()
		if v.State == rollout.RolledBack {
			out.RolledBack++
			sum += at
		}
		out.MaxExposed = max(out.MaxExposed, p.exposed)
	}
	if out.RolledBack > 0 {
		out.MeanTimeToRollback = sum / time.Duration(out.RolledBack)
	}
	return out
}

// rolloutSimulation is one simulated rollout.
type rolloutSimulation struct {
	setting  RolloutSetting
	version  RolloutCase
	random   *rand.Rand
	decider  *rollout.Decider
	recorder *rollout.Recorder
	budget   *rollout.Budget
	plan     rollout.Plan
	exposed  int
}

func newRolloutSimulation(s RolloutSetting, c RolloutCase, random *rand.Rand) *rolloutSimulation {
	o := rollout.Rollout{ID: rollout.ID{Service: "service", To: "new", Created: 1}, Duration: s.Duration}
	return &rolloutSimulation{
		setting: s, version: c, random: random, decider: rollout.NewDecider(o, s.Bounds, time.Time{}.Add(time.Hour)),
		recorder: rollout.NewRecorder(), budget: rollout.NewBudget(s.Bounds.CanaryShare(), s.Bounds, 1, 0),
		plan: rollout.Plan{CanaryShare: s.Bounds.CanaryShare()},
	}
}

// run simulates until the decision and returns it with its time.
func (p *rolloutSimulation) run() (rollout.Decision, time.Duration) {
	slots := p.setting.Servers * 8
	status := rollout.ServiceStatus{
		Daemons: 1, StableServers: p.setting.Servers, NewServers: p.setting.Servers, WarmServers: p.setting.Servers,
		StableSlots: slots, NewSlots: slots,
	}
	start := p.decider.KnownAt()
	for number, at := uint64(1), time.Duration(0); at < p.setting.Duration; number, at = number+1, at+reportInterval {
		for i := range int(float64(p.version.Rate) * reportInterval.Seconds()) {
			p.request(at, time.Duration(float64(i)/float64(p.version.Rate)*float64(time.Second)))
		}
		p.decider.AddReport(start.Add(at), rollout.Report{Reporter: "vm", Incarnation: 1, Number: number, Cells: p.recorder.TakeChanged(false)})
		p.plan = p.decider.Tick(start.Add(at), status)
		p.budget.SetShare(p.plan.CanaryShare)
		if v := p.decider.Decision(); v.State != rollout.Running {
			return v, at
		}
	}
	return p.decider.Decision(), p.setting.Duration
}

// request simulates one request, sent the given time after the plan was made.
func (p *rolloutSimulation) request(at, sincePlan time.Duration) {
	canary := p.plan.AllToNew(rolloutRoute, sincePlan) || p.plan.HasCanaries() && p.budget.Take()
	p.budget.RecordSent()
	latency := time.Duration(float64(latencyMedian) * math.Exp(latencySigma*p.random.NormFloat64()))
	run := rollout.Run{Route: rolloutRoute, Server: "stable", Canary: canary, FirstEvent: latency, Total: latency}
	failureShare := p.setting.StableFailureShare
	if canary {
		p.exposed++
		run.Server = "new-" + strconv.Itoa(p.random.IntN(rollout.CanaryServers(p.plan.CanaryShare, p.setting.Servers, p.setting.Servers)))
		if at >= p.version.FaultStart && (!p.version.UnderLoad || p.loaded(sincePlan)) {
			failureShare = max(failureShare, p.version.FailureShare)
			if p.random.Float64() < p.version.SlowShare && (!p.version.SlowServer || run.Server == "new-0") {
				run.FirstEvent = time.Duration(p.version.SlowFactor * float64(latency))
				run.Total = run.FirstEvent
			}
		}
	}
	if p.random.Float64() < failureShare {
		run.Outcome = rollout.Failed
	}
	p.recorder.Record(run, p.plan.Routes[rolloutRoute].Slow)
}

// loadedThreshold is the fraction of a stable server's load from which a new server
// counts as loaded.
const loadedThreshold = 0.5

// loaded reports whether the new servers in use have at least loadedThreshold of a
// stable server's load.
func (p *rolloutSimulation) loaded(sincePlan time.Duration) bool {
	if p.plan.AllToNew(rolloutRoute, sincePlan) {
		return true
	}
	used := rollout.CanaryServers(p.plan.CanaryShare, p.setting.Servers, p.setting.Servers)
	return p.plan.CanaryShare*float64(p.setting.Servers) >= loadedThreshold*float64(used)
}

// RolloutCases returns known kinds of bad versions, and good ones, at a request rate.
func RolloutCases(rate int) []RolloutCase {
	faultStart := 6 * time.Second
	return []RolloutCase{
		{Name: "good", Rate: rate},
		{Name: "good, one server 4 x slow", Rate: rate, SlowShare: 1, SlowFactor: 4, SlowServer: true},
		{Name: "fails 5%", Rate: rate, FailureShare: 0.05},
		{Name: "fails 20%", Rate: rate, FailureShare: 0.2},
		{Name: "fails 50%", Rate: rate, FailureShare: 0.5},
		{Name: "fails 50% after 6 s", Rate: rate, FailureShare: 0.5, FaultStart: faultStart},
		{Name: "twice as slow", Rate: rate, SlowShare: 1, SlowFactor: 2},
		{Name: "4 times as slow", Rate: rate, SlowShare: 1, SlowFactor: 4},
		{Name: "30% are 4 times as slow", Rate: rate, SlowShare: 0.3, SlowFactor: 4},
		{Name: "4 times as slow after 6 s", Rate: rate, SlowShare: 1, SlowFactor: 4, FaultStart: faultStart},
		{Name: "fails 50% under load", Rate: rate, FailureShare: 0.5, UnderLoad: true},
	}
}

// RolloutHeader is the header of the table that Line writes.
const RolloutHeader = "new version                 requests/s  rolled back    after  most exposed  bound"

// Line formats the outcome as a table row.
func (o RolloutOutcome) Line() string {
	after := "-"
	if o.RolledBack > 0 {
		after = strconv.FormatFloat(o.MeanTimeToRollback.Seconds(), 'f', 1, 64) + " s"
	}
	return fmt.Sprintf("%-27s %10d  %5d of %d %8s  %12d  %5.0f", o.Case.Name, o.Case.Rate, o.RolledBack, o.Runs, after, o.MaxExposed, o.Bound)
}
