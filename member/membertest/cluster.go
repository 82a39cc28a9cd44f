// Package membertest runs many membership machines in one process over a simulated
// network, in virtual time, with the real message encoding and injected faults. A seed
// determines the run. It serves the tests and the capacity measurement.
package membertest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
)

// Mean one-way latencies of a message, and the connection timeout.
const (
	sameRegionLatency  = 2 * time.Millisecond
	otherRegionLatency = 20 * time.Millisecond
	// silenceTimeout is the time after which the transport closes a connection whose
	// messages are lost.
	silenceTimeout = time.Second
)

// Cluster is a set of members on one simulated network. It is not safe for concurrent
// use.
type Cluster struct {
	Nodes []*Node

	now     time.Time
	rand    *rand.Rand
	events  eventQueue
	seq     uint64
	blocked map[[2]int]bool // {from, to}: messages are dropped
	byName  map[peer.Name]*Node
	byAddr  map[string]*Node
}

// Node is one member, with counters of the messages and bytes that it sent and
// received.
type Node struct {
	Name    string
	Region  string
	Machine *member.Machine
	View    *member.View

	MessagesIn, MessagesOut, BytesIn, BytesOut uint64

	cluster    *Cluster
	index      int
	address    string
	zone       string
	startCount int // number of starts; while 0, Machine is nil
	killed     bool
	paused     bool
	deferred   []func() // events that arrived while paused
}

// New returns a cluster of n members, spread evenly over the regions. None is started.
// All have the first three members' addresses as seeds.
func New(n, regions int, seed uint64) *Cluster {
	c := &Cluster{
		now:     time.Unix(1_000_000, 0),
		rand:    rand.New(rand.NewPCG(seed, seed)),
		blocked: map[[2]int]bool{}, byName: map[peer.Name]*Node{}, byAddr: map[string]*Node{},
	}
	for i := range n {
		node := &Node{
			cluster: c, index: i, Name: fmt.Sprintf("entry-%03d", i), killed: true,
			Region: fmt.Sprintf("region-%d", i%regions), zone: fmt.Sprintf("zone-%d", i%(regions*3)),
			address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		}
		c.Nodes = append(c.Nodes, node)
		c.byName[peer.Name(node.Name)] = node
		c.byAddr[node.address] = node
	}
	return c
}

// Now returns the virtual time.
func (c *Cluster) Now() time.Time { return c.now }

// StartAll starts all members, each at a random time within one second.
func (c *Cluster) StartAll() {
	for _, n := range c.Nodes {
		c.schedule(time.Duration(c.rand.Int64N(int64(time.Second))), n.Start)
	}
}

// Start starts a member that is not running, as a new process.
func (n *Node) Start() { n.StartWithIncarnation(uint64(n.cluster.now.UnixMilli())) }

// StartWithIncarnation starts a member like Start, as on a VM whose clock is wrong.
func (n *Node) StartWithIncarnation(incarnation uint64) {
	if !n.killed {
		return
	}
	cfg := member.Config{
		Self: member.Member{
			Name: n.Name, Incarnation: incarnation, Address: n.address,
			Region: n.Region, AvailabilityZone: n.zone, ProtocolVersion: peer.NewestVersion,
		},
	}
	for _, s := range n.cluster.Nodes[:min(3, len(n.cluster.Nodes))] {
		cfg.Seeds = append(cfg.Seeds, s.address)
	}
	m, err := member.NewMachine(cfg, n.cluster.now, rand.New(rand.NewPCG(n.cluster.rand.Uint64(), 0)))
	if err != nil {
		panic(err) // the configuration above is valid
	}
	n.Machine, n.killed, n.paused, n.deferred = m, false, false, nil
	n.startCount++
	n.tick(n.startCount)
}

// Kill ends the process and resets its connections.
func (n *Node) Kill() {
	n.killed = true
	for _, o := range n.cluster.Nodes {
		if o != n && !o.killed {
			n.cluster.peerDown(o, peer.Name(n.Name), n.cluster.latency(n, o))
		}
	}
}

// Pause suspends the process. Its connections stay open.
func (n *Node) Pause() { n.paused = true }

// Resume continues a paused process. It first handles the events that arrived during
// the pause.
func (n *Node) Resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// Leave makes the member announce that it is leaving.
func (n *Node) Leave() { n.emit(n.Machine.Leave(n.cluster.now)) }

// Running reports whether the process is neither killed nor paused.
func (n *Node) Running() bool { return !n.killed && !n.paused }

// BlockLink drops all messages from one member to the other.
func (c *Cluster) BlockLink(from, to int) { c.blocked[[2]int{from, to}] = true }

// Isolate drops all messages between the members of the set and the others.
func (c *Cluster) Isolate(in func(*Node) bool) {
	for _, a := range c.Nodes {
		for _, b := range c.Nodes {
			if in(a) != in(b) {
				c.BlockLink(a.index, b.index)
			}
		}
	}
}

// Heal unblocks all links.
func (c *Cluster) Heal() { clear(c.blocked) }

// Run advances the virtual time.
func (c *Cluster) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// RunUntil runs in steps until the condition holds and returns the virtual time that
// this took. It returns false if the condition does not hold within the limit.
func (c *Cluster) RunUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	start := c.now
	for !cond() {
		if c.now.Sub(start) >= limit {
			return limit, false
		}
		c.Run(member.TickInterval)
	}
	return c.now.Sub(start), true
}

// Converged reports whether each running member believes all running members alive or
// leaving, and all others dead.
func (c *Cluster) Converged() bool {
	for _, n := range c.Nodes {
		if n.Running() && !n.hasCorrectView(c.Nodes) {
			return false
		}
	}
	return true
}

// RegionConverged is Converged restricted to the members of one region.
func (c *Cluster) RegionConverged(region string) bool {
	var nodes []*Node
	for _, n := range c.Nodes {
		if n.Region == region {
			nodes = append(nodes, n)
		}
	}
	for _, n := range nodes {
		if n.Running() && !n.hasCorrectView(nodes) {
			return false
		}
	}
	return true
}

func (n *Node) hasCorrectView(nodes []*Node) bool {
	for _, o := range nodes {
		m, known := n.View.Get(o.Name)
		live := known && (m.State == member.Alive || m.State == member.Leaving)
		dead := !known || m.State == member.Dead
		if (o.Running() && !live) || (!o.Running() && !dead) {
			return false
		}
	}
	return true
}

// tick calls Machine.Tick at its interval until the member is killed or restarted.
func (n *Node) tick(startCount int) {
	if n.killed || n.startCount != startCount {
		return
	}
	if !n.paused {
		n.emit(n.Machine.Tick(n.cluster.now))
	}
	n.cluster.schedule(member.TickInterval, func() { n.tick(startCount) })
}

// emit stores the view and sends the messages.
func (n *Node) emit(outgoing []member.Outgoing) {
	if v := n.Machine.View(); v != nil {
		n.View = v
	}
	for _, o := range outgoing {
		n.send(o)
	}
}

func (n *Node) send(o member.Outgoing) {
	to := n.cluster.byName[o.To]
	if a, ok := o.To.Address(); ok {
		to = n.cluster.byAddr[a]
	}
	if to == nil || to == n {
		return
	}
	if to.killed {
		n.cluster.peerDown(n, o.To, n.cluster.latency(n, to))
		return
	}
	n.MessagesOut++
	n.BytesOut += uint64(len(o.Payload))
	if n.cluster.blocked[[2]int{n.index, to.index}] {
		n.cluster.peerDown(n, o.To, silenceTimeout)
		return
	}
	from, startCount := peer.Name(n.Name), to.startCount
	n.cluster.schedule(n.cluster.latency(n, to), func() {
		to.deliver(startCount, func() {
			to.MessagesIn++
			to.BytesIn += uint64(len(o.Payload))
			to.emit(to.Machine.Receive(n.cluster.now, from, o.Type, o.Payload))
		})
	})
}

// deliver handles an event: at once, after a pause, or not at all if the member was
// killed or restarted meanwhile.
func (n *Node) deliver(startCount int, f func()) {
	switch {
	case n.killed || n.startCount != startCount:
	case n.paused:
		n.deferred = append(n.deferred, f)
	default:
		f()
	}
}

func (c *Cluster) peerDown(at *Node, name peer.Name, after time.Duration) {
	startCount := at.startCount
	c.schedule(after, func() {
		at.deliver(startCount, func() { at.emit(at.Machine.PeerDown(c.now, name)) })
	})
}

func (c *Cluster) latency(a, b *Node) time.Duration {
	base := sameRegionLatency
	if a.Region != b.Region {
		base = otherRegionLatency
	}
	return base/2 + time.Duration(c.rand.Int64N(int64(base)))
}

func (c *Cluster) schedule(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, run: f})
}

// event is an action at a virtual time; seq orders events of the same time.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
