package pool

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportTimeout is how long a new owner waits for the reports of the entries.
	reportTimeout = time.Second
	// entryGrace is how long the runs of an entry that is gone stay counted. An engine
	// continues a run until it notices the lost connection.
	entryGrace = 2 * time.Second
	// withdrawnGrace is how long a withdrawn grant may remain without a release.
	withdrawnGrace = 5 * time.Second
	// silentRunGrace is how long after its deadline a run may go without a report.
	silentRunGrace = 60 * time.Second
)

// entries tracks the entries that hold requests of the pool.
type entries struct {
	known      map[EntryID]*entry
	zones      map[EntryID]string // as of the last EntrySet
	firstSetAt time.Time          // time of the first EntrySet; zero means none yet
	complete   bool
	alive      int
}

type entry struct {
	reported  bool
	goneSince time.Time // zero means alive
	// paths are its ways to servers that it could not reach lately, by the server's name.
	paths map[string]*path
	// pushbacks are until when servers have asked it to send them nothing, by the server's name.
	pushbacks map[string]time.Time
	// foundGone is the first server that it has found gone since its last answer.
	foundGone string
}

// limitShare returns the part of a limit that a new owner may use before all entries
// have reported their runs. An entry that has not reported may be using its equal
// share. Otherwise the new owner would grant full limits on top of the old owner's
// grants, each engine would get twice its load, and first tokens would be late after an
// owner change.
func (e *entries) limitShare(limit int) int {
	if e.complete || e.alive == 0 {
		return limit
	}
	return int(math.Ceil(float64(limit) * float64(e.reportedCount()) / float64(e.alive)))
}

// updateComplete sets complete when all entries have reported or reportTimeout has
// passed. It is never reset.
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

// rebuilding reports whether a new owner may not know all waiting requests yet. Until
// then it sheds no request because of a limit: it could shed a high-tier request while
// a waiting request of a lower tier has not been announced.
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

// setEntries removes the waiting requests of entries that are gone, since their callers
// lost their connections too. Their runs are removed after a grace time.
func (p *Pool) setEntries(e EntrySet) {
	if p.entries.firstSetAt.IsZero() {
		p.entries.firstSetAt = p.now
	}
	alive := make(map[EntryID]bool, len(e.Entries))
	for _, id := range e.Entries {
		alive[id] = true
		p.markEntryAlive(id)
	}
	p.entries.alive, p.entries.zones = len(alive), e.Zones
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

// entryEnded removes the waiting requests and the runs of an entry whose process has
// ended.
//
// If they stayed counted like those of an unreachable entry, a restart of eight of nine
// daemons within half a second would fill the pool with dead runs for four seconds: all
// requests would be shed while the servers are idle.
func (p *Pool) entryEnded(e EntryEnded) {
	for _, w := range p.sortedWaiters() {
		if w.Entry == e.Entry {
			p.removeWaiter(w)
		}
	}
	p.entry(e.Entry).goneSince = p.now.Add(-entryGrace)
	p.reclaimLostRuns()
}

// reclaimLostRuns removes runs that no entry will release: runs of entries that are
// gone, withdrawn grants that were lost in transit, and runs without a report long
// after their deadline.
func (p *Pool) reclaimLostRuns() {
	for _, r := range p.sortedRuns(p.isLost) {
		p.removeRun(r)
		p.reclaimedRuns++
		if r.suspect {
			p.suspectEnded(r, OutcomeStreamLost)
		}
	}
	p.forgetPaths()
	p.forgetPushbacks()
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
