package claim

import (
	"sync"
	"time"
)

// Between two probes of a store that refuses calls.
const (
	minProbeInterval    = 10 * time.Millisecond
	maxProbeInterval    = time.Second
	probeIntervalGrowth = 1.5
)

// circuitBreaker lets only probes through while the store refuses calls.
//
// What goes wrong without it: each waiting claim tries again by itself, and a
// store that comes back meets the calls of every claim of every entry at once.
// One would see store calls rise in an outage. One process's claims share one
// probe, which grows rarer to once a second.
type circuitBreaker struct {
	mu            sync.Mutex
	probeInterval time.Duration // zero: the store takes calls
	nextProbe     time.Time     // of the next probe
}

// allow tells whether a call may be sent now.
func (o *circuitBreaker) allow() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.probeInterval == 0 {
		return true
	}
	now := time.Now()
	if now.Before(o.nextProbe) {
		return false
	}
	o.nextProbe = now.Add(o.probeInterval)
	return true
}

// observe takes in whether the store refused a call.
func (o *circuitBreaker) observe(refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !refused {
		o.probeInterval = 0
		return
	}
	o.probeInterval = min(maxProbeInterval, max(minProbeInterval, time.Duration(float64(o.probeInterval)*probeIntervalGrowth)))
	o.nextProbe = time.Now().Add(o.probeInterval)
}
