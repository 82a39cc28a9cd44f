// Package faultproxy is a TCP proxy that injects the network's failures into
// one link while a test runs: resets, delays, refused connections, and
// connections that go silent for good while new ones work.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Direction is a set of the two ways that bytes flow in.
type Direction uint8

// The directions.
const (
	ToTarget Direction = 1 << iota // from the dialing side to the target
	ToClient
	Both = ToTarget | ToClient
)

// Proxy forwards connections to one target. Safe for concurrent use.
type Proxy struct {
	listener net.Listener
	group    conc.WaitGroup
	done     chan struct{}

	mu         sync.Mutex
	target     string
	delay      time.Duration
	refuse     bool
	silent     Direction // for new connections
	closed     bool
	conns      map[*conn]struct{}
	accepted   int
	resetCount int // how often existing connections were reset
}

// New listens at an address (port 0 picks one) and forwards to the target.
func New(listen, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "faultproxy")
	}
	p := &Proxy{listener: ln, target: target, done: make(chan struct{}), conns: map[*conn]struct{}{}}
	p.group.Go(p.accept)
	return p, nil
}

// Addr is the address that the proxy listens at, IP:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget forwards new connections to another target.
func (p *Proxy) SetTarget(target string) { p.set(func() { p.target = target }) }

// ClearFaults lets new connections through without faults and ends the delay of
// existing ones. Connections that went silent stay silent.
func (p *Proxy) ClearFaults() { p.set(func() { p.delay, p.refuse, p.silent = 0, false, 0 }) }

// Delay holds all bytes back that long, each way, in order.
func (p *Proxy) Delay(d time.Duration) { p.set(func() { p.delay = d }) }

// Refuse resets new connections as soon as they are accepted.
func (p *Proxy) Refuse() { p.set(func() { p.refuse = true }) }

// Reset resets the existing connections on both sides. One that was accepted,
// but whose target is not reached yet, is an existing one.
func (p *Proxy) Reset() {
	p.set(func() { p.resetCount++ })
	for _, c := range p.openConns() {
		c.reset()
	}
}

// ResetAndRefuse resets the existing connections and refuses new ones.
func (p *Proxy) ResetAndRefuse() {
	p.Refuse()
	p.Reset()
}

// Silence makes the existing connections silent for good: bytes in the
// direction vanish, and neither side is told when the other closes. New
// connections work.
func (p *Proxy) Silence(d Direction) {
	for _, c := range p.openConns() {
		c.makeSilent(d)
	}
}

// SilenceAll makes existing and new connections silent, until Pass for new
// ones. New connections are accepted, as by a host whose process is frozen.
func (p *Proxy) SilenceAll(d Direction) {
	p.set(func() { p.silent = d })
	p.Silence(d)
}

// Connections returns how many are open now and how many were accepted ever.
func (p *Proxy) Connections() (open, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.accepted
}

// Close resets everything and waits for the goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.closed = true
	close(p.done)
	p.mu.Unlock()
	p.listener.Close()
	p.Reset()
	p.group.Wait()
}

func (p *Proxy) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *Proxy) openConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		cs = append(cs, c)
	}
	return cs
}

func (p *Proxy) currentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.forward(client.(*net.TCPConn)) })
	}
}

// forward connects one accepted connection with the target.
func (p *Proxy) forward(client *net.TCPConn) {
	p.mu.Lock()
	target, refuse, silent, resetCount := p.target, p.refuse, p.silent, p.resetCount
	p.accepted++
	p.mu.Unlock()
	if refuse {
		resetConn(client)
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		resetConn(client)
		return
	}
	c := &conn{proxy: p, client: client, server: server.(*net.TCPConn), silent: silent}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	ended := p.closed || p.resetCount != resetCount
	p.mu.Unlock()
	if ended {
		c.reset()
	}
	c.run()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// resetConn closes a connection so that its peer sees a reset, not an end.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}
