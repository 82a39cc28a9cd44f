package quota

import (
	"slices"
	"sync"
	"time"
)

// Batch is what one daemon has let through since the batch before.
type Batch struct {
	// Incarnation is of the daemon's process.
	Incarnation uint64
	// Number counts the daemon's batches. One that was not acknowledged is sent
	// again as it was.
	Number uint64
	Uses   []Use
	// Hub and Version tell which answer the daemon has; zero: none that is of
	// use.
	Hub, Version uint64
	// Behind is set where the daemon has let more through than its batches tell,
	// because this one is sent again.
	Behind bool
}

// Answer is what a hub tells a daemon that has sent it a batch.
type Answer struct {
	// Hub is the incarnation of the hub's process.
	Hub uint64
	// Version is of the hub's totals; the next batch names it.
	Version uint64
	// Number is of the batch that is acknowledged.
	Number uint64
	// Others is what all other daemons have let through since the hub's start,
	// where that has changed since the batch's Version.
	Others []Use
	// Levels are the hub's own buckets, for a daemon that has no answer of it.
	Levels []Use
	// Silent are the daemons that the hub has not heard of lately, and Age is how old
	// its signs of the others are at most.
	Silent []string
	Age    time.Duration
}

// Group is what the daemons that report to one hub have let through since its
// start. Hubs tell it each other.
type Group struct {
	Incarnation uint64 // of the hub's process
	Sequence    uint64
	// Complete is set where Uses are all of them, not only those that changed.
	Complete bool
	Uses     []Use
	// Levels are the hub's own buckets that have settled, told where Uses are complete.
	Levels []Use
	// Daemons are those that report to the hub, told where Uses are complete.
	Daemons []string
	// Silent are those of them that the hub has not heard of lately, and Age is how
	// old its signs of the others are at most.
	Silent []string
	Age    time.Duration
	// Running is how long the hub's process has run; 0: it does not say.
	Running time.Duration
}

// Exchange is a daemon's part in telling what was let through: it reports to a
// hub, and it is one itself for the daemons that report to it. It is safe for
// concurrent use.
//
// What goes wrong where each daemon tells every other one: the messages of a
// daemon grow with the number of daemons, and take most of a small VM's processor time.
// With hubs a daemon exchanges one message each way at each interval.
//
// A batch counts once at a hub, however often it is sent. One that a hub has
// taken, and whose acknowledgement is lost, may count again at another hub: too
// much is believed used, never too little. Who changes hubs, or hears of none
// for a while, takes over the hub's levels, since what it missed meanwhile is in
// them.
type Exchange struct {
	mu          sync.Mutex
	now         func() time.Time
	began       time.Time
	ledger      *Ledger
	incarnation uint64

	// Towards this daemon's hub.
	unacknowledged *Batch
	number         uint64
	hub, version   uint64
	others         map[string]float64
	answered       time.Time

	// As a hub. alone is what it counted lately while it heard no other one.
	leading  bool
	alone    map[string]*recent
	totals   map[string]*total
	changes  uint64
	levelled uint64 // the change at which the levels last changed otherwise than by uses
	group    map[string]float64
	untold   map[string]bool
	sequence uint64
	reports  map[string]*report
	groups   map[string]*groupState
}

// total is what all daemons that this hub knows of have let through of a
// workspace's quota since its start; version is of its last change.
type total struct {
	used    float64
	version uint64
}

// report is what a hub has of one daemon that reports to it.
type report struct {
	incarnation, number uint64
	used                map[string]float64
	heard               time.Time
}

// groupState is what a hub has of another hub.
type groupState struct {
	incarnation, sequence uint64
	used                  map[string]float64
	heard                 time.Time
	daemons               []string // that report to it
}

// NewExchange returns the exchange of a ledger. incarnation is of this
// process.
func NewExchange(l *Ledger, now func() time.Time, incarnation uint64) *Exchange {
	return &Exchange{
		now: now, began: now(), ledger: l, incarnation: incarnation, others: map[string]float64{}, alone: map[string]*recent{},
		totals: map[string]*total{}, group: map[string]float64{}, untold: map[string]bool{},
		reports: map[string]*report{}, groups: map[string]*groupState{},
	}
}

// Batch returns what to report to a hub now: the batch that was not
// acknowledged, or a new one.
func (e *Exchange) Batch() Batch {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading = false
	if e.unacknowledged == nil {
		e.number++
		e.unacknowledged = &Batch{Incarnation: e.incarnation, Number: e.number, Uses: e.ledger.Pending()}
		if len(e.hubs()) == 0 {
			e.unacknowledged.Uses = append(e.unacknowledged.Uses, e.unheardOf()...)
			clear(e.alone)
		}
	}
	b := *e.unacknowledged
	b.Behind = e.ledger.Untold()
	if e.now().Sub(e.answered) <= doubtAfter {
		b.Hub, b.Version = e.hub, e.version
	}
	return b
}

// Learn takes a hub's answer, with the signs of the other daemons in it, and tells whether
// it acknowledges the batch.
func (e *Exchange) Learn(a Answer, daemons []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unacknowledged == nil || a.Number != e.unacknowledged.Number {
		return false // of an earlier batch, or of one that was sent twice
	}
	e.unacknowledged = nil
	// A hub tells its levels to whoever said that it has no answer of it. By
	// the time, an answer that took long would be neither adopted nor counted.
	follows := a.Hub == e.hub && len(a.Levels) == 0
	e.heard(daemons, a.Silent, a.Age)
	if !follows {
		e.others = map[string]float64{}
		e.ledger.Adopt(a.Levels)
	}
	if news := grown(e.others, a.Others); follows {
		e.ledger.Spend(news)
		e.addTotals(news)
	}
	e.hub, e.version, e.answered = a.Hub, a.Version, e.now()
	return true
}

// Lead counts what this daemon itself has let through, in place of a report: it
// is a hub.
func (e *Exchange) Lead() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leading = true
	uses := e.ledger.Pending()
	if b := e.unacknowledged; b != nil { // for a hub that is none any more
		uses = append(uses, b.Uses...)
		e.unacknowledged = nil
	}
	e.addGroup(uses)
	e.unheard(uses)
	if len(uses) > 0 {
		e.number++ // a hub that gets the next batch sees that it misses one
	}
}

// unheard remembers uses where no other hub hears of them.
func (e *Exchange) unheard(uses []Use) {
	if len(e.hubs()) > 0 {
		return
	}
	for _, u := range uses {
		if e.alone[u.Workspace] == nil {
			e.alone[u.Workspace] = &recent{}
		}
		e.alone[u.Workspace].add(e.now(), u.Amount)
	}
}

// unheardOf returns what was counted lately while no other hub was heard.
func (e *Exchange) unheardOf() []Use {
	var out []Use
	for name, r := range e.alone {
		if amount := r.since(e.now(), SilentAfter); amount != 0 {
			out = append(out, Use{name, amount})
		} else {
			delete(e.alone, name)
		}
	}
	return out
}

// Led tells whether daemons have reported here lately.
func (e *Exchange) Led() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.reports {
		if e.now().Sub(r.heard) <= SilentAfter {
			return true
		}
	}
	return false
}

// Report takes a daemon's batch.
func (e *Exchange) Report(from string, b Batch) Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.reports[from]
	known := r != nil && r.incarnation == b.Incarnation
	if !known {
		r = &report{incarnation: b.Incarnation, used: map[string]float64{}}
		e.reports[from] = r
		b.Hub = 0 // what it has of an earlier report is not known here
	}
	r.heard = e.now()
	// Batches between were told to another hub, whose word may not have come.
	allTold := b.Number <= r.number+1 && (known || len(e.ledger.Unmet([]string{from})) > 0)
	uses := b.Uses
	if b.Number > r.number {
		r.number = b.Number
		for _, u := range uses {
			r.used[u.Workspace] += u.Amount
		}
		e.addGroup(uses)
		e.unheard(uses)
	} else {
		uses = nil
	}
	if allTold && !b.Behind {
		e.told([]string{from}, uses, 0)
	} else {
		e.ledger.Spend(uses)
	}
	if !allTold {
		e.ledger.Alive(from, 0)
	}
	return e.answer(r, b)
}

// answer tells what the others than r let through that is newer than the
// batch tells.
func (e *Exchange) answer(r *report, b Batch) Answer {
	a := Answer{Hub: e.incarnation, Version: e.changes, Number: b.Number}
	a.Age, a.Silent = e.ledger.Signs()
	since := b.Version
	if b.Hub != e.incarnation || since < e.levelled {
		since = 0
		a.Levels = e.ledger.Levels()
	}
	for name, t := range e.totals {
		if t.version > since {
			a.Others = append(a.Others, Use{name, t.used - r.used[name]})
		}
	}
	return a
}

// Group returns what to tell the other hubs: all, or what has changed since
// the last call.
func (e *Exchange) Group(all bool) Group {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	g := Group{Incarnation: e.incarnation, Sequence: e.sequence, Complete: all, Running: e.now().Sub(e.began)}
	for name, used := range e.group {
		if all || e.untold[name] {
			g.Uses = append(g.Uses, Use{name, used})
		}
	}
	clear(e.untold)
	if all {
		g.Levels = e.ledger.SettledLevels()
	}
	for name, r := range e.reports {
		if all {
			g.Daemons = append(g.Daemons, name)
		}
		if age := e.now().Sub(r.heard); age > quietAfter {
			g.Silent = append(g.Silent, name)
		} else {
			g.Age = max(g.Age, age)
		}
	}
	return g
}

// TakeGroup takes what another hub tells. The first complete word of a hub says where its
// counts stand, and its levels tell of what was counted before.
func (e *Exchange) TakeGroup(from string, g Group) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.leading {
		return // its hub tells the same
	}
	s := e.groups[from]
	known := s != nil && s.incarnation == g.Incarnation
	if known && g.Sequence <= s.sequence {
		return
	}
	wasSilent := known && e.now().Sub(s.heard) > SilentAfter
	if (!known || wasSilent) && !g.Complete {
		return
	}
	if !known {
		s = &groupState{incarnation: g.Incarnation, used: map[string]float64{}}
		e.groups[from] = s
	}
	s.sequence, s.heard = g.Sequence, e.now()
	news := grown(s.used, g.Uses)
	switch {
	case !known && g.Running > 0 && g.Running <= SilentAfter:
		// All that its daemons have let through since they started is in its uses.
		e.addTotals(news)
		e.told(e.ledger.Unmet(slices.Concat(g.Daemons, []string{from})), news, g.Age)
	case !known:
		e.ledger.AtMost(g.Levels)
		e.tellLevels()
	default:
		// Its counts hold what those let through that were its daemons before.
		// Others may have reported elsewhere.
		e.addTotals(news)
		e.told(except(slices.Concat(s.daemons, []string{from}), g.Silent), news, g.Age)
	}
	if g.Complete {
		s.daemons = g.Daemons
	}
	e.heard(slices.Concat(s.daemons, []string{from}), g.Silent, g.Age)
}

// heard takes signs of daemons but the silent ones.
func (e *Exchange) heard(daemons, silent []string, age time.Duration) {
	for _, name := range except(daemons, silent) {
		e.ledger.Alive(name, age)
	}
}

// told takes signs of daemons that have let uses through and no more. Where any had been
// silent, those that report here can't know what has returned.
func (e *Exchange) told(daemons []string, uses []Use, age time.Duration) {
	if e.ledger.Told(daemons, uses, age) {
		e.tellLevels()
	}
}

// tellLevels makes the next answers tell the levels.
func (e *Exchange) tellLevels() {
	e.changes++
	e.levelled = e.changes
}

// except returns the names that are not among others.
func except(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}

// Hubs returns the hubs that were heard lately.
func (e *Exchange) Hubs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hubs()
}

func (e *Exchange) hubs() []string {
	var out []string
	for name, s := range e.groups {
		if e.now().Sub(s.heard) <= SilentAfter {
			out = append(out, name)
		}
	}
	return out
}

// grown takes counts that were told, and returns by how much they exceed those
// known before.
func grown(known map[string]float64, told []Use) []Use {
	out := make([]Use, 0, len(told))
	for _, u := range told {
		out = append(out, Use{u.Workspace, u.Amount - known[u.Workspace]})
		known[u.Workspace] = u.Amount
	}
	return out
}

// addGroup counts what daemons of this hub let through.
func (e *Exchange) addGroup(uses []Use) {
	for _, u := range uses {
		e.group[u.Workspace] += u.Amount
		e.untold[u.Workspace] = true
	}
	e.addTotals(uses)
}

func (e *Exchange) addTotals(uses []Use) {
	if len(uses) == 0 {
		return
	}
	e.changes++
	for _, u := range uses {
		t := e.totals[u.Workspace]
		if t == nil {
			t = &total{}
			e.totals[u.Workspace] = t
		}
		t.used += u.Amount
		t.version = e.changes
	}
}
