package claim

import (
	"sync"
	"time"
)

// Between two probes of a store that refuses calls.
const (
	firstProbe   = 10 * time.Millisecond
	longestProbe = time.Second
	probeGrowth  = 1.5
)

// outage lets only probes through while the store refuses calls.
//
// What goes wrong without it: each waiting claim tries again by itself, and a
// store that comes back meets the calls of every claim of every entry at once.
// One would see store calls rise in an outage. One process's claims share one
// probe, which grows rarer to once a second.
type outage struct {
	mu   sync.Mutex
	wait time.Duration // zero: the store takes calls
	next time.Time     // of the next probe
}

// mayCall tells whether a call may be sent now.
func (o *outage) mayCall() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wait == 0 {
		return true
	}
	now := time.Now()
	if now.Before(o.next) {
		return false
	}
	o.next = now.Add(o.wait)
	return true
}

// observe takes in whether the store refused a call.
func (o *outage) observe(refused bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !refused {
		o.wait = 0
		return
	}
	o.wait = min(longestProbe, max(firstProbe, time.Duration(float64(o.wait)*probeGrowth)))
	o.next = time.Now().Add(o.wait)
}
