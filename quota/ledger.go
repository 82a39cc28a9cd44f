// Package quota is the aggregate that bounds what each workspace uses,
// over all daemons together. A Ledger holds what a daemon believes to be left;
// an Exchange learns through a hub what the other daemons let through. Neither
// has connections of its own, and their clock is injected.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/route"
)

// Ledger holds a token bucket for each workspace that all daemons empty
// together. It is safe for concurrent use.
//
// What goes wrong with a bucket in each daemon: every one lets the whole
// quota through, or, with a fixed share each, refuses while the others'
// shares lie idle. One would notice a workspace over its limit, or refused
// below it. Here each counts what the others let through. One that says nothing
// keeps its share of the rate and of what was saved, which is all that it lets
// through when it hears nobody. So the sum is bounded while daemons are cut off
// from each other.
type Ledger struct {
	mu        sync.Mutex
	now       func() time.Time
	buckets   map[string]*bucket
	others    others
	tolerance Tolerance
	random    func() float64 // in [0, 1)
}

// Use is an amount of a workspace's quota.
type Use struct {
	Workspace string
	Amount    float64
}

// NewLedger returns an empty ledger. assumed is the number of daemons to
// reckon with while no other has been met.
func NewLedger(now func() time.Time, assumed int, t Tolerance) *Ledger {
	return &Ledger{
		now: now, tolerance: t, buckets: map[string]*bucket{}, random: rand.Float64,
		others: others{heard: map[string]time.Time{}, assumed: max(1, assumed), at: now(), began: now(), looked: now()},
	}
}

// Prepare begins to fill the buckets of workspaces that are new, before their
// first request.
func (l *Ledger) Prepare(all []*route.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range all {
		if w.Quota.PerSecond > 0 {
			l.bucket(w)
		}
	}
}

// Return gives back what a request took that was not run.
func (l *Ledger) Return(w *route.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	b.add(cost)
	b.pending -= cost
	b.spent.add(l.now(), -cost)
}

// Members tells which other daemons there are. One that is gone for good
// lets nothing through any more.
func (l *Ledger) Members(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.others.silent
	l.others.members(names, l.now())
	if gone := before - l.others.silent; gone > 0 {
		for _, b := range l.buckets {
			b.kept -= b.kept * float64(gone) / float64(before)
		}
	}
}

// Alive takes a sign of another daemon that is age old.
func (l *Ledger) Alive(name string, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.look()
	silent, met := l.others.silent, l.others.met()
	gap := l.others.alive(name, now.Add(-age), now, false)
	if gap <= doubtAfter {
		return
	}
	for _, b := range l.buckets {
		if gap > SilentAfter {
			b.kept -= b.kept / float64(max(1, silent))
		}
		b.assume(1/float64(met), gap, now)
	}
}

// Told takes signs, age old, of other daemons that have let uses through since the last
// one, and no more. It returns whether any of them had been silent for a while.
func (l *Ledger) Told(names []string, uses []Use, age time.Duration) (returned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look()
	back := l.others.silentAmong(names)
	if back > 0 {
		for _, b := range l.buckets {
			l.fill(b)
		}
	}
	now := l.now()
	silent, met, accrued := l.others.silent, l.others.met(), l.others.accrued
	for _, name := range names {
		gap := l.others.alive(name, now.Add(-age), now, true)
		returned = returned || gap > doubtAfter
	}
	if back == 0 {
		l.spend(uses)
		return returned
	}
	used := make(map[string]float64, len(uses))
	for _, u := range uses {
		used[u.Workspace] += u.Amount
	}
	for name, b := range l.buckets {
		kept := b.kept * float64(back) / float64(max(back, silent))
		b.kept -= kept
		b.rejoin(kept+b.rate*(l.others.accrued-accrued)-used[name], float64(back)/float64(met))
		b.filled = l.others.accrued
	}
	return true
}

// Unmet returns those of the named that were never heard.
func (l *Ledger) Unmet(names []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.others.unmetAmong(names)
}

// Signs returns how old the other daemons' signs are at most, and who has given none for
// longer than a hub passes on.
func (l *Ledger) Signs() (age time.Duration, quiet []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return l.others.age(now), l.others.quiet(quietAfter, now)
}

// Spend takes from the buckets what other daemons have let through. An amount
// below zero was given back.
func (l *Ledger) Spend(uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spend(uses)
}

func (l *Ledger) spend(uses []Use) {
	for _, u := range uses {
		if b := l.buckets[u.Workspace]; b != nil {
			l.fill(b)
			b.add(-u.Amount)
			b.spent.add(l.now(), u.Amount)
			b.told.add(l.now(), u.Amount)
		}
	}
}

// Pending returns what this daemon has let through since the last call, by
// workspace.
func (l *Ledger) Pending() []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Use
	for name, b := range l.buckets {
		if b.pending != 0 {
			out = append(out, Use{name, b.pending})
			b.pending = 0
		}
	}
	return out
}

// Untold tells whether Pending would return anything.
func (l *Ledger) Untold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if b.pending != 0 {
			return true
		}
	}
	return false
}

// Levels returns what is left in each bucket; below zero: overdrawn.
func (l *Ledger) Levels() []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Use, 0, len(l.buckets))
	for name, b := range l.buckets {
		l.fill(b)
		out = append(out, Use{name, b.level})
	}
	return out
}

// SettledLevels returns the levels of the buckets that could have filled since they were
// made and are not full: how low one is tells nothing before.
func (l *Ledger) SettledLevels() []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Use
	for name, b := range l.buckets {
		l.fill(b)
		if (b.filled-b.made)*b.rate >= b.capacity && b.level < b.room {
			out = append(out, Use{name, b.level})
		}
	}
	return out
}

// Adopt puts another daemon's levels in place of the own ones, less what was
// let through here that the other can't know of yet.
func (l *Ledger) Adopt(levels []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range levels {
		if b := l.buckets[u.Workspace]; b != nil {
			l.fill(b)
			b.level, b.kept = min(b.room, u.Amount-b.pending), 0
		}
	}
	// What has accrued until now is in the levels.
	l.others.caughtUp(l.now())
}

// AtMost lowers the levels to another daemon's: what it knows of and this one does not has
// been let through.
func (l *Ledger) AtMost(levels []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range levels {
		if b := l.buckets[u.Workspace]; b != nil {
			l.fill(b)
			b.level = min(b.level, u.Amount)
		}
	}
}

// Empty tells whether no workspace has a quota here.
func (l *Ledger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets) == 0
}

// bucket returns the workspace's bucket, filled up to now. A new one starts
// empty: a daemon that has just started does not know what the others, or its
// own former life, have let through.
func (l *Ledger) bucket(w *route.Workspace) *bucket {
	b := l.buckets[w.Name]
	if b == nil {
		l.others.accrue(l.now())
		b = newBucket(l.others.accrued)
		l.buckets[w.Name] = b
	}
	b.rate, b.capacity = l.tolerance.rate(w.Quota), l.tolerance.capacity(w.Quota)
	l.fill(b)
	return b
}

// fill adds what has accrued, and leaves the daemons that have fallen silent their part.
func (l *Ledger) fill(b *bucket) {
	l.look()
	l.others.accrue(l.now())
	b.room = b.capacity * l.others.share()
	b.fillTo(l.others.accrued)
}

// look finds who has fallen silent, and leaves them their part of what is left.
func (l *Ledger) look() {
	now := l.now()
	if now.Sub(l.others.looked) < lookEvery {
		return
	}
	part := l.others.fellSilent(now)
	if part == 0 {
		return
	}
	for _, b := range l.buckets {
		b.fillTo(l.others.accrued)
		left := b.without(part, SilentAfter, now)
		b.kept += b.level - left
		b.level = left
	}
}

// Share is the part of the quotas that accrues here; 1: all daemons are
// heard.
func (l *Ledger) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.look()
	return l.others.share()
}
