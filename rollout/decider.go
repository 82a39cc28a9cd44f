package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// writeMargin is how long before the deadline the outcome is written: the store
	// answers in milliseconds, and may answer the first call with an error.
	writeMargin = 600 * time.Millisecond
	// maxWriteMarginShare bounds writeMargin by a part of the rollout's duration.
	maxWriteMarginShare = 0.1
	// openLead is how long before the cutover all servers of the new version are
	// opened: the owners of their pools learn of it first.
	openLead = 700 * time.Millisecond
	// leadPercentile of the runs of a route have ended after its lead.
	leadPercentile = 95
	// minCapacityRatio is the part of the stable servers' slots that the new ones must have
	// to get the traffic. With less they would shed what the stable ones served.
	minCapacityRatio = 0.7
	// quorumShare is the part of the daemons that must have reported lately for an
	// outcome to be decided: a daemon that is cut off with a few others decides nothing.
	quorumShare = 0.5
	// maxReportAge is how recent a daemon's report is.
	maxReportAge = 2 * time.Second
	// baselineWindow is how much of the stable version's last answers stands in for an
	// interval in which it gives few.
	baselineWindow = 4 * time.Second
	// minBaselineRatio is how many stable answers an interval must have, by the new ones,
	// to be held against them alone.
	minBaselineRatio = 2.0
	// brokenInterval is how often a server's broken answers count as one bad answer: a
	// crash breaks all that run there, and rejects nobody.
	brokenInterval = 2 * time.Second
)

// Report is what one daemon has seen.
type Report struct {
	Reporter    string
	Incarnation uint64
	Number      uint64
	// Age is for how long the daemon has known the rollout.
	Age   time.Duration
	Cells map[Key]Cell
}

// ServiceStatus are what the deciding daemon knows of the service.
type ServiceStatus struct {
	// Daemons is how many are alive.
	Daemons int
	// StableServers and NewServers may be used now, with so many slots; WarmServers of
	// the new ones are not slow from their start any more.
	StableServers, NewServers, WarmServers int
	StableSlots, NewSlots                  int
	// ServedBefore is set where servers of the version served before the rollout: there is
	// nothing to try.
	ServedBefore bool
}

// Reason is why a version is promoted or rolled back.
type Reason string

// The reasons.
const (
	ReasonNoRegression Reason = "its answers were as good as the stable version's"
	ReasonOnlyVersion  Reason = "no server of another version is there"
	ReasonServedBefore Reason = "it served before the rollout"
	ReasonFailures     Reason = "it fails more requests than the stable version"
	ReasonSlow         Reason = "it is slower than the stable version"
	ReasonNoServers    Reason = "no server of it is ready at the deadline"
	ReasonCapacity     Reason = "its servers have too few slots at the deadline"
	ReasonNoAnswer     Reason = "it has answered no request at the deadline"
)

// Decision is what was decided and the figures that decided it.
type Decision struct {
	State  State
	Reason Reason
	// Route is where it was proved; empty: over all routes, or it was not by a test.
	Route string
	// Canary and Stable are the answers of both versions there.
	Canary, Stable Counts
	// Value is the test's.
	Value float64
}

// Decider decides one rollout. It gathers the daemons' reports; it has no clock, and
// is not safe for concurrent use. Two deciders of one rollout, each with a part of the
// reports, do no harm: the outcome is one conditional write.
type Decider struct {
	rollout Rollout
	bounds  Bounds
	now     time.Time
	// knownAt is when the rollout became known to the first daemon.
	knownAt    time.Time
	reporters  map[string]*reporter
	cells      map[Key]*Cell
	pending    map[Key]Counts // added since the last tick
	tests      map[testKey]*sequentialTest
	baselines  []baselineInterval // of the stable version, oldest first
	lastBroken map[string]time.Time
	decision   Decision
	// hasWarmServers is set while servers of the new version are not slow from their start.
	hasWarmServers bool
	// cutoverBegun is set once that has begun.
	cutoverBegun bool
	// spikePlanned is set once a spike is planned.
	spikePlanned bool
}

type reporter struct {
	incarnation, number uint64
	lastReport          time.Time
	cells               map[Key]Cell
}

// baselineInterval is what the stable version answered between two ticks, by route.
type baselineInterval struct {
	at     time.Time
	stable map[string]Counts
}

type measure uint8

const (
	failures measure = iota
	slowness
)

type testKey struct {
	route   string
	measure measure
}

// NewDecider returns a decider of a rollout that is known here since a moment.
func NewDecider(r Rollout, b Bounds, known time.Time) *Decider {
	return &Decider{
		rollout: r, bounds: b, knownAt: known,
		reporters: map[string]*reporter{}, cells: map[Key]*Cell{}, pending: map[Key]Counts{},
		tests: map[testKey]*sequentialTest{}, lastBroken: map[string]time.Time{},
	}
}

// Rollout returns the rollout as it was last read.
func (d *Decider) Rollout() Rollout { return d.rollout }

// SetRollout takes a change of the rollout's duration, revision or state.
func (d *Decider) SetRollout(r Rollout) { d.rollout = r }

// KnownAt returns when the rollout became known.
func (d *Decider) KnownAt() time.Time { return d.knownAt }

// ObserveKnownAt takes it that the rollout was known at a moment.
func (d *Decider) ObserveKnownAt(at time.Time) {
	if at.Before(d.knownAt) {
		d.knownAt = at
	}
}

// Decision returns what was decided; its State is Running until then.
func (d *Decider) Decision() Decision { return d.decision }

// AddReport takes a report. It may come twice or out of order.
func (d *Decider) AddReport(now time.Time, r Report) {
	d.ObserveKnownAt(now.Add(-r.Age))
	known := d.reporters[r.Reporter]
	if known == nil || known.incarnation < r.Incarnation {
		// What its former incarnation counted stays counted.
		known = &reporter{incarnation: r.Incarnation, cells: map[Key]Cell{}}
		d.reporters[r.Reporter] = known
	}
	if r.Incarnation < known.incarnation || r.Number <= known.number {
		return
	}
	known.number, known.lastReport = r.Number, now
	for key, c := range r.Cells {
		d.mergeCell(key, known.cells[key], c)
		known.cells[key] = c
	}
}

// addIncrease adds what a cell has more than the same daemon told before.
func (d *Decider) mergeCell(key Key, before, now Cell) {
	c := d.cells[key]
	if c == nil {
		c = &Cell{FirstEvent: Times{}, PerToken: Times{}, Total: Times{}}
		d.cells[key] = c
	}
	added := now.minus(before.Counts)
	c.Counts = c.plus(added)
	d.pending[key] = d.pending[key].plus(added)
	c.FirstEvent.addIncrease(before.FirstEvent, now.FirstEvent)
	c.PerToken.addIncrease(before.PerToken, now.PerToken)
	c.Total.addIncrease(before.Total, now.Total)
}

func (t Times) addIncrease(before, now Times) {
	for us, n := range now {
		t[us] += n - before[us]
	}
}

// Tick lets time pass, and returns the plan as of now.
func (d *Decider) Tick(now time.Time, s ServiceStatus) Plan {
	d.now, d.hasWarmServers = now, s.WarmServers > 0
	d.analyze()
	if d.decision.State == Running {
		d.decide(s)
	}
	return d.plan(s)
}

// decide decides where it is time, or where the new version is proved bad.
func (d *Decider) decide(s ServiceStatus) {
	if d.rejectAbove(rejectThreshold) {
		return
	}
	if s.StableServers == 0 && s.NewServers > 0 && (s.ServedBefore || len(d.cells) == 0) {
		d.decision = Decision{State: Succeeded, Reason: ReasonOnlyVersion}
		return
	}
	if d.now.Before(d.stopAt()) || !d.quorum(s) {
		return
	}
	if d.rejectAbove(deadlineRejectThreshold) {
		return
	}
	canary, stable := d.totals(allRoutes)
	d.decision = Decision{State: RolledBack, Canary: canary, Stable: stable}
	switch {
	case s.NewServers == 0:
		d.decision.Reason = ReasonNoServers
	case float64(s.NewSlots) < minCapacityRatio*float64(s.StableSlots):
		d.decision.Reason = ReasonCapacity
	case s.ServedBefore:
		d.decision.State, d.decision.Reason = Succeeded, ReasonServedBefore
	case canary.Runs == canary.Failed+canary.Broken:
		d.decision.Reason = ReasonNoAnswer
	default:
		d.decision.State, d.decision.Reason = Succeeded, ReasonNoRegression
	}
}

// rejectAbove rolls the version back where a test has reached a value.
func (d *Decider) rejectAbove(threshold float64) bool {
	keys := make([]testKey, 0, len(d.tests))
	for key := range d.tests {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b testKey) int {
		return cmp.Or(cmp.Compare(a.measure, b.measure), cmp.Compare(a.route, b.route))
	})
	servers := d.answeringServers()
	for _, key := range keys {
		value := d.tests[key].value(servers)
		if value < threshold {
			continue
		}
		canary, stable := d.totals(key.route)
		d.decision = Decision{State: RolledBack, Reason: ReasonFailures, Route: key.route, Canary: canary, Stable: stable, Value: value}
		if key.measure == slowness {
			d.decision.Reason = ReasonSlow
		}
		return true
	}
	return false
}

// answeringServers is how many servers of the new version have answered.
func (d *Decider) answeringServers() int {
	servers := map[string]bool{}
	for key := range d.cells {
		if key.Server != "" {
			servers[key.Server] = true
		}
	}
	return len(servers)
}

// totals returns what both versions answered on a route, or on allRoutes.
func (d *Decider) totals(route string) (canary, stable Counts) {
	for key, c := range d.cells {
		switch {
		case route != allRoutes && key.Route != route:
		case key.Server == "":
			stable = stable.plus(c.Counts)
		default:
			canary = canary.plus(c.Counts)
		}
	}
	return canary, stable
}

// quorum tells whether enough daemons have reported lately.
func (d *Decider) quorum(s ServiceStatus) bool {
	n := 0
	for _, r := range d.reporters {
		if d.now.Sub(r.lastReport) <= maxReportAge {
			n++
		}
	}
	return float64(n) >= quorumShare*float64(s.Daemons)
}

// stopAt is when the outcome is decided if nothing was proved before.
func (d *Decider) stopAt() time.Time {
	margin := min(writeMargin, time.Duration(maxWriteMarginShare*float64(d.rollout.Duration)))
	return d.deadline().Add(-margin)
}

func (d *Decider) deadline() time.Time { return d.knownAt.Add(d.rollout.Duration) }
