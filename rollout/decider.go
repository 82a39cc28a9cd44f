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
	// writeShare bounds writeTime by a part of the order's duration.
	writeShare = 0.1
	// opensBefore is how long before the first hand-over all servers of the new
	// version are opened: the owners of their pools learn of it first.
	opensBefore = 700 * time.Millisecond
	// leadQuantile of the runs of a route have ended after its lead.
	leadQuantile = 95
	// leastCapacity is the part of the old servers' slots that the new ones must have
	// to be handed the traffic. With less they would shed what the old ones served.
	leastCapacity = 0.7
	// reporters is the part of the daemons that must have reported lately for an
	// outcome to be decided: a daemon that is cut off with a few others decides nothing.
	reporters = 0.5
	// reportedWithin is how recent a daemon's report is.
	reportedWithin = 2 * time.Second
	// referenceTime is how much of the old versions' last answers stands for them
	// while they get few requests.
	referenceTime = 4 * time.Second
	// referenceLeast is how many old answers a moment must have, by the new ones, to
	// be held against them alone.
	referenceLeast = 2.0
	// brokenEvery is how often a server's broken answers count as one bad answer: a
	// crash breaks all that run there, and convicts nobody.
	brokenEvery = 2 * time.Second
)

// Report is what one daemon has seen.
type Report struct {
	Reporter    string
	Incarnation uint64
	Number      uint64
	// Age is for how long the daemon has known the order.
	Age   time.Duration
	Cells map[Key]Cell
	// OldRuns is how many of its requests run on old servers.
	OldRuns int
}

// Facts are what the deciding daemon knows of the service.
type Facts struct {
	// Daemons is how many are alive.
	Daemons int
	// OldServers and NewServers may be used now, with so many slots; WarmServers of
	// the new ones are not slow from their start any more.
	OldServers, NewServers, WarmServers int
	OldSlots, NewSlots                  int
	// Serving is set where servers of the version served before the order: there is
	// nothing to try.
	Serving bool
}

// Reason is why a version is taken or taken back.
type Reason string

// The reasons.
const (
	ReasonNone       Reason = ""
	ReasonProved     Reason = "its answers were as good as the old version's"
	ReasonNothingOld Reason = "no server of another version is there"
	ReasonServing    Reason = "it served before the order"
	ReasonFailures   Reason = "it fails more requests than the old version"
	ReasonSlow       Reason = "it is slower than the old version"
	ReasonNoServers  Reason = "no server of it is ready at the deadline"
	ReasonCapacity   Reason = "its servers have too few slots at the deadline"
	ReasonUntried    Reason = "it has answered no request at the deadline"
)

// Verdict is what was decided and the figures that decided it.
type Verdict struct {
	State  State
	Reason Reason
	// Route is where it was proved; empty: over all routes, or it was not by a test.
	Route string
	// New and Old are the answers of both versions there.
	New, Old Counts
	// Value is the test's.
	Value float64
}

// Decider decides one rollout. It gathers the daemons' reports; it has no clock, and
// is not safe for concurrent use. Two deciders of one order, each with a part of the
// reports, do no harm: the outcome is one conditional write.
type Decider struct {
	order  Order
	bounds Bounds
	now    time.Time
	// known is when the order became known to the first daemon.
	known   time.Time
	seen    map[string]*reporter
	cells   map[Key]*Cell
	pending map[Key]Counts // added since the last moment
	tests   map[testKey]*test
	recent  []moment // of the old versions, oldest first
	broken  map[string]time.Time
	verdict Verdict
	// warm is set while servers of the new version are not slow from their start.
	warm bool
	// opened is set once the hand-over has begun, surges once a surge is planned.
	opened, surges bool
}

type reporter struct {
	incarnation, number uint64
	at                  time.Time
	cells               map[Key]Cell
	oldRuns             int
}

// moment is what the old versions answered by route.
type moment struct {
	at  time.Time
	old map[string]Counts
}

type measure uint8

const (
	failures measure = iota
	slowness
)

type testKey struct {
	route   string // empty: all routes
	measure measure
}

// NewDecider returns a decider of an order that is known here since a moment.
func NewDecider(o Order, b Bounds, known time.Time) *Decider {
	return &Decider{
		order: o, bounds: b, known: known,
		seen: map[string]*reporter{}, cells: map[Key]*Cell{}, pending: map[Key]Counts{},
		tests: map[testKey]*test{}, broken: map[string]time.Time{},
	}
}

// Order returns the order as it was last taken.
func (d *Decider) Order() Order { return d.order }

// SetOrder takes a change of the order's duration, revision or state.
func (d *Decider) SetOrder(o Order) { d.order = o }

// Known returns when the order became known.
func (d *Decider) Known() time.Time { return d.known }

// KnownSince takes it that the order was known at a moment.
func (d *Decider) KnownSince(at time.Time) {
	if at.Before(d.known) {
		d.known = at
	}
}

// Verdict returns what was decided; its State is Running until then.
func (d *Decider) Verdict() Verdict { return d.verdict }

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
	known.number, known.at, known.oldRuns = r.Number, now, r.OldRuns
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
	d.weigh()
	if d.verdict.State == Running {
		d.decide(f)
	}
	return d.plan(f)
}

// decide decides where it is time, or where the new version is proved bad.
func (d *Decider) decide(f Facts) {
	if d.convicted(provedAt) {
		return
	}
	if f.OldServers == 0 && f.NewServers > 0 && (f.Serving || len(d.cells) == 0) {
		d.verdict = Verdict{State: Succeeded, Reason: ReasonNothingOld}
		return
	}
	if d.now.Before(d.stopAt()) || !d.quorum(f) {
		return
	}
	if d.convicted(doubtedAt) {
		return
	}
	trial, old := d.totals("")
	d.verdict = Verdict{State: RolledBack, New: trial, Old: old}
	switch {
	case f.NewServers == 0:
		d.verdict.Reason = ReasonNoServers
	case float64(f.NewSlots) < leastCapacity*float64(f.OldSlots):
		d.verdict.Reason = ReasonCapacity
	case f.Serving:
		d.verdict.State, d.verdict.Reason = Succeeded, ReasonServing
	case trial.Runs == trial.Failed+trial.Broken:
		d.verdict.Reason = ReasonUntried
	default:
		d.verdict.State, d.verdict.Reason = Succeeded, ReasonProved
	}
}

// convicted takes the version back where a test has reached a value.
func (d *Decider) convicted(at float64) bool {
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
		trial, old := d.totals(key.route)
		d.verdict = Verdict{State: RolledBack, Reason: ReasonFailures, Route: key.route, New: trial, Old: old, Value: value}
		if key.measure == slowness {
			d.verdict.Reason = ReasonSlow
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

// totals returns what both versions answered on a route; empty: on all.
func (d *Decider) totals(route string) (trial, old Counts) {
	for key, c := range d.cells {
		switch {
		case route != "" && key.Route != route:
		case key.Server == "":
			old = old.plus(c.Counts)
		default:
			trial = trial.plus(c.Counts)
		}
	}
	return trial, old
}

// quorum tells whether enough daemons have reported lately.
func (d *Decider) quorum(f Facts) bool {
	n := 0
	for _, r := range d.seen {
		if d.now.Sub(r.at) <= reportedWithin {
			n++
		}
	}
	return float64(n) >= reporters*float64(f.Daemons)
}

// OldRuns returns how many requests run on old servers, as far as was told.
func (d *Decider) OldRuns() int {
	n := 0
	for _, r := range d.seen {
		n += r.oldRuns
	}
	return n
}

// stopAt is when the outcome is decided if nothing was proved before.
func (d *Decider) stopAt() time.Time {
	ahead := min(writeTime, time.Duration(writeShare*float64(d.order.Duration)))
	return d.deadline().Add(-ahead)
}

func (d *Decider) deadline() time.Time { return d.known.Add(d.order.Duration) }
