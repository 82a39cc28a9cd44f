package entry

import (
	"container/list"
	"sync"

	"github.com/lycheekeel/lycheekeel/request"
)

// bodyBudget bounds the bytes of the bodies that requests hold while they are
// read and while they wait. When it is full, the newest request of the lowest
// tier that waits here is evicted first.
//
// What goes wrong without it: a burst of long prompts fills a small VM's
// memory, the process is killed, and every request in it is lost, whatever
// its tier. One would notice an entry that restarts in every burst.
type bodyBudget struct {
	overhead int64 // counted for each request beside its body

	mu    sync.Mutex
	limit int64
	used  int64
	tiers [request.MaxTiers]list.List // of *reservation, oldest first
}

// reservation is one request's share of the budget. Its methods but evict are
// used by the request's own goroutine.
type reservation struct {
	budget  *bodyBudget
	tier    request.Tier
	bytes   int64
	element *list.Element // nil: cannot be evicted (any more)
	ended   bool          // onEvict or released
	// onEvict tells the request's owner; it is called with the budget's lock
	// held and must not block.
	onEvict func()
}

// requestOverhead is what a waiting request holds beside its body: stacks,
// buffers, and the collector's slack, as BenchmarkEntryMemory measured it.
const requestOverhead = 32 << 10

func newBodyBudget(limit, overhead int64) *bodyBudget {
	return &bodyBudget{limit: limit, overhead: overhead}
}

// Used returns the bytes that are reserved now.
func (b *bodyBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// newReservation returns an empty reservation in a tier.
func (b *bodyBudget) newReservation(tier request.Tier, onEvict func()) *reservation {
	r := &reservation{budget: b, tier: clampTier(tier), onEvict: onEvict}
	b.mu.Lock()
	defer b.mu.Unlock()
	r.element = b.tiers[r.tier].PushBack(r)
	return r
}

// setTier moves the reservation once the request's tier is known.
func (r *reservation) setTier(tier request.Tier) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	tier = clampTier(tier)
	if r.element == nil || tier == r.tier {
		return
	}
	b.tiers[r.tier].Remove(r.element)
	r.tier = tier
	r.element = b.tiers[tier].PushBack(r)
}

// resize sets the reservation to a body of so many bytes, evicting lower tiers
// where there is no room. It returns false, leaving the size, where there is
// no room left, or where the reservation was evicted itself.
func (r *reservation) resize(bytes int64) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return false
	}
	bytes += b.overhead
	delta := bytes - r.bytes
	if delta > 0 && b.used+delta > b.limit && !b.makeRoom(delta, r.tier) {
		return false
	}
	b.used += delta
	r.bytes = bytes
	return true
}

// pin makes the reservation safe from eviction; it is called before the
// dispatch. It returns false where the request was evicted before.
func (r *reservation) pin() bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return false
	}
	b.removeFromTier(r)
	return true
}

// unpin takes back a pin, where the request goes on to wait.
func (r *reservation) unpin() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.ended && r.element == nil {
		r.element = b.tiers[r.tier].PushBack(r)
	}
}

// release gives the bytes back. It may be called more than once.
func (r *reservation) release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.ended {
		b.end(r)
	}
}

// makeRoom evicts requests of tiers below the given one until there is room,
// or evicts none where that would not be enough.
func (b *bodyBudget) makeRoom(bytes int64, tier request.Tier) bool {
	need := b.used + bytes - b.limit
	var victims []*reservation
	for t := len(b.tiers) - 1; t > int(tier) && need > 0; t-- {
		for el := b.tiers[t].Back(); el != nil && need > 0; el = el.Prev() {
			v := el.Value.(*reservation)
			victims = append(victims, v)
			need -= v.bytes
		}
	}
	if need > 0 {
		return false
	}
	for _, v := range victims {
		b.end(v)
		v.onEvict()
	}
	return true
}

// end takes a reservation out of the budget.
func (b *bodyBudget) end(r *reservation) {
	b.used -= r.bytes
	r.bytes = 0
	r.ended = true
	b.removeFromTier(r)
}

func (b *bodyBudget) removeFromTier(r *reservation) {
	if r.element != nil {
		b.tiers[r.tier].Remove(r.element)
		r.element = nil
	}
}

func clampTier(t request.Tier) request.Tier {
	return min(t, request.MaxTiers-1)
}

// wasEvicted tells whether the request lost its reservation.
func (r *reservation) wasEvicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.ended
}
