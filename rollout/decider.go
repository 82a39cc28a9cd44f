package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// writeMargin is how long before the deadline the final state is written. The store
	// answers in milliseconds, but the first call may fail.
	writeMargin = 600 * time.Millisecond
	// maxWriteMarginShare is the largest writeMargin as a fraction of the rollout's
	// duration.
	maxWriteMarginShare = 0.1
	// openLead is how long before the cutover all servers of the new version are opened,
	// because the owners of their pools must learn of it first.
	openLead = 700 * time.Millisecond
	// leadPercentile is the percentage of a route's runs that end within its lead.
	leadPercentile = 95
	// minCapacityRatio is the ratio of new to stable slots that the new version needs to
	// get the traffic. With less it would shed requests that the stable version served.
	minCapacityRatio = 0.7
	// quorumShare is the fraction of daemons that must have reported recently for a
	// decision, so that a daemon that is cut off with a few others decides nothing.
	quorumShare = 0.5
	// maxReportAge is the age up to which a report counts as recent.
	maxReportAge = 2 * time.Second
	// baselineWindow is how much of the stable version's latest answers is used for an
	// interval in which it gives too few.
	baselineWindow = 4 * time.Second
	// minBaselineRatio is the ratio of stable to new answers below which an interval has too
	// few stable answers, and those of baselineWindow are used.
	minBaselineRatio = 2.0
	// brokenInterval is the time in which the broken answers of a server count as one bad
	// answer: a single crash breaks all runs on a server, and must not reject the version.
	brokenInterval = 2 * time.Second
)

// Report holds the counts of one daemon.
type Report struct {
	Reporter    string
	Incarnation uint64
	Number      uint64
	// Age is how long the daemon has known the rollout.
	Age   time.Duration
	Cells map[Key]Cell
}

// ServiceStatus is what the deciding daemon knows about the service.
type ServiceStatus struct {
	// Daemons is the number of daemons that are alive.
	Daemons int
	// StableServers and NewServers are the numbers of usable servers, StableSlots and
	// NewSlots those of their slots. WarmServers are the new servers that are no longer
	// slow from their start.
	StableServers, NewServers, WarmServers int
	StableSlots, NewSlots                  int
	// ServedBefore is set if servers of the version served before the rollout, so that
	// there is nothing to test.
	ServedBefore bool
}

// Reason is why a version is promoted or rolled back. It is logged.
type Reason string

// The reasons.
const (
	ReasonNoRegression Reason = "its answers were as good as those of the stable version"
	ReasonOnlyVersion  Reason = "there are no servers of another version"
	ReasonServedBefore Reason = "it served before the rollout"
	ReasonFailures     Reason = "it fails more requests than the stable version"
	ReasonSlow         Reason = "it is slower than the stable version"
	ReasonNoServers    Reason = "none of its servers was ready at the deadline"
	ReasonCapacity     Reason = "its servers had too few slots at the deadline"
	ReasonNoAnswer     Reason = "it had answered no request by the deadline"
)

// Decision is the decision and the figures behind it.
type Decision struct {
	State  State
	Reason Reason
	// Route is the route whose test rejected the version; empty: the test over all routes,
	// or no test.
	Route string
	// Canary and Stable are the counts of both versions on that route.
	Canary, Stable Counts
	// Value is the value of that test.
	Value float64
}

// Decider decides one rollout from the reports of the daemons. It has no clock, and is not
// safe for concurrent use. Two deciders of one rollout, each with some of the reports, do
// no harm: the final state is one conditional write.
type Decider struct {
	rollout Rollout
	bounds  Bounds
	now     time.Time
	// knownAt is when the first daemon learned of the rollout.
	knownAt    time.Time
	reporters  map[string]*reporter
	cells      map[Key]*Cell
	pending    map[Key]Counts // added since the previous tick
	tests      map[testKey]*sequentialTest
	baselines  []baselineInterval // of the stable version, oldest first
	lastBroken map[string]time.Time
	decision   Decision
	// hasWarmServers is set if some servers of the new version are no longer slow from
	// their start.
	hasWarmServers bool
	// cutoverBegun is set once the cutover has begun.
	cutoverBegun bool
	// spikePlanned is set once a spike is planned.
	spikePlanned bool
}

// reporter is the latest report of a daemon.
type reporter struct {
	incarnation, number uint64
	lastReport          time.Time
	cells               map[Key]Cell
}

// baselineInterval holds the stable version's answers between two ticks, by route.
type baselineInterval struct {
	at     time.Time
	stable map[string]Counts
}

// measure is what a test counts as bad: failures or slow answers.
type measure uint8

const (
	failures measure = iota
	slowness
)

type testKey struct {
	route   string
	measure measure
}

// NewDecider returns a decider of a rollout. known is when it became known here.
func NewDecider(r Rollout, b Bounds, known time.Time) *Decider {
	return &Decider{
		rollout: r, bounds: b, knownAt: known,
		reporters: map[string]*reporter{}, cells: map[Key]*Cell{}, pending: map[Key]Counts{},
		tests: map[testKey]*sequentialTest{}, lastBroken: map[string]time.Time{},
	}
}

// Rollout returns the rollout as last set.
func (d *Decider) Rollout() Rollout { return d.rollout }

// SetRollout updates the rollout's duration, revision and state.
func (d *Decider) SetRollout(r Rollout) { d.rollout = r }

// KnownAt returns when the first daemon learned of the rollout.
func (d *Decider) KnownAt() time.Time { return d.knownAt }

// ObserveKnownAt records that a daemon learned of the rollout at the given time.
func (d *Decider) ObserveKnownAt(at time.Time) {
	if at.Before(d.knownAt) {
		d.knownAt = at
	}
}

// Decision returns the decision. Its State is Running until there is one.
func (d *Decider) Decision() Decision { return d.decision }

// AddReport adds a report. Reports may arrive twice or out of order.
func (d *Decider) AddReport(now time.Time, r Report) {
	d.ObserveKnownAt(now.Add(-r.Age))
	known := d.reporters[r.Reporter]
	if known == nil || known.incarnation < r.Incarnation {
		// The counts of the daemon's previous incarnations stay.
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

// mergeCell adds the increase of a cell since the same daemon's previous report.
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

// addIncrease adds the increase from before to now.
func (t Times) addIncrease(before, now Times) {
	for us, n := range now {
		t[us] += n - before[us]
	}
}

// Tick advances the time to now, decides if possible, and returns the current plan.
func (d *Decider) Tick(now time.Time, s ServiceStatus) Plan {
	d.now, d.hasWarmServers = now, s.WarmServers > 0
	d.analyze()
	if d.decision.State == Running {
		d.decide(s)
	}
	return d.plan(s)
}

// decide decides if a test rejects the new version, or if it is time.
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

// rejectAbove rolls the version back if the value of a test reaches the threshold, and
// reports whether it did.
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

// answeringServers returns the number of servers of the new version that have answered.
func (d *Decider) answeringServers() int {
	servers := map[string]bool{}
	for key := range d.cells {
		if key.Server != "" {
			servers[key.Server] = true
		}
	}
	return len(servers)
}

// totals returns the counts of both versions on a route, or on allRoutes.
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

// quorum reports whether enough daemons have reported recently.
func (d *Decider) quorum(s ServiceStatus) bool {
	n := 0
	for _, r := range d.reporters {
		if d.now.Sub(r.lastReport) <= maxReportAge {
			n++
		}
	}
	return float64(n) >= quorumShare*float64(s.Daemons)
}

// stopAt returns when the stable servers stop, which is when the decision is due if no test
// has rejected the version.
func (d *Decider) stopAt() time.Time {
	margin := min(writeMargin, time.Duration(maxWriteMarginShare*float64(d.rollout.Duration)))
	return d.deadline().Add(-margin)
}

// deadline returns when the rollout's duration ends.
func (d *Decider) deadline() time.Time { return d.knownAt.Add(d.rollout.Duration) }
