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
	// noticeSilence is after how long the transport gives up a connection on
	// which messages vanish.
	noticeSilence = time.Second
)

// Cluster is a set of members on one network. It is used by one goroutine.
type Cluster struct {
	Nodes []*Node

	now    time.Time
	rand   *rand.Rand
	events events
	seq    uint64
	cut    map[[2]int]bool // messages from the first to the second vanish
	byName map[peer.Name]*Node
	byAddr map[string]*Node
}

// Node is one member. Counters hold what it sent and received.
type Node struct {
	Name    string
	Region  string
	Machine *member.Machine
	View    *member.View

	MessagesIn, MessagesOut, BytesIn, BytesOut uint64

	c       *Cluster
	index   int
	address string
	zone    string
	life    int // counts starts; zero and Machine nil: never started
	killed  bool
	frozen  bool
	held    []func() // what arrives at a frozen member
}

// New returns a cluster of n members, spread evenly over the regions, none of
// which is started yet. All know the first three members' addresses as seeds.
func New(n, regions int, seed uint64) *Cluster {
	c := &Cluster{
		now:  time.Unix(1_000_000, 0),
		rand: rand.New(rand.NewPCG(seed, seed)),
		cut:  map[[2]int]bool{}, byName: map[peer.Name]*Node{}, byAddr: map[string]*Node{},
	}
	for i := range n {
		d := &Node{
			c: c, index: i, Name: fmt.Sprintf("entry-%03d", i), killed: true,
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
		c.after(time.Duration(c.rand.Int64N(int64(time.Second))), d.Start)
	}
}

// Start starts a member that is not running, as a new process.
func (d *Node) Start() { d.StartWithIncarnation(uint64(d.c.now.UnixMilli())) }

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
	for _, s := range d.c.Nodes[:min(3, len(d.c.Nodes))] {
		cfg.Seeds = append(cfg.Seeds, s.address)
	}
	m, err := member.NewMachine(cfg, d.c.now, rand.New(rand.NewPCG(d.c.rand.Uint64(), 0)))
	if err != nil {
		panic(err) // the configuration is made right here
	}
	d.Machine, d.killed, d.frozen, d.held = m, false, false, nil
	d.life++
	d.tick(d.life)
}

// Kill ends the process; its connections are reset.
func (d *Node) Kill() {
	d.killed = true
	for _, o := range d.c.Nodes {
		if o != d && !o.killed {
			d.c.peerDown(o, peer.Name(d.Name), d.c.latency(d, o))
		}
	}
}

// Freeze stops the process without ending it; its connections stay.
func (d *Node) Freeze() { d.frozen = true }

// Thaw lets it go on; what arrived meanwhile is handled first.
func (d *Node) Thaw() {
	d.frozen = false
	held := d.held
	d.held = nil
	for _, f := range held {
		f()
	}
}

// Leave makes the member announce that it leaves.
func (d *Node) Leave() { d.emit(d.Machine.Leave(d.c.now)) }

// Running tells whether the member runs and is not frozen.
func (d *Node) Running() bool { return !d.killed && !d.frozen }

// Cut makes messages from one member to the other vanish.
func (c *Cluster) Cut(from, to int) { c.cut[[2]int{from, to}] = true }

// Isolate makes all messages between the members that are in the set and the
// others vanish.
func (c *Cluster) Isolate(in func(*Node) bool) {
	for _, a := range c.Nodes {
		for _, b := range c.Nodes {
			if in(a) != in(b) {
				c.Cut(a.index, b.index)
			}
		}
	}
}

// Heal takes back all cuts.
func (c *Cluster) Heal() { clear(c.cut) }

// Run lets virtual time pass.
func (c *Cluster) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// RunUntil runs in steps until the condition holds and returns how long it
// took; false if it did not within the limit.
func (c *Cluster) RunUntil(limit time.Duration, cond func() bool) (time.Duration, bool) {
	began := c.now
	for !cond() {
		if c.now.Sub(began) >= limit {
			return limit, false
		}
		c.Run(member.TickInterval)
	}
	return c.now.Sub(began), true
}

// Converged tells whether every running member believes every running member
// alive or leaving, and nobody else but dead.
func (c *Cluster) Converged() bool {
	for _, d := range c.Nodes {
		if d.Running() && !d.sees(c.Nodes) {
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
		if d.Running() && !d.sees(nodes) {
			return false
		}
	}
	return true
}

func (d *Node) sees(nodes []*Node) bool {
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
func (d *Node) tick(life int) {
	if d.killed || d.life != life {
		return
	}
	if !d.frozen {
		d.emit(d.Machine.Tick(d.c.now))
	}
	d.c.after(member.TickInterval, func() { d.tick(life) })
}

// emit publishes the view and sends messages.
func (d *Node) emit(outs []member.Out) {
	if v := d.Machine.View(); v != nil {
		d.View = v
	}
	for _, o := range outs {
		d.send(o)
	}
}

func (d *Node) send(o member.Out) {
	to := d.c.byName[o.To]
	if a, ok := o.To.Address(); ok {
		to = d.c.byAddr[a]
	}
	if to == nil || to == d {
		return
	}
	if to.killed {
		d.c.peerDown(d, o.To, d.c.latency(d, to))
		return
	}
	d.MessagesOut++
	d.BytesOut += uint64(len(o.Payload))
	if d.c.cut[[2]int{d.index, to.index}] {
		d.c.peerDown(d, o.To, noticeSilence)
		return
	}
	from, life := peer.Name(d.Name), to.life
	d.c.after(d.c.latency(d, to), func() {
		to.arrive(life, func() {
			to.MessagesIn++
			to.BytesIn += uint64(len(o.Payload))
			to.emit(to.Machine.Receive(d.c.now, from, o.Type, o.Payload))
		})
	})
}

// arrive handles something now, after the thaw, or never if the member died.
func (d *Node) arrive(life int, f func()) {
	switch {
	case d.killed || d.life != life:
	case d.frozen:
		d.held = append(d.held, f)
	default:
		f()
	}
}

func (c *Cluster) peerDown(at *Node, of peer.Name, after time.Duration) {
	life := at.life
	c.after(after, func() {
		at.arrive(life, func() { at.emit(at.Machine.PeerDown(c.now, of)) })
	})
}

func (c *Cluster) latency(a, b *Node) time.Duration {
	base := sameRegionLatency
	if a.Region != b.Region {
		base = otherRegionLatency
	}
	return base/2 + time.Duration(c.rand.Int64N(int64(base)))
}

func (c *Cluster) after(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(d), seq: c.seq, do: f})
}

// event is something due at a virtual time; seq orders events of one instant.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
