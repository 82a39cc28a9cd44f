// Package peertest is an in-memory network of peer.Transports for tests. It
// carries the real payload bytes, counts them per node, and can partition, delay
// or drop the messages of a link in one direction during a test.
package peertest

import (
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
)

// queueLength limits the messages in flight from one node to another. A Send
// beyond it returns peer.ErrOverloaded, like the real transport.
const queueLength = 4096

// Counters counts the messages and payload bytes that a node sent and received.
// Lost messages are counted by the sender only.
type Counters struct {
	MessagesOut, MessagesIn uint64
	BytesOut, BytesIn       uint64
}

// faults are the faults injected into a directed link.
type faults struct {
	partitioned bool
	drop        bool
	delay       time.Duration
}

// direction identifies a directed link.
type direction struct{ from, to peer.Name }

// Network connects its nodes with each other. It is safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	nodes  map[peer.Name]*Node
	faults map[direction]faults
	links  map[direction]*link
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		nodes:  map[peer.Name]*Node{},
		faults: map[direction]faults{},
		links:  map[direction]*link{},
	}
}

// Node returns the node of a name and adds it if needed. A crashed node is
// replaced by a new one without handlers.
func (n *Network) Node(name peer.Name) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d, ok := n.nodes[name]; ok {
		return d
	}
	d := &Node{net: n, name: name, handlers: map[peer.Type]peer.Handler{}}
	n.nodes[name] = d
	return d
}

// Partition breaks the links between two nodes in both directions. Sends fail
// with peer.ErrNotConnected, and the OnDown functions of both nodes are called.
func (n *Network) Partition(a, b peer.Name) {
	n.updateFaults(a, b, func(r *faults) { r.partitioned = true })
	n.updateFaults(b, a, func(r *faults) { r.partitioned = true })
	n.breakLinks(a, b)
}

// Drop drops messages from one node to the other without an error on either
// side, including answers to the other's calls.
func (n *Network) Drop(from, to peer.Name) {
	n.updateFaults(from, to, func(r *faults) { r.drop = true })
}

// Delay delays messages from one node to the other by d.
func (n *Network) Delay(from, to peer.Name, d time.Duration) {
	n.updateFaults(from, to, func(r *faults) { r.delay = d })
}

// Heal removes the effects of Partition, Drop and Delay between two nodes, in
// both directions.
func (n *Network) Heal(a, b peer.Name) {
	n.updateFaults(a, b, func(r *faults) { *r = faults{} })
	n.updateFaults(b, a, func(r *faults) { *r = faults{} })
}

// BreakConnection calls the OnDown functions of both nodes, as when a connection
// breaks and the next message dials a new one. Messages in flight are lost.
func (n *Network) BreakConnection(a, b peer.Name) { n.breakLinks(a, b) }

// Crash removes a node. Its messages in flight are lost, and its peers' OnDown
// functions are called. Node(name) restarts it without handlers.
func (n *Network) Crash(name peer.Name) {
	n.mu.Lock()
	delete(n.nodes, name)
	var others []peer.Name
	for other := range n.nodes {
		others = append(others, other)
	}
	n.mu.Unlock()
	for _, other := range others {
		n.breakLinks(name, other)
	}
}

// Close stops all deliveries.
func (n *Network) Close() {
	n.mu.Lock()
	links := n.links
	n.links = map[direction]*link{}
	n.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
}

func (n *Network) updateFaults(from, to peer.Name, f func(*faults)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.faults[direction{from, to}]
	f(&r)
	n.faults[direction{from, to}] = r
}

// breakLinks drops the messages in flight between two nodes and notifies both.
func (n *Network) breakLinks(a, b peer.Name) {
	n.mu.Lock()
	used := false
	for _, p := range []direction{{a, b}, {b, a}} {
		if l, ok := n.links[p]; ok {
			l.stop()
			delete(n.links, p)
			used = true
		}
	}
	na, nb := n.nodes[a], n.nodes[b]
	n.mu.Unlock()
	if !used {
		return
	}
	if na != nil {
		na.notifyDown(b)
	}
	if nb != nil {
		nb.notifyDown(a)
	}
}

// resolveName resolves peer.ByAddress. The address of a node is its name.
func resolveName(n peer.Name) peer.Name {
	if a, ok := n.Address(); ok {
		return peer.Name(a)
	}
	return n
}

// faultsBetween returns the current faults and the receiving node, which is nil
// if it has crashed.
func (n *Network) faultsBetween(from, to peer.Name) (faults, *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[from] == nil {
		return faults{partitioned: true}, nil
	}
	return n.faults[direction{from, to}], n.nodes[to]
}

// link returns the queue of a directed link and starts it if needed.
func (n *Network) link(from, to peer.Name) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := direction{from, to}
	l, ok := n.links[p]
	if !ok {
		l = newLink()
		n.links[p] = l
	}
	return l
}

// link delivers the one-way messages of one direction in order.
type link struct {
	queue chan func()
	done  chan struct{}
	once  sync.Once
}

func newLink() *link {
	l := &link{queue: make(chan func(), queueLength), done: make(chan struct{})}
	go l.run()
	return l
}

func (l *link) stop() { l.once.Do(func() { close(l.done) }) }

func (l *link) run() {
	for {
		select {
		case <-l.done:
			return
		case deliver := <-l.queue:
			deliver()
		}
	}
}

// wait waits until the time, and returns false if the link breaks first.
func (l *link) wait(until time.Time) bool {
	d := time.Until(until)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.done:
		return false
	}
}
