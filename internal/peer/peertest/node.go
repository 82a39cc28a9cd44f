package peertest

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/pkg/errors"
)

// Node is one daemon's end of a Network. It implements peer.Transport and needs
// no start. SetAddress has no effect, since nodes are reached by name.
type Node struct {
	net  *Network
	name peer.Name

	mu       sync.Mutex
	handlers map[peer.Type]peer.Handler
	onDown   []func(peer.Name)

	messagesOut, messagesIn atomic.Uint64
	bytesOut, bytesIn       atomic.Uint64
}

var _ peer.Transport = (*Node)(nil)

// Self implements peer.Transport.
func (d *Node) Self() peer.Name { return d.name }

// SetAddress implements peer.Transport.
func (d *Node) SetAddress(peer.Name, string) {}

// Handle implements peer.Transport.
func (d *Node) Handle(t peer.Type, h peer.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handlers[t] = h
}

// OnDown implements peer.Transport.
func (d *Node) OnDown(f func(name peer.Name)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onDown = append(d.onDown, f)
}

// Counters returns the node's counters.
func (d *Node) Counters() Counters {
	return Counters{
		MessagesOut: d.messagesOut.Load(), MessagesIn: d.messagesIn.Load(),
		BytesOut: d.bytesOut.Load(), BytesIn: d.bytesIn.Load(),
	}
}

// Send implements peer.Transport.
func (d *Node) Send(to peer.Name, t peer.Type, payload []byte) error {
	to = resolveName(to)
	r, dst := d.net.faultsBetween(d.name, to)
	if r.partitioned || dst == nil {
		return peer.ErrNotConnected
	}
	l := d.net.link(d.name, to)
	sent := bytes.Clone(payload)
	due := time.Now().Add(r.delay)
	deliver := func() {
		if !r.drop && l.wait(due) {
			dst.receive(context.Background(), d.name, t, sent)
		}
	}
	select {
	case l.queue <- deliver:
		d.countOut(sent)
		return nil
	default:
		return peer.ErrOverloaded
	}
}

// answer is the result of a handler.
type answer struct {
	payload []byte
	err     error
}

// Call implements peer.Transport.
func (d *Node) Call(ctx context.Context, to peer.Name, t peer.Type, payload []byte) ([]byte, error) {
	to = resolveName(to)
	r, dst := d.net.faultsBetween(d.name, to)
	if r.partitioned || dst == nil {
		return nil, peer.ErrNotConnected
	}
	l := d.net.link(d.name, to)
	d.countOut(payload)
	answers := make(chan answer, 1)
	if !r.drop {
		go d.deliverCall(ctx, l, dst, t, bytes.Clone(payload), answers)
	}
	select {
	case a := <-answers:
		return a.payload, a.err
	case <-l.done:
	case <-ctx.Done():
	}
	return nil, peer.ErrUnknownOutcome
}

// deliverCall runs the handler of a call and returns its answer, under the faults
// that apply at each step.
func (d *Node) deliverCall(ctx context.Context, l *link, dst *Node, t peer.Type, payload []byte, answers chan<- answer) {
	r, _ := d.net.faultsBetween(d.name, dst.name)
	if !l.wait(time.Now().Add(r.delay)) {
		return
	}
	out, err := dst.receive(ctx, d.name, t, payload)
	dst.countOut(out)
	back, _ := d.net.faultsBetween(dst.name, d.name)
	if back.partitioned || back.drop || !l.wait(time.Now().Add(back.delay)) {
		return
	}
	d.countIn(out)
	if err != nil && !errors.Is(err, peer.ErrUnknownType) {
		err = &peer.RemoteError{Message: err.Error()} // the real transport carries the error's text only
	}
	answers <- answer{payload: bytes.Clone(out), err: err}
}

func (d *Node) receive(ctx context.Context, from peer.Name, t peer.Type, payload []byte) ([]byte, error) {
	d.countIn(payload)
	d.mu.Lock()
	h := d.handlers[t]
	d.mu.Unlock()
	if h == nil {
		return nil, peer.ErrUnknownType
	}
	return h(ctx, from, payload)
}

func (d *Node) notifyDown(name peer.Name) {
	d.mu.Lock()
	callbacks := append([]func(peer.Name){}, d.onDown...)
	d.mu.Unlock()
	for _, f := range callbacks {
		f(name)
	}
}

func (d *Node) countOut(payload []byte) {
	d.messagesOut.Add(1)
	d.bytesOut.Add(uint64(len(payload)))
}

func (d *Node) countIn(payload []byte) {
	d.messagesIn.Add(1)
	d.bytesIn.Add(uint64(len(payload)))
}
