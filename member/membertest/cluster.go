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
		d := &Node{
			cluster: c, index: i, Name: fmt.Sprintf("entry-%03d", i), killed: true,
			Region: fmt.Sprintf("region-%d", i%regions), zone: fmt.Sprintf("zone-%d", i%(regions*3)),
			address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		}
		c.Nodes = append(c.Nodes, d)
		c.byName[peer.Name(d.Name)] = d
		c.byAddr[d.address] = d
	}
	return c
}

// Now returns the virtual time.
func (c *Cluster) Now() time.Time { return c.now }

// StartAll starts all members, each at a random time within one second.
func (c *Cluster) StartAll() {
	for _, d := range c.Nodes {
		c.schedule(time.Duration(c.rand.Int64N(int64(time.Second))), d.Start)
	}
}

// Start starts a member that is not running, as a new process.
func (d *Node) Start() { d.StartWithIncarnation(uint64(d.cluster.now.UnixMilli())) }

// StartWithIncarnation starts a member like Start, as on a VM whose clock is wrong.
func (d *Node) StartWithIncarnation(incarnation uint64) {
	if !d.killed {
		return
	}
	cfg := member.Config{
		Self: member.Member{
			Name: d.Name, Incarnation: incarnation, Address: d.address,
			Region: d.Region, AvailabilityZone: d.zone, ProtocolVersion: peer.NewestVersion,
		},
	}
	for _, s := range d.cluster.Nodes[:min(3, len(d.cluster.Nodes))] {
		cfg.Seeds = append(cfg.Seeds, s.address)
	}
	m, err := member.NewMachine(cfg, d.cluster.now, rand.New(rand.NewPCG(d.cluster.rand.Uint64(), 0)))
	if err != nil {
		panic(err) // the configuration above is valid
	}
	d.Machine, d.killed, d.paused, d.deferred = m, false, false, nil
	d.startCount++
	d.tick(d.startCount)
}

// Kill ends the process and resets its connections.
func (d *Node) Kill() {
	d.killed = true
	for _, o := range d.cluster.Nodes {
		if o != d && !o.killed {
			d.cluster.peerDown(o, peer.Name(d.Name), d.cluster.latency(d, o))
		}
	}
}

// Pause suspends the process. Its connections stay open.
func (d *Node) Pause() { d.paused = true }

// Resume continues a paused process. It first handles the events that arrived during
// the pause.
func (d *Node) Resume() {
	d.paused = false
	deferred := d.deferred
	d.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// Leave makes the member announce that it is leaving.
func (d *Node) Leave() { d.emit(d.Machine.Leave(d.cluster.now)) }

// Running reports whether the process is neither killed nor paused.
func (d *Node) Running() bool { return !d.killed && !d.paused }

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
	for _, d := range c.Nodes {
		if d.Running() && !d.hasCorrectView(c.Nodes) {
			return false
		}
	}
	return true
}

// RegionConverged is Converged restricted to the members of one region.
func (c *Cluster) RegionConverged(region string) bool {
	var nodes []*Node
	for _, d := range c.Nodes {
		if d.Region == region {
			nodes = append(nodes, d)
		}
	}
	for _, d := range nodes {
		if d.Running() && !d.hasCorrectView(nodes) {
			return false
		}
	}
	return true
}

func (d *Node) hasCorrectView(nodes []*Node) bool {
	for _, o := range nodes {
		m, known := d.View.Get(o.Name)
		live := known && (m.State == member.Alive || m.State == member.Leaving)
		dead := !known || m.State == member.Dead
		if (o.Running() && !live) || (!o.Running() && !dead) {
			return false
		}
	}
	return true
}

// tick calls Machine.Tick at its interval until the member is killed or restarted.
func (d *Node) tick(startCount int) {
	if d.killed || d.startCount != startCount {
		return
	}
	if !d.paused {
		d.emit(d.Machine.Tick(d.cluster.now))
	}
	d.cluster.schedule(member.TickInterval, func() { d.tick(startCount) })
}

// emit stores the view and sends the messages.
func (d *Node) emit(outgoing []member.Outgoing) {
	if v := d.Machine.View(); v != nil {
		d.View = v
	}
	for _, o := range outgoing {
		d.send(o)
	}
}

func (d *Node) send(o member.Outgoing) {
	to := d.cluster.byName[o.To]
	if a, ok := o.To.Address(); ok {
		to = d.cluster.byAddr[a]
	}
	if to == nil || to == d {
		return
	}
	if to.killed {
		d.cluster.peerDown(d, o.To, d.cluster.latency(d, to))
		return
	}
	d.MessagesOut++
	d.BytesOut += uint64(len(o.Payload))
	if d.cluster.blocked[[2]int{d.index, to.index}] {
		d.cluster.peerDown(d, o.To, silenceTimeout)
		return
	}
	from, startCount := peer.Name(d.Name), to.startCount
	d.cluster.schedule(d.cluster.latency(d, to), func() {
		to.deliver(startCount, func() {
			to.MessagesIn++
			to.BytesIn += uint64(len(o.Payload))
			to.emit(to.Machine.Receive(d.cluster.now, from, o.Type, o.Payload))
		})
	})
}

// deliver handles an event: at once, after a pause, or not at all if the member was
// killed or restarted meanwhile.
func (d *Node) deliver(startCount int, f func()) {
	switch {
	case d.killed || d.startCount != startCount:
	case d.paused:
		d.deferred = append(d.deferred, f)
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
