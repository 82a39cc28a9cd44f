package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportTimeout is how long a new owner waits for entries to report.
	reportTimeout = time.Second
	// entryGrace is how long the runs of an entry that left stay counted: an
	// engine goes on for a moment before it notices.
	entryGrace = 2 * time.Second
	// withdrawnGrace is how long a withdrawn grant may stay unanswered.
	withdrawnGrace = 5 * time.Second
	// silentRunGrace is how long past its deadline a run may be silent.
	silentRunGrace = 60 * time.Second
)

// entries are the entries that hold requests of the pool.
type entries struct {
	known      map[EntryID]*entry
	firstSetAt time.Time // of the first EntrySet; zero: none yet
	complete   bool
	alive      int
}

type entry struct {
	reported  bool
	goneSince time.Time // zero: alive
}

// limitShare returns the part of a limit that a new owner grants before every
// entry has told what it runs: an entry that hasn't may be using its equal
// share. What goes wrong without it: the new owner grants full limits beside
// all that the old one granted, and each engine gets twice its load; one
// would see first tokens late just after an owner change.
func (e *entries) limitShare(limit int) int {
	if e.complete || e.alive == 0 {
		return limit
	}
	return int(math.Ceil(float64(limit) * float64(e.reportedCount()) / float64(e.alive)))
}

// updateComplete notes, once for good, that all have reported or had time to.
func (e *entries) updateComplete(now time.Time) {
	if !e.complete && e.alive > 0 {
		e.complete = now.Sub(e.firstSetAt) >= reportTimeout || e.reportedCount() >= e.alive
	}
}

func (e *entries) reportedCount() int {
	n := 0
	for _, x := range e.known {
		if x.reported && x.goneSince.IsZero() {
			n++
		}
	}
	return n
}

// rebuilding tells whether a new owner may not yet know all that waits. Until
// then it sheds nobody for a bound: it would shed a request of a high tier
// because one of a lower tier that waits as well hasn't been named yet.
func (e *entries) rebuilding(now time.Time) bool {
	return !e.firstSetAt.IsZero() && now.Sub(e.firstSetAt) < reportTimeout
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

func (p *Pool) markEntryAlive(id EntryID) { p.entry(id).goneSince = time.Time{} }

func (p *Pool) entryReported(e EntryReported) {
	p.markEntryAlive(e.Entry)
	p.entry(e.Entry).reported = true
}

// setEntries drops what waits for entries that left; their callers are gone
// with them. Their runs are freed after a grace time.
func (p *Pool) setEntries(e EntrySet) {
	if p.entries.firstSetAt.IsZero() {
		p.entries.firstSetAt = p.now
	}
	alive := make(map[EntryID]bool, len(e.Entries))
	for _, id := range e.Entries {
		alive[id] = true
		p.markEntryAlive(id)
	}
	p.entries.alive = len(alive)
	for id, x := range p.entries.known {
		if !alive[id] && x.goneSince.IsZero() {
			x.goneSince = p.now
		}
	}
	for _, w := range p.sortedWaiters() {
		if !alive[w.Entry] {
			p.removeWaiter(w)
		}
	}
	for _, r := range p.byGrant {
		if !alive[r.entry] {
			if x := p.entry(r.entry); x.goneSince.IsZero() {
				x.goneSince = p.now
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
	for _, w := range p.sortedWaiters() {
		if w.Entry == e.Entry {
			p.removeWaiter(w)
		}
	}
	p.entry(e.Entry).goneSince = p.now.Add(-entryGrace)
	p.reclaimLostRuns()
}

// reclaimLostRuns frees the runs that nobody will release: of entries that left, of
// withdrawn grants that were lost on the way, and of those that have been
// silent long past their deadline.
func (p *Pool) reclaimLostRuns() {
	for _, r := range p.sortedRuns(p.isLost) {
		p.removeRun(r)
		p.reclaimedRuns++
		if r.suspect {
			p.suspectEnded(r, OutcomeStreamLost)
		}
	}
	for id, x := range p.entries.known {
		if !x.goneSince.IsZero() && p.now.Sub(x.goneSince) > 2*entryGrace {
			delete(p.entries.known, id)
		}
	}
}

func (p *Pool) isLost(r *run) bool {
	if x := p.entries.known[r.entry]; x != nil && !x.goneSince.IsZero() && p.now.Sub(x.goneSince) >= entryGrace {
		return true
	}
	if !r.withdrawnAt.IsZero() && p.now.Sub(r.withdrawnAt) >= withdrawnGrace {
		return true
	}
	if p.cfg.ReleaseGrace > 0 && !r.deadline.IsZero() {
		return p.now.Sub(r.deadline) >= p.cfg.ReleaseGrace
	}
	last := r.lastReport
	if r.deadline.After(last) {
		last = r.deadline
	}
	return p.now.Sub(last) >= silentRunGrace
}

func (p *Pool) sortedWaiters() []*waiter {
	all := make([]*waiter, 0, len(p.waiting))
	for _, w := range p.waiting {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *waiter) int { return cmp.Compare(a.Request, b.Request) })
	return all
}

func (p *Pool) sortedRuns(match func(*run) bool) []*run {
	var all []*run
	for _, r := range p.byGrant {
		if match(r) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.id.Epoch, b.id.Epoch), cmp.Compare(a.id.Seq, b.id.Seq))
	})
	return all
}
