package callermem

import (
	"container/list"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/request"
)

// ErrEvicted: the request has lost its reservation to another one.
var ErrEvicted = errors.New("no memory left for the request")

// roomInterval is how often AwaitRoom looks for callers that have stopped since.
const roomInterval = 200 * time.Millisecond

// Reservation is what one request holds. If its connection is known, it ends when that goes on
// or is closed. All methods are called by the request's own
// goroutine; onEvict is called by another request's.
type Reservation struct {
	account *Account
	conn    *Conn // nil: unknown
	owner   string
	tier    request.Tier
	bytes   int64
	element *list.Element // nil: not evictable
	ended   bool          // evicted or released
	evicted bool
	// onEvict notifies the request. It is called with the account's lock held and must not
	// block.
	onEvict func()
}

// Reserve returns an empty reservation of a request in a tier, for its owner (a workspace, or
// whoever else answers for it). conn is the caller's connection; nil if it is not known.
func (a *Account) Reserve(conn *Conn, owner string, tier request.Tier, onEvict func()) *Reservation {
	r := &Reservation{account: a, conn: conn, owner: owner, tier: clampTier(tier), onEvict: onEvict}
	a.mu.Lock()
	defer a.mu.Unlock()
	r.element = a.tiers[r.tier].PushBack(r)
	if conn != nil {
		if conn.closed {
			r.ended = true
			a.removeFromTier(r)
			return r
		}
		conn.request = r
	}
	return r
}

// SetTier moves the reservation to the tier that the request was classified into.
func (r *Reservation) SetTier(tier request.Tier) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	tier = clampTier(tier)
	if r.element == nil || tier == r.tier {
		return
	}
	a.tiers[r.tier].Remove(r.element)
	r.tier = tier
	r.element = a.tiers[tier].PushBack(r)
}

// Resize sets the reservation to a body, and an answer, of together so many bytes. Others give
// way if there is no room. It returns false and leaves the size unchanged if there is still no
// room, or if this reservation was itself evicted.
func (r *Reservation) Resize(bytes int64) bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return r.resize(bytes)
}

func (r *Reservation) resize(bytes int64) bool {
	a := r.account
	if r.ended {
		return false
	}
	delta := bytes + a.limits.RequestBytes - r.bytes
	if delta > 0 && !a.makeRoom(delta, 0, r.conn, r) {
		return false
	}
	a.add(r, delta)
	return true
}

// AwaitRoom resizes the reservation, and waits until there is room for it. It returns the
// context's error if that ends before, or ErrEvicted.
func (r *Reservation) AwaitRoom(ctx context.Context, bytes int64) error {
	for {
		freed, err := r.resizeOrWait(bytes)
		if freed == nil {
			return err
		}
		timer := time.NewTimer(roomInterval)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// resizeOrWait resizes the reservation, or returns what is closed when bytes are given back.
func (r *Reservation) resizeOrWait(bytes int64) (freed <-chan struct{}, err error) {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.ended {
		return nil, ErrEvicted
	}
	if r.resize(bytes) {
		return nil, nil
	}
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed, nil
}

// SetOnEvict replaces how the request is notified. It returns false if it was evicted already.
func (r *Reservation) SetOnEvict(onEvict func()) bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	r.onEvict = onEvict
	return !r.ended
}

// Pin protects the reservation from other requests; it is called before the dispatch. It
// returns false if the request was already evicted.
func (r *Reservation) Pin() bool {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.ended {
		return false
	}
	a.removeFromTier(r)
	return true
}

// Unpin reverts Pin for a request that goes back to the queue.
func (r *Reservation) Unpin() {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !r.ended && r.element == nil {
		r.element = a.tiers[r.tier].PushBack(r)
	}
}

// Release gives the bytes back. It may be called more than once.
func (r *Reservation) Release() {
	a := r.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !r.ended {
		a.end(r)
	}
}

// Evicted reports whether the request has lost its reservation.
func (r *Reservation) Evicted() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.evicted
}

func clampTier(t request.Tier) request.Tier { return min(t, request.MaxTiers-1) }
