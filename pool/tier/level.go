package tier

// maxIdleFlows bounds how many workspaces without a waiting item a tier
// remembers.
const maxIdleFlows = 1024

// level is one tier: workspaces' flows, ordered by virtual time in each class.
//
// Fairness is start-time fair queueing without weights: a flow's virtual time
// is the cost it was served, and the flow with the least goes first. A flow
// that was idle starts at the level's virtual time, so it can't save up.
type level[T any] struct {
	flows   map[string]*flow[T]
	classes [classes]class[T]
	virtual float64
	count   int
}

// flow is one workspace in one tier.
type flow[T any] struct {
	workspace string
	virtual   float64
	lanes     [classes]lane[T]
}

// lane is a flow's items of one class, by due time from both ends.
type lane[T any] struct {
	flow   *flow[T]
	early  heap[*Item[T]]
	late   heap[*Item[T]]
	cost   float64
	time   int // index in byTime
	burden int // index in byCost
}

// class orders the lanes that have items.
type class[T any] struct {
	byTime heap[*lane[T]] // least virtual time first
	byCost heap[*lane[T]] // most waiting cost first
	cost   float64
}

func (l *level[T]) init() {
	l.flows = make(map[string]*flow[T])
	for c := range l.classes {
		l.classes[c].byTime = heap[*lane[T]]{less: servedLess[T], setIndex: func(n *lane[T], i int) { n.time = i }}
		l.classes[c].byCost = heap[*lane[T]]{less: waitsMore[T], setIndex: func(n *lane[T], i int) { n.burden = i }}
	}
}

func servedLess[T any](a, b *lane[T]) bool {
	if a.flow.virtual != b.flow.virtual {
		return a.flow.virtual < b.flow.virtual
	}
	return a.flow.workspace < b.flow.workspace
}

func waitsMore[T any](a, b *lane[T]) bool {
	if a.cost != b.cost {
		return a.cost > b.cost
	}
	return a.flow.workspace > b.flow.workspace
}

func (l *level[T]) flow(workspace string) *flow[T] {
	f := l.flows[workspace]
	if f != nil {
		return f
	}
	if len(l.flows) >= maxIdleFlows {
		l.forgetIdle()
	}
	f = &flow[T]{workspace: workspace, virtual: l.virtual}
	for c := range f.lanes {
		f.lanes[c].init(f)
	}
	l.flows[workspace] = f
	return f
}

// forgetIdle drops the flows that a new one would equal: without items and
// not ahead of the level's virtual time.
func (l *level[T]) forgetIdle() {
	for name, f := range l.flows {
		if f.idle() && f.virtual <= l.virtual {
			delete(l.flows, name)
		}
	}
}

func (f *flow[T]) idle() bool { return f.len() == 0 }

func (f *flow[T]) len() int {
	n := 0
	for c := range f.lanes {
		n += f.lanes[c].early.len()
	}
	return n
}

func (n *lane[T]) init(f *flow[T]) {
	n.flow = f
	n.time, n.burden = none, none
	n.early = heap[*Item[T]]{
		less:     func(a, b *Item[T]) bool { return before(a.Due, b.Due, a.seq, b.seq) },
		setIndex: func(it *Item[T], i int) { it.early = i },
	}
	n.late = heap[*Item[T]]{
		less:     func(a, b *Item[T]) bool { return before(b.Due, a.Due, b.seq, a.seq) },
		setIndex: func(it *Item[T], i int) { it.late = i },
	}
}

func (l *level[T]) push(it *Item[T]) {
	f := l.flow(it.Workspace)
	if f.idle() {
		f.virtual = max(f.virtual, l.virtual)
	}
	it.flow = f
	l.count++
	n, c := &f.lanes[it.Class], &l.classes[it.Class]
	n.early.push(it)
	n.late.push(it)
	n.cost += it.Cost
	c.cost += it.Cost
	if n.early.len() == 1 {
		c.byTime.push(n)
		c.byCost.push(n)
		return
	}
	c.byCost.fix(n.burden)
}

func (l *level[T]) remove(it *Item[T]) {
	n, c := &it.flow.lanes[it.Class], &l.classes[it.Class]
	l.count--
	n.early.remove(it.early)
	n.late.remove(it.late)
	n.cost -= it.Cost
	c.cost -= it.Cost
	if n.early.len() == 0 {
		n.cost = 0 // no rounding error is carried on
		c.byTime.remove(n.time)
		c.byCost.remove(n.burden)
		return
	}
	c.byCost.fix(n.burden)
}

func (l *level[T]) charge(workspace string, cost float64) {
	f := l.flow(workspace)
	l.virtual = max(l.virtual, f.virtual)
	l.move(f, cost)
}

func (l *level[T]) correct(workspace string, delta float64) {
	if f := l.flows[workspace]; f != nil {
		l.move(f, delta)
	}
}

func (l *level[T]) move(f *flow[T], delta float64) {
	f.virtual += delta
	for c := range f.lanes {
		if f.lanes[c].time != none {
			l.classes[c].byTime.fix(f.lanes[c].time)
		}
	}
}

func (c *class[T]) head() *Item[T] {
	if c.byTime.len() == 0 {
		return nil
	}
	return c.byTime.elements[0].early.elements[0]
}

func (c *class[T]) last() *Item[T] {
	if c.byCost.len() == 0 {
		return nil
	}
	return c.byCost.elements[0].late.elements[0]
}
