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

// world is some daemons' hosts and brokers on one thread, with an injected
// clock and a network that the test cuts. Every step is in a fixed order.
type world struct {
	now      time.Time
	nodes    map[string]*node
	names    []string
	snapshot workspace.Live
	queue    []envelope
	cut      map[[2]string]bool // both ways; sends fail
	lose     map[[2]string]bool // one way; sends vanish
	limit    int                // of messages under way; zero: none
	messages int
	bytes    int
	sequence int
	// policy is FIFO unless a test sets it: its limits are the slots, so that
	// free ones can be counted.
	policy pool.Policy
	// old are nodes of a version that does not tell when it speaks again, and
	// does not read it. One then speaks, and expects a word, at a fixed time.
	old map[string]bool
	// heartbeat is that of poolhost.Config.
	heartbeat func(sessions int) time.Duration
	// degradedAfter is that of poolhost.Config.
	degradedAfter time.Duration
	events        []pool.Event // all that the pools handled but ticks
}

type node struct {
	w      *world
	name   string
	views  member.CurrentView
	host   *poolhost.Host
	entry  *Entry
	frozen bool // a paused process: it neither ticks nor takes messages
	dead   bool
	died   time.Time
	types  map[peer.Type]peer.Handler
	down   []func(peer.Name)
	kept   []envelope // what came while frozen
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

func newWorld(slots int, names ...string) *world { return newWorldOf(slots, nil, names...) }

func newWorldOf(slots int, heartbeat func(int) time.Duration, names ...string) *world {
	w := &world{
		heartbeat: heartbeat,
		now:       time.Unix(1_800_000_000, 0), nodes: map[string]*node{}, names: names,
		cut: map[[2]string]bool{}, lose: map[[2]string]bool{}, policy: pool.PolicyFIFO,
	}
	w.snapshot.Store(testSnapshot(slots, 2))
	for _, name := range names {
		w.add(name)
	}
	w.setMembers(names...)
	return w
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

// add starts a daemon, or starts it again after a crash.
func (w *world) add(name string) *node {
	n := &node{w: w, name: name, types: map[peer.Type]peer.Handler{}}
	n.host = poolhost.New(poolhost.Config{
		Self: name, Region: testRegion, Snapshots: &w.snapshot, Views: &n.views, Transport: n,
		Now: func() time.Time { return w.now }, Spawn: func(f func()) { f() }, Heartbeat: w.heartbeat, DegradedAfter: w.degradedAfter,
		Trace: func(_ string, _ time.Time, ev pool.Event, _ []pool.Command) {
			if _, tick := ev.(pool.Tick); !tick {
				w.events = append(w.events, ev)
			}
		},
		NewScheduler: func(p *workspace.ResolvedPool, epoch uint64) poolhost.Scheduler {
			return pool.New(pool.Config{Name: p.Name, Policy: w.policy, Epoch: epoch})
		},
	})
	n.entry = New(n.host)
	w.nodes[name] = n
	return n
}

// setMembers gives every live node the same view.
func (w *world) setMembers(alive ...string) {
	for _, n := range w.nodes {
		n.setMembers(alive...)
	}
}

func (n *node) setMembers(alive ...string) {
	var ms []member.Member
	for _, m := range alive {
		ms = append(ms, member.Member{Name: m, Region: testRegion})
	}
	n.views.Store(member.NewView(n.name, ms))
}

// owner returns the node that owns the test pool in the view of any node.
func (w *world) owner() *node {
	for _, name := range w.names {
		if n := w.nodes[name]; !n.dead && !n.frozen {
			m, _ := n.views.Load().Owner(testPool, testRegion)
			return w.nodes[m.Name]
		}
	}
	return nil
}

// other returns a node that does not own the pool.
func (w *world) other() *node {
	for _, name := range w.names {
		if n := w.nodes[name]; n != w.owner() && !n.dead {
			return n
		}
	}
	return nil
}

func (w *world) without(gone *node) []string {
	var out []string
	for _, name := range w.names {
		if name != gone.name {
			out = append(out, name)
		}
	}
	return out
}

// kill ends a node; its peers notice that their connections broke.
func (w *world) kill(n *node) {
	n.dead, n.died = true, w.now
	for _, name := range w.names {
		if other := w.nodes[name]; other != n && !other.dead {
			w.breakLink(n.name, name)
		}
	}
}

// breakLink loses what is under way between two nodes and tells them.
func (w *world) breakLink(a, b string) {
	kept := w.queue[:0]
	for _, e := range w.queue {
		if !(e.from == a && e.to == b || e.from == b && e.to == a) {
			kept = append(kept, e)
		}
	}
	w.queue = kept
	w.nodes[a].tellDown(b)
	w.nodes[b].tellDown(a)
}

func (n *node) tellDown(of string) {
	if n.dead || n.frozen {
		return
	}
	for _, f := range n.down {
		f(peer.Name(of))
	}
}

func (w *world) setCut(a, b string, cut bool) {
	w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
	if cut {
		w.breakLink(a, b)
	}
}

// pump delivers until nothing is under way.
func (w *world) pump() {
	for len(w.queue) > 0 {
		w.deliver()
	}
}

// deliver delivers the oldest message.
func (w *world) deliver() {
	if len(w.queue) == 0 {
		return
	}
	e := w.queue[0]
	w.queue = w.queue[1:]
	n := w.nodes[e.to]
	switch {
	case n.dead:
	case n.frozen:
		n.kept = append(n.kept, e)
	default:
		if h := n.types[e.t]; h != nil {
			_, _ = h(context.Background(), peer.Name(e.from), e.payload)
		}
	}
}

// advance lets time pass in ticks.
func (w *world) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(poolhost.TickEvery)
		w.tick()
		w.pump()
	}
}

func (w *world) tick() {
	for _, name := range w.names {
		if n := w.nodes[name]; !n.dead && !n.frozen {
			n.host.Tick()
			n.entry.Tick()
		}
	}
}

// thaw lets a paused node go on: what came meanwhile is still in its buffers.
func (n *node) thaw() {
	n.frozen = false
	n.w.queue = append(n.kept, n.w.queue...)
	n.kept = nil
}

// begin starts an Acquire on a node.
func (n *node) begin(t request.Tier, deadline time.Duration) *waiter {
	n.w.sequence++
	s := testSpec(fmt.Sprintf("r%05d", n.w.sequence), n.w.now)
	s.Tier, s.Targets = t, request.Targets{FirstToken: deadline, Deadline: deadline}
	x := n.entry.begin(Demand{Spec: s, Candidates: candidates(n.w)})
	n.w.pump()
	return x
}

func testSpec(id string, received time.Time) *request.Spec {
	return &request.Spec{
		ID: request.ID(id), Workspace: "ws", Template: "t", Model: "m", Version: "1",
		MaxTokens: 10, PromptTokens: 10, Received: received,
	}
}

func candidates(w *world) []*workspace.ResolvedPool {
	return []*workspace.ResolvedPool{w.snapshot.Load().Pools[testPool]}
}

// ended returns how an Acquire ended, if it has.
func ended(w *waiter) (result, bool) {
	select {
	case r := <-w.done:
		return r, true
	default:
		return result{}, false
	}
}

// Self implements peer.Transport.
func (n *node) Self() peer.Name { return peer.Name(n.name) }

// Handle implements peer.Transport.
func (n *node) Handle(t peer.Type, h peer.Handler) { n.types[t] = h }

// SetAddress implements peer.Transport.
func (n *node) SetAddress(peer.Name, string) {}

// OnDown implements peer.Transport.
func (n *node) OnDown(f func(peer.Name)) { n.down = append(n.down, f) }

// Call implements peer.Transport; pools' messages are all one-way.
func (n *node) Call(context.Context, peer.Name, peer.Type, []byte) ([]byte, error) {
	return nil, peer.ErrNotConnected
}

// Send implements peer.Transport.
func (n *node) Send(to peer.Name, t peer.Type, payload []byte) error {
	link := [2]string{n.name, string(to)}
	other := n.w.nodes[string(to)]
	if n.w.cut[link] || other == nil || other.dead {
		return peer.ErrNotConnected
	}
	if n.w.limit > 0 && len(n.w.queue) >= n.w.limit {
		return peer.ErrOverloaded
	}
	if n.w.old[n.name] || n.w.old[string(to)] {
		payload = withoutNext(t, payload)
	}
	n.w.messages++
	n.w.bytes += len(payload)
	if !n.w.lose[link] {
		n.w.queue = append(n.w.queue, envelope{n.name, string(to), t, payload})
	}
	return nil
}
