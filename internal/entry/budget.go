package entry

import (
	"container/list"
	"sync"

	"github.com/lycheekeel/lycheekeel/request"
)

// bodyBudget bounds the memory of requests whose body is being read and of those that
// wait for a slot. When it is full, requests of lower tiers are evicted, the newest
// of the lowest tier first.
//
// Without it, a burst of long prompts exhausts the memory of a small VM, the process
// is killed, and requests of all tiers are lost. The symptom is an entry that restarts
// in every burst.
type bodyBudget struct {
	overhead int64 // bytes counted for each request in addition to its body

	mu    sync.Mutex
	limit int64
	used  int64
	tiers [request.MaxTiers]list.List // of *reservation, oldest first
}

// reservation is one request's share of the budget. All methods are called by the
// request's own goroutine; onEvict is called by another request's.
type reservation struct {
	budget  *bodyBudget
	tier    request.Tier
	bytes   int64
	element *list.Element // nil: not evictable
	ended   bool          // evicted or released
	// onEvict notifies the owner. It is called with the budget's lock held and must
	// not block.
	onEvict func()
}

// requestOverhead is the memory of a waiting request, in bytes, in addition to its
// body: stacks, buffers and garbage collector overhead (see BenchmarkEntryMemory).
const requestOverhead = 32 << 10

func newBodyBudget(limit, overhead int64) *bodyBudget {
	return &bodyBudget{limit: limit, overhead: overhead}
}

// Used returns the number of reserved bytes.
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

// setTier moves the reservation to the tier that the request was classified into.
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

// resize sets the reservation to a body of the given size, and evicts requests of
// lower tiers if there is no room. It returns false and leaves the size unchanged if
// there is still no room, or if this reservation was itself evicted.
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

// pin protects the reservation from eviction; it is called before the dispatch. It
// returns false if the request was already evicted.
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

// unpin reverts pin for a request that goes back to the queue.
func (r *reservation) unpin() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.ended && r.element == nil {
		r.element = b.tiers[r.tier].PushBack(r)
	}
}

// release returns the bytes to the budget. It may be called more than once.
func (r *reservation) release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.ended {
		b.end(r)
	}
}

// makeRoom evicts requests of tiers below the given one until the bytes fit. It
// evicts none and returns false if that would not be enough.
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

// end removes a reservation and its bytes from the budget.
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

// wasEvicted reports whether the request has lost its reservation.
func (r *reservation) wasEvicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.ended
}
