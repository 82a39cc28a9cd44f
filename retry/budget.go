// Package retry bounds the load that retries add to a service, summed over all daemons and
// without communication between them.
package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// slicesPerWindow is how finely a window is counted.
	slicesPerWindow = 100
	// slicesKept covers a window of retries and the requests of the window before.
	slicesKept = 2*slicesPerWindow + 1
	// currentShare is the part of the ratio that the requests of the same window earn. The
	// window before earns the rest: its requests are known when a server fails, so that some
	// retries can be sent at once.
	currentShare = 5.0 / 6
	// newcomerSlack is the largest slack of a budget that is younger than a window: an
	// earlier process of the same VM may have used the rest.
	newcomerSlack = 1
)

// Bound limits one daemon's retries for a service, which are its sends beyond the first of
// each request. In any window they are at most Ratio x requests + Slack, where requests is a
// mean of those of the window and of the window before.
//
// The weights of the mean are the same for all daemons. Otherwise the sum of their retries
// could exceed what the sum of their requests allows in either window.
type Bound struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Budget keeps a daemon's retries for one service within its bound. A retry is reserved when
// it is decided and charged when it is sent: it may wait for a slot in between.
//
// If it were charged when it is decided, retries that were allowed over a long time would be
// sent together as soon as slots are free, and overload the service that recovers.
//
// It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	bound     Bound
	createdAt time.Time
	slices    [slicesKept]slice // a ring; by number of the slice
	current   int64             // number of the latest slice
	reserved  int
}

// slice counts what happened in a part of a window.
type slice struct{ requests, retries int }

// NewBudget returns a budget without any requests.
func NewBudget(b Bound, now time.Time) *Budget { return &Budget{bound: b, createdAt: now} }

// SetSlack changes the slack of the bound.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound.Slack = slack
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.at(b.current).requests++
}

// Reserve reserves a retry. It reports whether one is left beside those that are reserved.
func (b *Budget) Reserve(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.left(now) < float64(b.reserved+1) {
		return false
	}
	b.reserved++
	return true
}

// Release ends a reservation whose retry is not sent.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// Send ends a reservation and charges its retry, which is sent now. It reports whether the
// bound allows that; requests may have become fewer since the reservation.
func (b *Budget) Send(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.reserved--
	if b.left(now) < 1 {
		return false
	}
	b.at(b.current).retries++
	return true
}

// Left returns how many retries can be sent now; those that are reserved are not deducted.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.left(now)
}

// left returns the smallest rest of all windows that contain now. A window may begin
// anywhere in its first slice, so the requests of that slice count as those of the window
// before, which earn less.
func (b *Budget) left(now time.Time) float64 {
	slack := b.bound.Slack
	if now.Sub(b.createdAt) < b.bound.Window {
		slack = min(slack, newcomerSlack)
	}
	before, within, retries := 0, 0, 0
	for i := b.current - slicesPerWindow + 1; i <= b.current; i++ {
		before += b.at(i).requests
	}
	least := math.Inf(1)
	for first := b.current; ; first-- {
		retries += b.at(first).retries
		earned := b.bound.Ratio * (currentShare*float64(within) + (1-currentShare)*float64(before))
		least = min(least, earned+slack-float64(retries))
		if first == b.current-slicesPerWindow {
			return least
		}
		within += b.at(first).requests
		before += b.at(first-slicesPerWindow).requests - b.at(first).requests
	}
}

// advance makes the slice of now the latest one, unless a later one is.
func (b *Budget) advance(now time.Time) {
	n := int64(now.Sub(b.createdAt) / (b.bound.Window / slicesPerWindow))
	for i := max(b.current, n-slicesKept) + 1; i <= n; i++ {
		*b.at(i) = slice{}
	}
	b.current = max(b.current, n)
}

// at returns a slice by its number. Those before the first one are empty.
func (b *Budget) at(n int64) *slice { return &b.slices[(n+slicesKept)%slicesKept] }
