package broker

import (
	"context"
	"fmt"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// simulation runs the hosts and brokers of some daemons on one thread, with an
// injected clock and a network that the test can cut. It is deterministic.
type simulation struct {
	now        time.Time
	nodes      map[string]*node
	names      []string
	snapshot   workspace.CurrentSnapshot
	queue      []envelope
	cutLinks   map[[2]string]bool // both directions; sends fail
	lossyLinks map[[2]string]bool // one direction; sent messages are lost
	queueLimit int                // of messages in flight; zero for no limit
	messages   int
	bytes      int
	lastID     int
	// policy is FIFO unless a test sets it: FIFO's limits are the slots, so that free
	// slots can be counted.
	policy pool.Policy
	// oldVersion holds the nodes of a version that neither announces heartbeat
	// intervals nor reads them. Heartbeats to and from them have a fixed interval.
	oldVersion map[string]bool
	// heartbeat is poolhost.Config.HeartbeatInterval.
	heartbeat func(sessions int) time.Duration
	// degradedAfter is poolhost.Config.DegradedAfter.
	degradedAfter time.Duration
	events        []pool.Event // all events that the pools have handled, except ticks
}

type node struct {
	sim          *simulation
	name         string
	view         member.CurrentView
	host         *poolhost.Host
	entry        *Entry
	paused       bool // the process neither ticks nor handles messages
	dead         bool
	died         time.Time
	handlers     map[peer.Type]peer.Handler
	downHandlers []func(peer.Name)
	buffered     []envelope // messages received while paused
}

type envelope struct {
	from, to string
	t        peer.Type
	payload  []byte
}

const (
	testPool   = "llama"
	testRegion = "colombo"
)

func newSimulation(slots int, names ...string) *simulation {
	return newSimulationWithHeartbeat(slots, nil, names...)
}

func newSimulationWithHeartbeat(slots int, heartbeat func(int) time.Duration, names ...string) *simulation {
	sim := &simulation{
		heartbeat: heartbeat,
		now:       time.Unix(1_800_000_000, 0), nodes: map[string]*node{}, names: names,
		cutLinks: map[[2]string]bool{}, lossyLinks: map[[2]string]bool{}, policy: pool.PolicyFIFO,
	}
	sim.snapshot.Store(testSnapshot(slots, 2))
	for _, name := range names {
		sim.add(name)
	}
	sim.setMembers(names...)
	return sim
}

func testSnapshot(slots, servers int) *workspace.Snapshot {
	p := &workspace.ResolvedPool{Pool: workspace.Pool{Name: testPool, Region: testRegion, Model: "m", Version: "1"}}
	for i := range servers {
		p.Servers = append(p.Servers, workspace.BackendServer{
			Name: fmt.Sprintf("server-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: slots, Pool: testPool,
		})
	}
	return &workspace.Snapshot{
		Version: 1, Pools: map[string]*workspace.ResolvedPool{testPool: p},
		ModelPools: map[workspace.ModelRegion][]*workspace.ResolvedPool{
			{Model: "m", Version: "1", Region: testRegion}: {p},
		},
	}
}

// add starts a daemon, or restarts it after a crash.
func (sim *simulation) add(name string) *node {
	n := &node{sim: sim, name: name, handlers: map[peer.Type]peer.Handler{}}
	n.host = poolhost.New(poolhost.Config{
		Self: name, Region: testRegion, Snapshot: &sim.snapshot, View: &n.view, Transport: n,
		Now: func() time.Time { return sim.now }, Spawn: func(f func()) { f() }, HeartbeatInterval: sim.heartbeat, DegradedAfter: sim.degradedAfter,
		Trace: func(_ string, _ time.Time, ev pool.Event, _ []pool.Command) {
			if _, tick := ev.(pool.Tick); !tick {
				sim.events = append(sim.events, ev)
			}
		},
		NewScheduler: func(p *workspace.ResolvedPool, epoch uint64) poolhost.Scheduler {
			return pool.New(pool.Config{Name: p.Name, Policy: sim.policy, Epoch: epoch})
		},
	})
	n.entry = New(n.host)
	sim.nodes[name] = n
	return n
}

// setMembers gives every node the same membership view.
func (sim *simulation) setMembers(alive ...string) {
	for _, n := range sim.nodes {
		n.setMembers(alive...)
	}
}

func (n *node) setMembers(alive ...string) {
	var ms []member.Member
	for _, m := range alive {
		ms = append(ms, member.Member{Name: m, Region: testRegion})
	}
	n.view.Store(member.NewView(n.name, ms))
}

// owner returns the node that owns the test pool according to the first live node.
func (sim *simulation) owner() *node {
	for _, name := range sim.names {
		if n := sim.nodes[name]; !n.dead && !n.paused {
			m, _ := n.view.Load().Owner(testPool, testRegion)
			return sim.nodes[m.Name]
		}
	}
	return nil
}

// nonOwner returns a node that does not own the pool.
func (sim *simulation) nonOwner() *node {
	for _, name := range sim.names {
		if n := sim.nodes[name]; n != sim.owner() && !n.dead {
			return n
		}
	}
	return nil
}

func (sim *simulation) namesWithout(gone *node) []string {
	var out []string
	for _, name := range sim.names {
		if name != gone.name {
			out = append(out, name)
		}
	}
	return out
}

// nextOwner returns which of two daemons owns the pool when they are alone, and the other.
func (sim *simulation) nextOwner(names []string) (next, other *node) {
	m, _ := member.NewView("", []member.Member{
		{Name: names[0], Region: testRegion}, {Name: names[1], Region: testRegion},
	}).Owner(testPool, testRegion)
	next, other = sim.nodes[names[0]], sim.nodes[names[1]]
	if next.name != m.Name {
		next, other = other, next
	}
	return next, other
}

// kill kills a node; its connections to the other nodes break.
func (sim *simulation) kill(n *node) {
	n.dead, n.died = true, sim.now
	for _, name := range sim.names {
		if other := sim.nodes[name]; other != n && !other.dead {
			sim.breakConnection(n.name, name)
		}
	}
}

// breakConnection drops the messages in flight between two nodes and notifies both.
func (sim *simulation) breakConnection(a, b string) {
	remaining := sim.queue[:0]
	for _, e := range sim.queue {
		if !(e.from == a && e.to == b || e.from == b && e.to == a) {
			remaining = append(remaining, e)
		}
	}
	sim.queue = remaining
	sim.nodes[a].notifyDown(b)
	sim.nodes[b].notifyDown(a)
}

func (n *node) notifyDown(of string) {
	if n.dead || n.paused {
		return
	}
	for _, f := range n.downHandlers {
		f(peer.Name(of))
	}
}

func (sim *simulation) setCut(a, b string, cut bool) {
	sim.cutLinks[[2]string{a, b}], sim.cutLinks[[2]string{b, a}] = cut, cut
	if cut {
		sim.breakConnection(a, b)
	}
}

// pump delivers messages until none is in flight.
func (sim *simulation) pump() {
	for len(sim.queue) > 0 {
		sim.deliver()
	}
}

// deliver delivers the oldest message.
func (sim *simulation) deliver() {
	if len(sim.queue) == 0 {
		return
	}
	e := sim.queue[0]
	sim.queue = sim.queue[1:]
	n := sim.nodes[e.to]
	switch {
	case n.dead:
	case n.paused:
		n.buffered = append(n.buffered, e)
	default:
		if h := n.handlers[e.t]; h != nil {
			_, _ = h(context.Background(), peer.Name(e.from), e.payload)
		}
	}
}

// advance advances the time tick by tick.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(poolhost.TickInterval)
		sim.tick()
		sim.pump()
	}
}

func (sim *simulation) tick() {
	for _, name := range sim.names {
		if n := sim.nodes[name]; !n.dead && !n.paused {
			n.host.Tick()
			n.entry.Tick()
		}
	}
}

// resume resumes a paused node; messages received meanwhile are still buffered.
func (n *node) resume() {
	n.paused = false
	n.sim.queue = append(n.buffered, n.sim.queue...)
	n.buffered = nil
}

// acquire starts an Acquire on a node.
func (n *node) acquire(t request.Tier, deadline time.Duration) *waiter {
	n.sim.lastID++
	s := testSpec(fmt.Sprintf("r%05d", n.sim.lastID), n.sim.now)
	s.Tier, s.Targets = t, request.Targets{FirstToken: deadline, Deadline: deadline}
	x := n.entry.startAcquire(Demand{Spec: s, Candidates: candidates(n.sim)})
	n.sim.pump()
	return x
}

func testSpec(id string, received time.Time) *request.Spec {
	return &request.Spec{
		ID: request.ID(id), Workspace: "ws", Template: "t", Model: "m", Version: "1",
		MaxTokens: 10, PromptTokens: 10, Received: received,
	}
}

func candidates(sim *simulation) []*workspace.ResolvedPool {
	return []*workspace.ResolvedPool{sim.snapshot.Load().Pools[testPool]}
}

// poll returns the result of an Acquire, if it has ended.
func poll(x *waiter) (result, bool) {
	select {
	case r := <-x.done:
		return r, true
	default:
		return result{}, false
	}
}

// Self implements peer.Transport.
func (n *node) Self() peer.Name { return peer.Name(n.name) }

// Handle implements peer.Transport.
func (n *node) Handle(t peer.Type, h peer.Handler) { n.handlers[t] = h }

// SetAddress implements peer.Transport.
func (n *node) SetAddress(peer.Name, string) {}

// OnDown implements peer.Transport.
func (n *node) OnDown(f func(peer.Name)) { n.downHandlers = append(n.downHandlers, f) }

// Call implements peer.Transport; all messages of pools are one-way.
func (n *node) Call(context.Context, peer.Name, peer.Type, []byte) ([]byte, error) {
	return nil, peer.ErrNotConnected
}

// Send implements peer.Transport.
func (n *node) Send(to peer.Name, t peer.Type, payload []byte) error {
	link := [2]string{n.name, string(to)}
	other := n.sim.nodes[string(to)]
	if n.sim.cutLinks[link] || other == nil || other.dead {
		return peer.ErrNotConnected
	}
	if n.sim.queueLimit > 0 && len(n.sim.queue) >= n.sim.queueLimit {
		return peer.ErrOverloaded
	}
	if n.sim.oldVersion[n.name] || n.sim.oldVersion[string(to)] {
		payload = stripNext(t, payload)
	}
	n.sim.messages++
	n.sim.bytes += len(payload)
	if !n.sim.lossyLinks[link] {
		n.sim.queue = append(n.sim.queue, envelope{n.name, string(to), t, payload})
	}
	return nil
}
