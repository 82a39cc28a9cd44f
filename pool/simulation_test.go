package pool

import (
	"container/heap"
	"time"
)

// simulation is a discrete-event simulation of a pool.
type simulation struct {
	pool   *harness
	events eventQueue
}

// at schedules a function at a time.
func (s *simulation) at(at time.Time, do func()) { heap.Push(&s.events, timedEvent{at, do}) }

// tick schedules Ticks for the given time; handle gets their commands.
func (s *simulation) tick(length time.Duration, handle func([]Command)) {
	for at := time.Duration(0); at < length; at += TickInterval {
		s.at(start.Add(at), func() { handle(s.pool.send(Tick{})) })
	}
}

// run executes all events in order of time.
func (s *simulation) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(timedEvent)
		s.pool.now = next.at
		next.do()
	}
}

// timedEvent is a function to call at a time.
type timedEvent struct {
	at time.Time
	do func()
}

// eventQueue is a heap of events, earliest first.
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
