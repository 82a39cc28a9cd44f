package pool

import (
	"container/heap"
	"time"
)

// simulation drives a pool in simulated time by what happens at set times.
type simulation struct {
	r      *rig
	agenda agenda
}

// at lets something happen at a time.
func (s *simulation) at(at time.Time, do func()) { heap.Push(&s.agenda, happening{at, do}) }

// tick lets time pass for the pool, for so long; take gets its commands.
func (s *simulation) tick(length time.Duration, take func([]Command)) {
	for at := time.Duration(0); at < length; at += TickInterval {
		s.at(start.Add(at), func() { take(s.r.send(Tick{})) })
	}
}

// run lets everything happen, in order.
func (s *simulation) run() {
	for len(s.agenda) > 0 {
		next := heap.Pop(&s.agenda).(happening)
		s.r.now = next.at
		next.do()
	}
}

// happening is something at a time.
type happening struct {
	at time.Time
	do func()
}

// agenda is a heap of what will happen, earliest first.
type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
