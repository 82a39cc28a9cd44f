package pool

import (
	"container/heap"
	"time"
)

// simulation drives a pool in simulated time by what happens at set times.
type simulation struct {
	pool   *harness
	events eventQueue
}

// at lets something happen at a time.
func (s *simulation) at(at time.Time, do func()) { heap.Push(&s.events, timedEvent{at, do}) }

// tick lets time pass for the pool, for so long; take gets its commands.
func (s *simulation) tick(length time.Duration, handle func([]Command)) {
	for at := time.Duration(0); at < length; at += TickInterval {
		s.at(start.Add(at), func() { handle(s.pool.send(Tick{})) })
	}
}

// run lets everything happen, in order.
func (s *simulation) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(timedEvent)
		s.pool.now = next.at
		next.do()
	}
}

// timedEvent is something at a time.
type timedEvent struct {
	at time.Time
	do func()
}

// eventQueue is a heap of what will happen, earliest first.
type eventQueue []timedEvent

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(timedEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
