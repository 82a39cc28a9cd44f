package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// settleTime is how long a new owner waits for entries to report.
	settleTime = time.Second
	// lostGrace is how long the runs of an entry that left stay counted: an
	// engine goes on for a moment before it notices.
	lostGrace = 2 * time.Second
	// withdrawnGrace is how long a withdrawn grant may stay unanswered.
	withdrawnGrace = 5 * time.Second
	// silentGrace is how long past its deadline a run may be silent.
	silentGrace = 60 * time.Second
)

// entries are the entries that hold requests of the pool.
type entries struct {
	known   map[EntryID]*entry
	first   time.Time // of the first EntrySet; zero: none yet
	settled bool
	alive   int
}

type entry struct {
	reported bool
	gone     time.Time // zero: alive
}

// share returns the part of a limit that a new owner grants before every
// entry has told what it runs: an entry that hasn't may be using its equal
// share. What goes wrong without it: the new owner grants full limits beside
// all that the old one granted, and each engine gets twice its load; one
// would see first tokens late just after an owner change.
func (e *entries) share(limit int) int {
	if e.settled || e.alive == 0 {
		return limit
	}
	return int(math.Ceil(float64(limit) * float64(e.reported()) / float64(e.alive)))
}

// settle notes, once for good, that all have reported or had time to.
func (e *entries) settle(now time.Time) {
	if !e.settled && e.alive > 0 {
		e.settled = now.Sub(e.first) >= settleTime || e.reported() >= e.alive
	}
}

func (e *entries) reported() int {
	n := 0
	for _, x := range e.known {
		if x.reported && x.gone.IsZero() {
			n++
		}
	}
	return n
}

// rebuilding tells whether a new owner may not yet know all that waits. Until
// then it sheds nobody for a bound: it would shed a request of a high tier
// because one of a lower tier that waits as well hasn't been named yet.
func (e *entries) rebuilding(now time.Time) bool {
	return !e.first.IsZero() && now.Sub(e.first) < settleTime
}

func (p *Pool) entry(id EntryID) *entry {
	if p.entries.known == nil {
		p.entries.known = make(map[EntryID]*entry)
	}
	x := p.entries.known[id]
	if x == nil {
		x = &entry{}
		p.entries.known[id] = x
	}
	return x
}

func (p *Pool) entryHeard(id EntryID) { p.entry(id).gone = time.Time{} }

func (p *Pool) entryReported(e EntryReported) {
	p.entryHeard(e.Entry)
	p.entry(e.Entry).reported = true
}

// setEntries drops what waits for entries that left; their callers are gone
// with them. Their runs are freed after a grace time.
func (p *Pool) setEntries(e EntrySet) {
	if p.entries.first.IsZero() {
		p.entries.first = p.now
	}
	alive := make(map[EntryID]bool, len(e.Entries))
	for _, id := range e.Entries {
		alive[id] = true
		p.entryHeard(id)
	}
	p.entries.alive = len(alive)
	for id, x := range p.entries.known {
		if !alive[id] && x.gone.IsZero() {
			x.gone = p.now
		}
	}
	for _, w := range p.waitingInOrder() {
		if !alive[w.Entry] {
			p.drop(w)
		}
	}
	for _, r := range p.byGrant {
		if !alive[r.entry] {
			if x := p.entry(r.entry); x.gone.IsZero() {
				x.gone = p.now
			}
		}
	}
}

// entryEnded drops what waits for an entry whose process has ended, and frees
// its runs.
//
// What goes wrong where they stay counted like those of an entry that is only
// out of reach: eight of nine daemons are killed and are back half a second
// later; for four seconds their runs fill a pool whose servers are idle, and
// everybody is shed. One would notice a pool without a free slot whose servers are idle.
func (p *Pool) entryEnded(e EntryEnded) {
	for _, w := range p.waitingInOrder() {
		if w.Entry == e.Entry {
			p.drop(w)
		}
	}
	p.entry(e.Entry).gone = p.now.Add(-lostGrace)
	p.freeLost()
}

// freeLost frees the runs that nobody will release: of entries that left, of
// withdrawn grants that were lost on the way, and of those that have been
// silent long past their deadline.
func (p *Pool) freeLost() {
	for _, r := range p.runsInOrder(p.lost) {
		p.removeRun(r)
		p.lostRuns++
		if r.alone {
			p.aloneEnded(r, OutcomeBroken)
		}
	}
	for id, x := range p.entries.known {
		if !x.gone.IsZero() && p.now.Sub(x.gone) > 2*lostGrace {
			delete(p.entries.known, id)
		}
	}
}

func (p *Pool) lost(r *run) bool {
	if x := p.entries.known[r.entry]; x != nil && !x.gone.IsZero() && p.now.Sub(x.gone) >= lostGrace {
		return true
	}
	if !r.withdrawn.IsZero() && p.now.Sub(r.withdrawn) >= withdrawnGrace {
		return true
	}
	if p.cfg.RunGrace > 0 && !r.deadline.IsZero() {
		return p.now.Sub(r.deadline) >= p.cfg.RunGrace
	}
	last := r.heard
	if r.deadline.After(last) {
		last = r.deadline
	}
	return p.now.Sub(last) >= silentGrace
}

func (p *Pool) waitingInOrder() []*waiter {
	all := make([]*waiter, 0, len(p.waiting))
	for _, w := range p.waiting {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.Request, b.Request) })
	return all
}

func (p *Pool) runsInOrder(which func(*run) bool) []*run {
	var all []*run
	for _, r := range p.byGrant {
		if which(r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.id.Epoch, b.id.Epoch), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return all
}
