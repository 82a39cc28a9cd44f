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

// Limiter holds a token bucket for each workspace that all daemons empty
// together. It is safe for concurrent use.
//
// What goes wrong with a bucket in each daemon: every one lets the whole
// quota through, or, with a fixed share each, refuses while the others'
// shares lie idle. One would notice a workspace over its limit, or refused
// below it. Here each counts what the others let through. One that says nothing
// keeps its share of the rate and of what was saved, which is all that it lets
// through when it hears nobody. So the sum is bounded while daemons are cut off
// from each other.
type Limiter struct {
	mu        sync.Mutex
	now       func() time.Time
	buckets   map[string]*bucket
	peers     peers
	tolerance Tolerance
	random    func() float64 // in [0, 1)
}

// Usage is an amount of a workspace's quota.
type Usage struct {
	Workspace string
	Amount    float64
}

// NewLimiter returns an empty ledger. assumed is the number of daemons to
// reckon with while no other has been met.
func NewLimiter(now func() time.Time, assumedDaemons int, t Tolerance) *Limiter {
	return &Limiter{
		now: now, tolerance: t, buckets: map[string]*bucket{}, random: rand.Float64,
		peers: peers{lastHeard: map[string]time.Time{}, assumedDaemons: max(1, assumedDaemons), accruedAt: now(), startedAt: now(), checkedAt: now()},
	}
}

// AddWorkspaces begins to fill the buckets of workspaces that are new, before their
// first request.
func (l *Limiter) AddWorkspaces(workspaces []*route.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ws := range workspaces {
		if ws.Quota.PerSecond > 0 {
			l.bucket(ws)
		}
	}
}

// Return gives back what a request took that was not run.
func (l *Limiter) Return(ws *route.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(ws)
	b.add(cost)
	b.unreported -= cost
	b.recentTotal.add(l.now(), -cost)
}

// SetMembers tells which other daemons there are. One that is gone for good
// lets nothing through any more.
func (l *Limiter) SetMembers(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.peers.silent
	l.peers.setMembers(names, l.now())
	if gone := before - l.peers.silent; gone > 0 {
		for _, b := range l.buckets {
			b.withheld -= b.withheld * float64(gone) / float64(before)
		}
	}
}

// RecordHeartbeat takes a sign of another daemon that is age old.
func (l *Limiter) RecordHeartbeat(name string, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.detectSilence()
	silent, heard := l.peers.silent, l.peers.heardCount()
	gap := l.peers.recordHeartbeat(name, now.Add(-age), now, false)
	if gap <= suspectTimeout {
		return
	}
	for _, b := range l.buckets {
		if gap > SilenceTimeout {
			b.withheld -= b.withheld / float64(max(1, silent))
		}
		b.deductAssumed(1/float64(heard), gap, now)
	}
}

// RecordReport takes signs, age old, of other daemons that have let uses through since the last
// one, and no more. It returns whether any of them had been silent for a while.
func (l *Limiter) RecordReport(names []string, usage []Usage, age time.Duration) (returned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detectSilence()
	returning := l.peers.silentAmong(names)
	if returning > 0 {
		for _, b := range l.buckets {
			l.refill(b)
		}
	}
	now := l.now()
	silent, heard, accruedBefore := l.peers.silent, l.peers.heardCount(), l.peers.accrued
	for _, name := range names {
		gap := l.peers.recordHeartbeat(name, now.Add(-age), now, true)
		returned = returned || gap > suspectTimeout
	}
	if returning == 0 {
		l.deductRemote(usage)
		return returned
	}
	used := make(map[string]float64, len(usage))
	for _, u := range usage {
		used[u.Workspace] += u.Amount
	}
	for name, b := range l.buckets {
		withheld := b.withheld * float64(returning) / float64(max(returning, silent))
		b.withheld -= withheld
		b.creditReturning(withheld+b.rate*(l.peers.accrued-accruedBefore)-used[name], float64(returning)/float64(heard))
		b.filledTo = l.peers.accrued
	}
	return true
}

// NeverHeard returns those of the named that were never heard.
func (l *Limiter) NeverHeard(names []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.neverHeardAmong(names)
}

// HeartbeatStatus returns how old the other daemons' signs are at most, and who has given none for
// longer than a hub passes on.
func (l *Limiter) HeartbeatStatus() (age time.Duration, stale []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return l.peers.maxAge(now), l.peers.stale(maxRelayedAge, now)
}

// DeductRemote takes from the buckets what other daemons have let through. An amount
// below zero was given back.
func (l *Limiter) DeductRemote(usage []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deductRemote(usage)
}

func (l *Limiter) deductRemote(usage []Usage) {
	for _, u := range usage {
		if b := l.buckets[u.Workspace]; b != nil {
			l.refill(b)
			b.add(-u.Amount)
			b.recentTotal.add(l.now(), u.Amount)
			b.recentRemote.add(l.now(), u.Amount)
		}
	}
}

// TakeUnreported returns what this daemon has let through since the last call, by
// workspace.
func (l *Limiter) TakeUnreported() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Usage
	for name, b := range l.buckets {
		if b.unreported != 0 {
			out = append(out, Usage{name, b.unreported})
			b.unreported = 0
		}
	}
	return out
}

// HasUnreported tells whether Pending would return anything.
func (l *Limiter) HasUnreported() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if b.unreported != 0 {
			return true
		}
	}
	return false
}

// Levels returns what is left in each bucket; below zero: overdrawn.
func (l *Limiter) Levels() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Usage, 0, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(b)
		out = append(out, Usage{name, b.level})
	}
	return out
}

// SettledLevels returns the levels of the buckets that could have filled since they were
// made and are not full: how low one is tells nothing before.
func (l *Limiter) SettledLevels() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Usage
	for name, b := range l.buckets {
		l.refill(b)
		if (b.filledTo-b.createdAt)*b.rate >= b.capacity && b.level < b.maxLevel {
			out = append(out, Usage{name, b.level})
		}
	}
	return out
}

// AdoptLevels puts another daemon's levels in place of the own ones, less what was
// let through here that the other can't know of yet.
func (l *Limiter) AdoptLevels(levels []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range levels {
		if b := l.buckets[u.Workspace]; b != nil {
			l.refill(b)
			b.level, b.withheld = min(b.maxLevel, u.Amount-b.unreported), 0
		}
	}
	// What has accrued until now is in the levels.
	l.peers.markAccrued(l.now())
}

// CapLevels lowers the levels to another daemon's: what it knows of and this one does not has
// been let through.
func (l *Limiter) CapLevels(levels []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range levels {
		if b := l.buckets[u.Workspace]; b != nil {
			l.refill(b)
			b.level = min(b.level, u.Amount)
		}
	}
}

// Empty tells whether no workspace has a quota here.
func (l *Limiter) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets) == 0
}

// bucket returns the workspace's bucket, filled up to now. A new one starts
// empty: a daemon that has just started does not know what the others, or its
// own former life, have let through.
func (l *Limiter) bucket(ws *route.Workspace) *bucket {
	b := l.buckets[ws.Name]
	if b == nil {
		l.peers.accrue(l.now())
		b = newBucket(l.peers.accrued)
		l.buckets[ws.Name] = b
	}
	b.rate, b.capacity = l.tolerance.rate(ws.Quota), l.tolerance.capacity(ws.Quota)
	l.refill(b)
	return b
}

// refill adds what has accrued, and leaves the daemons that have fallen silent their part.
func (l *Limiter) refill(b *bucket) {
	l.detectSilence()
	l.peers.accrue(l.now())
	b.maxLevel = b.capacity * l.peers.share()
	b.fillTo(l.peers.accrued)
}

// detectSilence finds who has fallen silent, and leaves them their part of what is left.
func (l *Limiter) detectSilence() {
	now := l.now()
	if now.Sub(l.peers.checkedAt) < silenceCheckInterval {
		return
	}
	fraction := l.peers.newlySilent(now)
	if fraction == 0 {
		return
	}
	for _, b := range l.buckets {
		b.fillTo(l.peers.accrued)
		remaining := b.levelWithout(fraction, SilenceTimeout, now)
		b.withheld += b.level - remaining
		b.level = remaining
	}
}

// Share is the part of the quotas that accrues here; 1: all daemons are
// heard.
func (l *Limiter) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detectSilence()
	return l.peers.share()
}
