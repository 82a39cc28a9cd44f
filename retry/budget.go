// Package retry bounds the load that retries add to a service, summed over all daemons and
// without communication between them.
package retry

import "sync"

// Budget is a token bucket that requests fill: each request of a service earns a fraction
// of one retry, up to a burst. In any interval the retries are at most that fraction of the
// interval's requests plus the burst.
//
// Without it, each request is sent several times when servers fail, and the additional load
// keeps them down: the arrivals at the servers rise well above the callers' requests.
//
// It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full budget. Each request earns ratio retries, and at most burst
// retries are saved.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take uses one retry. It reports whether one was left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns how many retries can be taken now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// SetBurst changes how many retries can be saved.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}
