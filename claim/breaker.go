package claim

import (
	"sync"
	"time"
)

// The interval between two probes of an unavailable store.
const (
	minProbeInterval    = 10 * time.Millisecond
	maxProbeInterval    = time.Second
	probeIntervalGrowth = 1.5
)

// circuitBreaker lets only probes through while the store is unavailable. All claims
// of a process share one probe, whose interval grows to a second.
//
// Without it each waiting claim would retry by itself: store calls would rise in an
// outage, and a store that recovers would get the calls of all claims of all entries
// at once.
type circuitBreaker struct {
	mu            sync.Mutex
	probeInterval time.Duration // zero while the breaker is closed
	nextProbe     time.Time     // time of the next probe
}

// allow reports whether a call may be sent now.
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

// observe records whether the store refused a call as unavailable.
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
