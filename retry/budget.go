// Package retry is the aggregate that bounds how much load our own retries
// add to a service, over all daemons together and without talking to them.
package retry

import "sync"

// Budget lets each request of a service earn a share of one retry. What is
// saved up is bounded, so that in any span of time the retries stay within
// the share of that span's requests plus the bound.
//
// What goes wrong without it: when servers fail, each request is sent several
// times, and the load that grows just then keeps them down. One would notice
// arrivals at the servers well above the callers' requests.
//
// It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	earn  float64
	most  float64
	saved float64
}

// NewBudget returns a budget in which each request earns ratio retries, and
// at most burst are saved up. It starts full.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{earn: ratio, most: burst, saved: burst}
}

// Request counts a caller's request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.most, b.saved+b.earn)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Bound changes how much can be saved up.
func (b *Budget) Bound(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = burst
	b.saved = min(b.saved, burst)
}
