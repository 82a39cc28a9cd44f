package tier

// maxFlows is the number of workspaces from which on a tier evicts idle ones
// before it adds another.
const maxFlows = 1024

// tierQueue holds one tier: a flow for each workspace, ordered by virtual time
// in each class.
//
// Scheduling is start-time fair queueing without weights: a flow's virtual time
// grows by the cost of each item served, and the flow with the lowest one goes
// first. A flow that was idle starts at the tier's virtual time, so it gains no
// credit while it is idle.
type tierQueue[T any] struct {
	flows       map[string]*flow[T]
	classes     [numClasses]classQueue[T]
	virtualTime float64
	count       int
}

// flow holds the items of one workspace in one tier.
type flow[T any] struct {
	workspace   string
	virtualTime float64
	subqueues   [numClasses]subqueue[T]
}

// subqueue holds the items of one class of a flow, ordered by due time in both
// directions.
type subqueue[T any] struct {
	flow             *flow[T]
	byDue            heap[*Item[T]]
	byDueReverse     heap[*Item[T]]
	cost             float64
	virtualTimeIndex int // index in byVirtualTime
	costIndex        int // index in byCost
}

// classQueue orders the subqueues of one class that have items.
type classQueue[T any] struct {
	byVirtualTime heap[*subqueue[T]] // lowest virtual time first
	byCost        heap[*subqueue[T]] // highest waiting cost first
	cost          float64
}

func (l *tierQueue[T]) init() {
	l.flows = make(map[string]*flow[T])
	for c := range l.classes {
		l.classes[c].byVirtualTime = heap[*subqueue[T]]{less: lessVirtualTime[T], setIndex: func(s *subqueue[T], i int) { s.virtualTimeIndex = i }}
		l.classes[c].byCost = heap[*subqueue[T]]{less: moreWaitingCost[T], setIndex: func(s *subqueue[T], i int) { s.costIndex = i }}
	}
}

func lessVirtualTime[T any](a, b *subqueue[T]) bool {
	if a.flow.virtualTime != b.flow.virtualTime {
		return a.flow.virtualTime < b.flow.virtualTime
	}
	return a.flow.workspace < b.flow.workspace
}

func moreWaitingCost[T any](a, b *subqueue[T]) bool {
	if a.cost != b.cost {
		return a.cost > b.cost
	}
	return a.flow.workspace > b.flow.workspace
}

func (l *tierQueue[T]) flow(workspace string) *flow[T] {
	f := l.flows[workspace]
	if f != nil {
		return f
	}
	if len(l.flows) >= maxFlows {
		l.evictIdle()
	}
	f = &flow[T]{workspace: workspace, virtualTime: l.virtualTime}
	for c := range f.subqueues {
		f.subqueues[c].init(f)
	}
	l.flows[workspace] = f
	return f
}

// evictIdle removes the flows that have no items and are not ahead of the
// tier's virtual time: a new flow would have the same state.
func (l *tierQueue[T]) evictIdle() {
	for name, f := range l.flows {
		if f.idle() && f.virtualTime <= l.virtualTime {
			delete(l.flows, name)
		}
	}
}

func (f *flow[T]) idle() bool { return f.len() == 0 }

func (f *flow[T]) len() int {
	n := 0
	for c := range f.subqueues {
		n += f.subqueues[c].byDue.len()
	}
	return n
}

func (s *subqueue[T]) init(f *flow[T]) {
	s.flow = f
	s.virtualTimeIndex, s.costIndex = notInHeap, notInHeap
	s.byDue = heap[*Item[T]]{
		less:     func(a, b *Item[T]) bool { return earlier(a.Due, b.Due, a.seq, b.seq) },
		setIndex: func(it *Item[T], i int) { it.dueIndex = i },
	}
	s.byDueReverse = heap[*Item[T]]{
		less:     func(a, b *Item[T]) bool { return earlier(b.Due, a.Due, b.seq, a.seq) },
		setIndex: func(it *Item[T], i int) { it.dueReverseIndex = i },
	}
}

func (l *tierQueue[T]) push(it *Item[T]) {
	f := l.flow(it.Workspace)
	if f.idle() {
		f.virtualTime = max(f.virtualTime, l.virtualTime)
	}
	it.flow = f
	l.count++
	s, c := &f.subqueues[it.Class], &l.classes[it.Class]
	s.byDue.push(it)
	s.byDueReverse.push(it)
	s.cost += it.Cost
	c.cost += it.Cost
	if s.byDue.len() == 1 {
		c.byVirtualTime.push(s)
		c.byCost.push(s)
		return
	}
	c.byCost.fix(s.costIndex)
}

func (l *tierQueue[T]) remove(it *Item[T]) {
	s, c := &it.flow.subqueues[it.Class], &l.classes[it.Class]
	l.count--
	s.byDue.remove(it.dueIndex)
	s.byDueReverse.remove(it.dueReverseIndex)
	s.cost -= it.Cost
	c.cost -= it.Cost
	if s.byDue.len() == 0 {
		s.cost = 0 // drops accumulated rounding error
		c.byVirtualTime.remove(s.virtualTimeIndex)
		c.byCost.remove(s.costIndex)
		return
	}
	c.byCost.fix(s.costIndex)
}

func (l *tierQueue[T]) charge(workspace string, cost float64) {
	f := l.flow(workspace)
	l.virtualTime = max(l.virtualTime, f.virtualTime)
	l.addVirtualTime(f, cost)
}

func (l *tierQueue[T]) correct(workspace string, delta float64) {
	if f := l.flows[workspace]; f != nil {
		l.addVirtualTime(f, delta)
	}
}

func (l *tierQueue[T]) addVirtualTime(f *flow[T], delta float64) {
	f.virtualTime += delta
	for c := range f.subqueues {
		if f.subqueues[c].virtualTimeIndex != notInHeap {
			l.classes[c].byVirtualTime.fix(f.subqueues[c].virtualTimeIndex)
		}
	}
}

func (c *classQueue[T]) head() *Item[T] {
	if c.byVirtualTime.len() == 0 {
		return nil
	}
	return c.byVirtualTime.elements[0].byDue.elements[0]
}

func (c *classQueue[T]) victim() *Item[T] {
	if c.byCost.len() == 0 {
		return nil
	}
	return c.byCost.elements[0].byDueReverse.elements[0]
}
