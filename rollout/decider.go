package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// writeTime is how long before the deadline the outcome is written: the store
	// answers in milliseconds, and may answer the first call with an error.
	writeTime = 600 * time.Millisecond
	// writeShare bounds writeTime by a part of the rollout's duration.
	writeShare = 0.1
	// opensBefore is how long before the cutover all servers of the new version are
	// opened: the owners of their pools learn of it first.
	opensBefore = 700 * time.Millisecond
	// leadQuantile of the runs of a route have ended after its lead.
	leadQuantile = 95
	// leastCapacity is the part of the stable servers' slots that the new ones must have
	// to get the traffic. With less they would shed what the stable ones served.
	leastCapacity = 0.7
	// quorumShare is the part of the daemons that must have reported lately for an
	// outcome to be decided: a daemon that is cut off with a few others decides nothing.
	quorumShare = 0.5
	// reportedWithin is how recent a daemon's report is.
	reportedWithin = 2 * time.Second
	// baselineTime is how much of the stable version's last answers stands in for an
	// interval in which it gives few.
	baselineTime = 4 * time.Second
	// baselineLeast is how many stable answers an interval must have, by the new ones,
	// to be held against them alone.
	baselineLeast = 2.0
	// brokenEvery is how often a server's broken answers count as one bad answer: a
	// crash breaks all that run there, and rejects nobody.
	brokenEvery = 2 * time.Second
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

// Facts are what the deciding daemon knows of the service.
type Facts struct {
	// Daemons is how many are alive.
	Daemons int
	// StableServers and NewServers may be used now, with so many slots; WarmServers of
	// the new ones are not slow from their start any more.
	StableServers, NewServers, WarmServers int
	StableSlots, NewSlots                  int
	// Serving is set where servers of the version served before the rollout: there is
	// nothing to try.
	Serving bool
}

// Reason is why a version is promoted or rolled back.
type Reason string

// The reasons.
const (
	ReasonAsGood    Reason = "its answers were as good as the stable version's"
	ReasonOnlyOne   Reason = "no server of another version is there"
	ReasonServing   Reason = "it served before the rollout"
	ReasonFailures  Reason = "it fails more requests than the stable version"
	ReasonSlow      Reason = "it is slower than the stable version"
	ReasonNoServers Reason = "no server of it is ready at the deadline"
	ReasonCapacity  Reason = "its servers have too few slots at the deadline"
	ReasonNoAnswer  Reason = "it has answered no request at the deadline"
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
	// known is when the rollout became known to the first daemon.
	known    time.Time
	seen     map[string]*reporter
	cells    map[Key]*Cell
	pending  map[Key]Counts // added since the last tick
	tests    map[testKey]*test
	recent   []interval // of the stable version, oldest first
	broken   map[string]time.Time
	decision Decision
	// warm is set while servers of the new version are not slow from their start.
	warm bool
	// cutover is set once that has begun.
	cutover bool
	// spikes is set once a spike is planned.
	spikes bool
}

type reporter struct {
	incarnation, number uint64
	at                  time.Time
	cells               map[Key]Cell
}

// interval is what the stable version answered between two ticks, by route.
type interval struct {
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
		rollout: r, bounds: b, known: known,
		seen: map[string]*reporter{}, cells: map[Key]*Cell{}, pending: map[Key]Counts{},
		tests: map[testKey]*test{}, broken: map[string]time.Time{},
	}
}

// Rollout returns the rollout as it was last read.
func (d *Decider) Rollout() Rollout { return d.rollout }

// SetRollout takes a change of the rollout's duration, revision or state.
func (d *Decider) SetRollout(r Rollout) { d.rollout = r }

// Known returns when the rollout became known.
func (d *Decider) Known() time.Time { return d.known }

// KnownSince takes it that the rollout was known at a moment.
func (d *Decider) KnownSince(at time.Time) {
	if at.Before(d.known) {
		d.known = at
	}
}

// Decision returns what was decided; its State is Running until then.
func (d *Decider) Decision() Decision { return d.decision }

// Take takes a report. It may come twice or out of order.
func (d *Decider) Take(now time.Time, r Report) {
	d.KnownSince(now.Add(-r.Age))
	known := d.seen[r.Reporter]
	if known == nil || known.incarnation < r.Incarnation {
		// What its former incarnation counted stays counted.
		known = &reporter{incarnation: r.Incarnation, cells: map[Key]Cell{}}
		d.seen[r.Reporter] = known
	}
	if r.Incarnation < known.incarnation || r.Number <= known.number {
		return
	}
	known.number, known.at = r.Number, now
	for key, c := range r.Cells {
		d.merge(key, known.cells[key], c)
		known.cells[key] = c
	}
}

// merge adds what a cell has more than the same daemon told before.
func (d *Decider) merge(key Key, before, now Cell) {
	c := d.cells[key]
	if c == nil {
		c = &Cell{First: Times{}, Pace: Times{}, Whole: Times{}}
		d.cells[key] = c
	}
	added := now.minus(before.Counts)
	c.Counts = c.plus(added)
	d.pending[key] = d.pending[key].plus(added)
	c.First.merge(before.First, now.First)
	c.Pace.merge(before.Pace, now.Pace)
	c.Whole.merge(before.Whole, now.Whole)
}

func (t Times) merge(before, now Times) {
	for us, n := range now {
		t[us] += n - before[us]
	}
}

// Tick lets time pass, and returns the plan as of now.
func (d *Decider) Tick(now time.Time, f Facts) Plan {
	d.now, d.warm = now, f.WarmServers > 0
	d.analyze()
	if d.decision.State == Running {
		d.decide(f)
	}
	return d.plan(f)
}

// decide decides where it is time, or where the new version is proved bad.
func (d *Decider) decide(f Facts) {
	if d.rejected(rejectAt) {
		return
	}
	if f.StableServers == 0 && f.NewServers > 0 && (f.Serving || len(d.cells) == 0) {
		d.decision = Decision{State: Succeeded, Reason: ReasonOnlyOne}
		return
	}
	if d.now.Before(d.stopAt()) || !d.quorum(f) {
		return
	}
	if d.rejected(rejectAtDeadline) {
		return
	}
	canary, stable := d.totals(allRoutes)
	d.decision = Decision{State: RolledBack, Canary: canary, Stable: stable}
	switch {
	case f.NewServers == 0:
		d.decision.Reason = ReasonNoServers
	case float64(f.NewSlots) < leastCapacity*float64(f.StableSlots):
		d.decision.Reason = ReasonCapacity
	case f.Serving:
		d.decision.State, d.decision.Reason = Succeeded, ReasonServing
	case canary.Runs == canary.Failed+canary.Broken:
		d.decision.Reason = ReasonNoAnswer
	default:
		d.decision.State, d.decision.Reason = Succeeded, ReasonAsGood
	}
}

// rejected rolls the version back where a test has reached a value.
func (d *Decider) rejected(at float64) bool {
	keys := make([]testKey, 0, len(d.tests))
	for key := range d.tests {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b testKey) int {
		return cmp.Or(cmp.Compare(a.measure, b.measure), cmp.Compare(a.route, b.route))
	})
	answering := d.answering()
	for _, key := range keys {
		value := d.tests[key].value(answering)
		if value < at {
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

// answering is how many servers of the new version have answered.
func (d *Decider) answering() int {
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
func (d *Decider) quorum(f Facts) bool {
	n := 0
	for _, r := range d.seen {
		if d.now.Sub(r.at) <= reportedWithin {
			n++
		}
	}
	return float64(n) >= quorumShare*float64(f.Daemons)
}

// stopAt is when the outcome is decided if nothing was proved before.
func (d *Decider) stopAt() time.Time {
	ahead := min(writeTime, time.Duration(writeShare*float64(d.rollout.Duration)))
	return d.deadline().Add(-ahead)
}

func (d *Decider) deadline() time.Time { return d.known.Add(d.rollout.Duration) }
