// Package membertest runs many membership machines in one process over an
// in-memory network with virtual time, real encoding and injected faults. The
// same seed gives the same run. It serves tests and the capacity measurement.
package membertest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
)

// Latencies of a message, one way.
const (
	sameRegionLatency  = 2 * time.Millisecond
	otherRegionLatency = 20 * time.Millisecond
	// silenceTimeout is after how long the transport gives up a connection on
	// which messages vanish.
	silenceTimeout = time.Second
)

// Cluster is a set of members on one network. It is used by one goroutine.
type Cluster struct {
	Nodes []*Node

	now     time.Time
	rand    *rand.Rand
	events  eventQueue
	seq     uint64
	blocked map[[2]int]bool // messages from the first to the second vanish
	byName  map[peer.Name]*Node
	byAddr  map[string]*Node
}

// Node is one member. Counters hold what it sent and received.
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
	startCount int // counts starts; zero and Machine nil: never started
	killed     bool
	paused     bool
	deferred   []func() // what arrives at a frozen member
}

// New returns a cluster of n members, spread evenly over the regions, none of
// which is started yet. All know the first three members' addresses as seeds.
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

// Now is the cluster's virtual time.
func (c *Cluster) Now() time.Time { return c.now }

// StartAll starts every member within one second.
func (c *Cluster) StartAll() {
	for _, d := range c.Nodes {
		c.schedule(time.Duration(c.rand.Int64N(int64(time.Second))), d.Start)
	}
}

// Start starts a member that is not running, as a new process.
func (d *Node) Start() { d.StartWithIncarnation(uint64(d.cluster.now.UnixMilli())) }

// StartWithIncarnation is Start on a VM whose clock is wrong.
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
		panic(err) // the configuration is made right here
	}
	d.Machine, d.killed, d.paused, d.deferred = m, false, false, nil
	d.startCount++
	d.tick(d.startCount)
}

// Kill ends the process; its connections are reset.
func (d *Node) Kill() {
	d.killed = true
	for _, o := range d.cluster.Nodes {
		if o != d && !o.killed {
			d.cluster.peerDown(o, peer.Name(d.Name), d.cluster.latency(d, o))
		}
	}
}

// Pause stops the process without ending it; its connections stay.
func (d *Node) Pause() { d.paused = true }

// Resume lets it go on; what arrived meanwhile is handled first.
func (d *Node) Resume() {
	d.paused = false
	deferred := d.deferred
	d.deferred = nil
	for _, f := range deferred {
		f()
	}
}

// Leave makes the member announce that it leaves.
func (d *Node) Leave() { d.emit(d.Machine.Leave(d.cluster.now)) }

// Running tells whether the member runs and is not frozen.
func (d *Node) Running() bool { return !d.killed && !d.paused }

// BlockLink makes messages from one member to the other vanish.
func (c *Cluster) BlockLink(from, to int) { c.blocked[[2]int{from, to}] = true }

// Isolate makes all messages between the members that are in the set and the
// others vanish.
func (c *Cluster) Isolate(in func(*Node) bool) {
	for _, a := range c.Nodes {
		for _, b := range c.Nodes {
			if in(a) != in(b) {
				c.BlockLink(a.index, b.index)
			}
		}
	}
}

// Heal takes back all cuts.
func (c *Cluster) Heal() { clear(c.blocked) }

// Run lets virtual time pass.
func (c *Cluster) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// RunUntil runs in steps until the condition holds and returns how long it
// took; false if it did not within the limit.
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

// Converged tells whether every running member believes every running member
// alive or leaving, and nobody else but dead.
func (c *Cluster) Converged() bool {
	for _, d := range c.Nodes {
		if d.Running() && !d.hasCorrectView(c.Nodes) {
			return false
		}
	}
	return true
}

// RegionConverged is Converged among the members of one region.
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

// tick calls the machine at its interval for as long as this life lasts.
func (d *Node) tick(startCount int) {
	if d.killed || d.startCount != startCount {
		return
	}
	if !d.paused {
		d.emit(d.Machine.Tick(d.cluster.now))
	}
	d.cluster.schedule(member.TickInterval, func() { d.tick(startCount) })
}

// emit publishes the view and sends messages.
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

// deliver handles something now, after the thaw, or never if the member died.
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

// event is something due at a virtual time; seq orders events of one instant.
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
