// Package allowance is the aggregate that bounds what each workspace uses,
// over all daemons together. It has no clock and calls nobody.
package allowance

import (
	"math"
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/route"
)

// Ledger holds a token bucket for each workspace. It is safe for concurrent
// use.
type Ledger struct {
	mu      sync.Mutex
	now     func() time.Time
	buckets map[string]*bucket
}

type bucket struct {
	level    float64
	filled   time.Time
	rate     float64
	capacity float64
}

// NewLedger returns an empty ledger.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{now: now, buckets: map[string]*bucket{}}
}

// Take uses cost of a workspace's allowance, or tells when there will be
// enough.
func (l *Ledger) Take(w *route.Workspace, cost float64) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	if b.level >= cost || b.level >= b.capacity {
		// One that asks for more than the bucket holds may have it once full.
		b.level -= cost
		return true, 0
	}
	need := min(cost, b.capacity) - b.level
	return false, time.Duration(math.Ceil(need / b.rate * float64(time.Second)))
}

// Return gives back what a request took that was not run.
func (l *Ledger) Return(w *route.Workspace, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(w)
	b.level = min(b.capacity, b.level+cost)
}

// bucket returns the workspace's bucket, filled up to now.
func (l *Ledger) bucket(w *route.Workspace) *bucket {
	now := l.now()
	b := l.buckets[w.Name]
	if b == nil {
		b = &bucket{level: w.Allowance.Burst, filled: now}
		l.buckets[w.Name] = b
	}
	b.rate, b.capacity = w.Allowance.PerSecond, w.Allowance.Burst
	b.level = min(b.capacity, b.level+b.rate*max(0, now.Sub(b.filled).Seconds()))
	b.filled = now
	return b
}
