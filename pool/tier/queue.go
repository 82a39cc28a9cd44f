// Package tier implements the queue in which requests wait: strict priority
// among tiers, fair queueing by cost among the workspaces of a tier, and
// earliest due time first in a workspace. Requests that can no longer meet their
// target wait at the end of their own tier. Every operation is O(log n) in the
// number of waiting requests; the number of tiers is constant.
//
// A Queue is not safe for concurrent use.
package tier

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Class divides the requests of one tier: all on-time ones are served before all
// late ones.
type Class uint8

// The classes of a tier.
const (
	// OnTime requests can still meet their target.
	OnTime Class = iota
	// Held requests can still meet their target, and wait for a particular
	// server for a short time.
	Held
	// Late requests can't meet their target, or exceed their workspace's bound;
	// they wait at the end of their tier.
	Late
	// Infeasible requests can't complete before their deadline.
	Infeasible

	numClasses = 4
)

var classNames = [numClasses]string{"on_time", "held", "late", "infeasible"}

// String returns the name of a class in logs.
func (c Class) String() string { return classNames[c] }

// Item is the queue entry of one waiting request. Set the exported fields before
// Push and don't change them until Remove.
type Item[T any] struct {
	Tier      request.Tier
	Class     Class
	Workspace string
	// Due orders the items of a workspace: earliest first.
	Due time.Time
	// Expires is the time from which on Expired returns the item.
	Expires time.Time
	// Cost is the estimated work, in tokens.
	Cost  float64
	Value T

	seq                       uint64
	flow                      *flow[T]
	dueIndex, dueReverseIndex int // indexes in the subqueue's heaps
	expiryIndex               int // index in the expiry heap
}

// Queue holds the waiting items of one pool.
type Queue[T any] struct {
	tiers    [request.MaxTiers]tierQueue[T]
	byExpiry heap[*Item[T]]
	seq      uint64
	count    int
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	q := &Queue[T]{byExpiry: heap[*Item[T]]{
		less:     func(a, b *Item[T]) bool { return earlier(a.Expires, b.Expires, a.seq, b.seq) },
		setIndex: func(it *Item[T], i int) { it.expiryIndex = i },
	}}
	for t := range q.tiers {
		q.tiers[t].init()
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.count }

// Waiting returns the number of waiting items of a tier.
func (q *Queue[T]) Waiting(t request.Tier) int { return q.tiers[t].count }

// WaitingCost returns the total cost of a tier's waiting items, in tokens.
func (q *Queue[T]) WaitingCost(t request.Tier) float64 {
	sum := 0.0
	for c := range q.tiers[t].classes {
		sum += q.tiers[t].classes[c].cost
	}
	return sum
}

// WaitingOf returns the number of a workspace's items that wait in a tier.
func (q *Queue[T]) WaitingOf(t request.Tier, workspace string) int {
	if f := q.tiers[t].flows[workspace]; f != nil {
		return f.len()
	}
	return 0
}

// Push adds an item.
func (q *Queue[T]) Push(it *Item[T]) {
	q.seq++
	it.seq = q.seq
	q.count++
	q.tiers[it.Tier].push(it)
	q.byExpiry.push(it)
}

// Remove removes a waiting item.
func (q *Queue[T]) Remove(it *Item[T]) {
	q.count--
	q.tiers[it.Tier].remove(it)
	q.byExpiry.remove(it.expiryIndex)
}

// SetExpires changes the time at which a waiting item expires. The item keeps
// its place in the queue.
func (q *Queue[T]) SetExpires(it *Item[T], until time.Time) {
	it.Expires = until
	q.byExpiry.fix(it.expiryIndex)
}

// SetClass moves a waiting item to another class of its tier.
func (q *Queue[T]) SetClass(it *Item[T], c Class) {
	l := &q.tiers[it.Tier]
	l.remove(it)
	it.Class = c
	l.push(it)
}

// Charge records that an item was served: the item's cost moves its workspace
// back in the order among the workspaces of its tier.
func (q *Queue[T]) Charge(it *Item[T]) { q.tiers[it.Tier].charge(it.Workspace, it.Cost) }

// AdjustCharge corrects a workspace's charge by delta, in tokens, once the actual
// cost is known; delta may be negative.
func (q *Queue[T]) AdjustCharge(t request.Tier, workspace string, delta float64) {
	q.tiers[t].correct(workspace, delta)
}

// Expired returns a waiting item that has expired at the given time, or nil.
func (q *Queue[T]) Expired(now time.Time) *Item[T] {
	if q.byExpiry.len() == 0 || q.byExpiry.elements[0].Expires.After(now) {
		return nil
	}
	return q.byExpiry.elements[0]
}

// Head returns the first item of a class of a tier, or nil.
func (q *Queue[T]) Head(t request.Tier, c Class) *Item[T] { return q.tiers[t].classes[c].head() }

// Victim returns the item to evict first, or nil. It comes from the lowest tier
// and the highest class that have items: of the workspace with the highest
// waiting cost, the item with the latest due time.
func (q *Queue[T]) Victim() *Item[T] {
	for t := len(q.tiers) - 1; t >= 0; t-- {
		if it := q.VictimIn(request.Tier(t)); it != nil {
			return it
		}
	}
	return nil
}

// VictimIn is Victim for one tier.
func (q *Queue[T]) VictimIn(t request.Tier) *Item[T] {
	for c := numClasses - 1; c >= 0; c-- {
		if it := q.tiers[t].classes[c].victim(); it != nil {
			return it
		}
	}
	return nil
}

// VictimBelow returns the item of a workspace to evict first among the tiers
// lower than t, or nil.
func (q *Queue[T]) VictimBelow(t request.Tier, workspace string) *Item[T] {
	for lower := len(q.tiers) - 1; lower > int(t); lower-- {
		f := q.tiers[lower].flows[workspace]
		if f == nil {
			continue
		}
		for c := numClasses - 1; c >= 0; c-- {
			if l := &f.subqueues[c]; l.byDueReverse.len() > 0 {
				return l.byDueReverse.elements[0]
			}
		}
	}
	return nil
}

// scannedPerCandidate bounds the items that Candidates looks at.
const scannedPerCandidate = 16

// Candidates appends to buf up to n items that are near the head of a class and
// eligible: its head first, then others of the head's workspace and the heads of the
// next workspaces. The choice depends on the queue's history alone, so it is
// deterministic.
func (q *Queue[T]) Candidates(t request.Tier, c Class, n int, eligible func(T) bool, buf []*Item[T]) []*Item[T] {
	subqueues := q.tiers[t].classes[c].byVirtualTime.elements
	scans := n * scannedPerCandidate
	for i := 0; i < len(subqueues) && n > 0; i++ {
		take := (n + 1) / 2
		if i+1 == len(subqueues) {
			take = n
		}
		for _, it := range subqueues[i].byDue.elements {
			if take == 0 || scans == 0 {
				break
			}
			scans--
			if eligible(it.Value) {
				buf = append(buf, it)
				take--
				n--
			}
		}
	}
	return buf
}

func earlier(a, b time.Time, aSeq, bSeq uint64) bool {
	if a.Equal(b) {
		return aSeq < bSeq
	}
	return a.Before(b)
}
