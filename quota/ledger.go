// Package quota is the aggregate that bounds what each workspace uses,
// over all daemons together. A Ledger holds what a daemon believes to be left;
// an Exchange learns through a hub what the other daemons let through. Neither
// has connections of its own, and their clock is injected.
package quota

import (
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
)

// SilentAfter is how long another daemon may say nothing before its share is
// left to it.
const SilentAfter = 1500 * time.Millisecond

// fillAllEvery bounds the time that a bucket accrues at one rate: a bucket that
// nobody uses would get the share of a silence for the time before it too.
const fillAllEvery = SilentAfter / 4

// Ledger holds a token bucket for each workspace that all daemons empty
// together. It is safe for concurrent use.
//
// What goes wrong with a bucket in each daemon: every one lets the whole
// quota through, or, with a fixed share each, refuses while the others'
// shares lie idle. One would notice a workspace over its limit, or refused
// below it. Here each counts what the others let through. Of one that says
// nothing it assumes that it lets its fixed share through, as that one does when
// it hears nobody. So the sum is bounded while daemons are cut off from each
// other.
type Ledger struct {
	mu      sync.Mutex
	now     func() time.Time
	buckets map[string]*bucket
	// heard is when the other daemons that may let requests through last gave
	// a sign; zero: not yet.
	heard     map[string]time.Time
	filledAll time.Time // when all buckets were last filled
	// assumed is how many daemons there may be while none has been met.
	assumed   int
	tolerance Tolerance
}

// bucket is a workspace's, as far as this daemon knows.
type bucket struct {
	level    float64
	filled   time.Time
	rate     float64
	capacity float64
	pending  float64 // let through by this daemon and not yet told
	// asked is when a request of each tier last asked; zero: never.
	asked [request.MaxTiers]time.Time
}

// Use is an amount of a workspace's quota.
type Use struct {
	Workspace string
	Amount    float64
}

// NewLedger returns an empty ledger. assumed is the number of daemons to
// reckon with while no other has been met.
func NewLedger(now func() time.Time, assumed int, t Tolerance) *Ledger {
	return &Ledger{now: now, tolerance: t, buckets: map[string]*bucket{}, heard: map[string]time.Time{}, assumed: max(1, assumed)}
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
	b.level = min(b.capacity, b.level+cost)
	b.pending -= cost
}

// Members tells which other daemons there are. One that is gone for good
// lets nothing through any more.
func (l *Ledger) Members(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[string]bool, len(names))
	for _, n := range names {
		known[n] = true
		if _, ok := l.heard[n]; !ok {
			l.heard[n] = time.Time{}
		}
	}
	for n := range l.heard {
		if !known[n] {
			delete(l.heard, n)
		}
	}
}

// Alive takes a sign of another daemon that is age old.
func (l *Ledger) Alive(name string, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	at := now.Add(-age)
	before, known := l.heard[name]
	if !known || !at.After(before) {
		return
	}
	if l.silent(before, now) || now.Sub(l.filledAll) >= fillAllEvery {
		l.fillAll() // at the rate that was allowed until now
	}
	l.heard[name] = at
}

// Silent returns the other daemons that have given no sign for SilentAfter.
func (l *Ledger) Silent() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name, at := range l.heard {
		if l.silent(at, l.now()) {
			out = append(out, name)
		}
	}
	return out
}

// Spend takes from the buckets what other daemons have let through. An amount
// below zero was given back.
func (l *Ledger) Spend(uses []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range uses {
		if b := l.buckets[u.Workspace]; b != nil {
			l.fill(b)
			b.level = min(b.capacity, b.level-u.Amount)
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

// Adopt puts another daemon's levels in place of the own ones, less what was
// let through here that the other can't know of yet.
func (l *Ledger) Adopt(levels []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range levels {
		if b := l.buckets[u.Workspace]; b != nil {
			l.fill(b)
			b.level = min(b.capacity, u.Amount-b.pending)
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
		b = &bucket{filled: l.now()}
		l.buckets[w.Name] = b
	}
	b.rate, b.capacity = l.tolerance.rate(w.Quota), l.tolerance.capacity(w.Quota)
	l.fill(b)
	return b
}

func (l *Ledger) fillAll() {
	l.filledAll = l.now()
	for _, b := range l.buckets {
		l.fill(b)
	}
}

// fill adds what has accrued, less the shares of the daemons that are silent.
func (l *Ledger) fill(b *bucket) {
	now := l.now()
	accrued := b.rate * max(0, now.Sub(b.filled).Seconds()) * l.share(now)
	b.level = min(b.capacity, b.level+accrued)
	b.filled = now
}

// Share is the part of the quotas that accrues here; 1: all daemons are
// heard.
func (l *Ledger) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share(l.now())
}

// share is the part of the rate that accrues here: all of it while every other
// daemon is heard.
func (l *Ledger) share(now time.Time) float64 {
	if len(l.heard) == 0 {
		return 1 / float64(l.assumed)
	}
	silent := 0
	for _, at := range l.heard {
		if l.silent(at, now) {
			silent++
		}
	}
	return 1 - float64(silent)/float64(len(l.heard)+1)
}

func (l *Ledger) silent(heard, now time.Time) bool {
	return heard.IsZero() || now.Sub(heard) > SilentAfter
}
