// Package quota limits what each workspace uses, summed over all daemons. A Limiter holds
// one daemon's view of the remaining quota. An Exchange reports this daemon's usage and
// learns the other daemons' usage through a hub. Neither opens connections, and their clock
// is injected.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/route"
)

// Limiter holds a token bucket for each workspace. All daemons draw on the same quota. It
// is safe for concurrent use.
//
// Independent buckets in each daemon would either admit the whole quota once per daemon or,
// with a fixed share each, reject requests while the shares of idle daemons are unused.
// Here each daemon deducts the usage that the others report. A daemon that is silent keeps
// its share of the rate and of the saved burst, and admits no more than that while it hears
// nobody itself. The total therefore stays bounded during a network partition.
type Limiter struct {
	mu        sync.Mutex
	now       func() time.Time
	buckets   map[string]*bucket
	peers     peers
	tolerance Tolerance
	random    func() float64 // in [0, 1)
}

// Usage is an amount of a workspace's quota, in the unit of the quota: requests or tokens.
type Usage struct {
	Workspace string
	Amount    float64
}

// NewLimiter returns a limiter without buckets. It assumes assumedDaemons daemons in all
// until SetMembers has named another one.
func NewLimiter(now func() time.Time, assumedDaemons int, t Tolerance) *Limiter {
	return &Limiter{
		now: now, tolerance: t, buckets: map[string]*bucket{}, random: rand.Float64,
		peers: peers{lastHeard: map[string]time.Time{}, assumedDaemons: max(1, assumedDaemons), accruedAt: now(), startedAt: now(), checkedAt: now()},
	}
}

// AddWorkspaces creates the buckets of new workspaces, so that they fill before the first
// request.
func (l *Limiter) AddWorkspaces(workspaces []*route.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, ws := range workspaces {
		if ws.Quota.PerSecond > 0 {
			l.bucket(ws)
		}
	}
}

// Return refunds the cost of a request that did not run.
func (l *Limiter) Return(ws *route.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(ws)
	b.add(cost)
	b.unreported -= cost
	b.recentTotal.add(l.now(), -cost)
}

// SetMembers sets the names of the other daemons. What was withheld for a silent daemon
// that has left for good is released, because that daemon admits nothing any more.
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

// RecordHeartbeat records a heartbeat of another daemon that is age old. The daemon's usage
// since its previous heartbeat is not known.
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

// RecordReport records heartbeats, age old, of daemons whose whole usage since their
// previous heartbeats is known. It reports whether any of them had been suspected or
// silent.
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

// NeverHeard returns those of the named daemons that have sent no heartbeat yet.
func (l *Limiter) NeverHeard(names []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.neverHeardAmong(names)
}

// HeartbeatStatus returns the age of the oldest heartbeat that a hub may still relay, and
// the daemons whose latest heartbeat is older than that.
func (l *Limiter) HeartbeatStatus() (age time.Duration, stale []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	return l.peers.maxAge(now), l.peers.stale(maxRelayedAge, now)
}

// DeductRemote deducts usage of other daemons. A negative amount is a refund.
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
			l.detectContention(b)
		}
	}
}

// TakeUnreported returns this daemon's usage since the previous call, by workspace.
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

// HasUnreported reports whether TakeUnreported would return anything.
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

// Levels returns the level of each bucket. A negative level is an overdraft.
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

// SettledLevels returns the levels of buckets that are old enough to have filled once and
// are not full. Before that, a low level only means that the bucket is new.
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

// AdoptLevels replaces the levels by those of another daemon, less the usage that this
// daemon has not reported yet.
func (l *Limiter) AdoptLevels(levels []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range levels {
		if b := l.buckets[u.Workspace]; b != nil {
			l.refill(b)
			b.level, b.withheld = min(b.maxLevel, u.Amount-b.unreported), 0
		}
	}
	// The adopted levels include everything that has accrued until now.
	l.peers.markAccrued(l.now())
}

// CapLevels lowers each level to that of another daemon where that is lower: the difference
// is usage that only the other daemon knows of.
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

// Empty reports whether no workspace has a bucket.
func (l *Limiter) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets) == 0
}

// bucket returns the workspace's bucket, refilled up to now. A new bucket starts empty,
// because a daemon that has just started does not know what the others, or its own previous
// process, have used.
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

// refill adds what has accrued. The part of the capacity that belongs to daemons that are
// not heard stays unused.
func (l *Limiter) refill(b *bucket) {
	l.detectSilence()
	l.peers.accrue(l.now())
	b.maxLevel = b.capacity * l.peers.share()
	b.fillTo(l.peers.accrued)
}

// detectSilence finds daemons that have become silent, and withholds their part of each
// bucket.
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

// Share returns the fraction of the quotas that accrues here. It is 1 while all daemons are
// heard.
func (l *Limiter) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detectSilence()
	return l.peers.share()
}
