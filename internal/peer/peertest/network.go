// Package peertest is an in-memory network of peer.Transports for tests: real
// payload bytes, counters per node, and links that can be cut, delayed or made
// to lose messages in one direction while a test runs.
package peertest

import (
	"sync"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
)

// queueLength bounds the messages under way from one node to another; a Send
// beyond it returns peer.ErrOverloaded, as the real transport does.
const queueLength = 4096

// Counters counts what a node sent and received, lost messages included on
// the sender's side only. Bytes are payload bytes without any framing.
type Counters struct {
	MessagesOut, MessagesIn uint64
	BytesOut, BytesIn       uint64
}

// faults is what a directed link does to messages.
type faults struct {
	partitioned bool
	drop        bool
	delay       time.Duration
}

// direction is a directed link.
type direction struct{ from, to peer.Name }

// Network connects its nodes with each other. It is safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	nodes  map[peer.Name]*Node
	faults map[direction]faults
	links  map[direction]*link
}

// NewNetwork returns a network in which every link works at once.
func NewNetwork() *Network {
	return &Network{
		nodes:  map[peer.Name]*Node{},
		faults: map[direction]faults{},
		links:  map[direction]*link{},
	}
}

// Node returns the node of that name, adding it at the first call. A node that
// was crashed is replaced by a new one without handlers.
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

// Partition breaks the links of two nodes both ways: sends fail at once with
// peer.ErrNotConnected, and both sides' OnDown functions are called.
func (n *Network) Partition(a, b peer.Name) {
	n.updateFaults(a, b, func(r *faults) { r.partitioned = true })
	n.updateFaults(b, a, func(r *faults) { r.partitioned = true })
	n.breakLinks(a, b)
}

// Drop drops what is sent from one node to the other, without telling either.
// Answers to the other's calls are dropped with it.
func (n *Network) Drop(from, to peer.Name) {
	n.updateFaults(from, to, func(r *faults) { r.drop = true })
}

// Delay delivers what is sent from one node to the other that much later.
func (n *Network) Delay(from, to peer.Name, d time.Duration) {
	n.updateFaults(from, to, func(r *faults) { r.delay = d })
}

// Heal takes back Cut, Lose and Delay between two nodes, both ways.
func (n *Network) Heal(a, b peer.Name) {
	n.updateFaults(a, b, func(r *faults) { *r = faults{} })
	n.updateFaults(b, a, func(r *faults) { *r = faults{} })
}

// BreakConnection calls both sides' OnDown functions, as when the connection broke and
// the next message dials a new one. What is under way is lost.
func (n *Network) BreakConnection(a, b peer.Name) { n.breakLinks(a, b) }

// Crash removes a node: what it sent and was sent is lost, and its peers'
// OnDown functions are called. Node(name) starts it again, without handlers.
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

// breakLinks loses what is under way between two nodes and tells them.
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

// resolveName resolves peer.ByAddress: a node's address is its name here.
func resolveName(n peer.Name) peer.Name {
	if a, ok := n.Address(); ok {
		return peer.Name(a)
	}
	return n
}

// faults returns the rule in force and the receiving node, nil if it is gone.
func (n *Network) faultsBetween(from, to peer.Name) (faults, *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[from] == nil {
		return faults{partitioned: true}, nil
	}
	return n.faults[direction{from, to}], n.nodes[to]
}

// link returns the queue of a directed link, starting it at the first use.
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

// wait returns after the delay, false if the link broke meanwhile.
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
