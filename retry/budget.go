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
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget in which each request earns ratio retries, and
// at most burst are saved up. It starts full.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SetBurst changes how much can be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
