// Package faultproxy is a TCP proxy for tests that injects network faults into one
// link: connection resets, delays, refused connections, bytes that are held for a
// while, and connections that become silent permanently while new ones work.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Direction is a set of directions of the byte flow.
type Direction uint8

// The directions.
const (
	ToTarget Direction = 1 << iota // from the client to the target
	ToClient                       // from the target to the client
	Both     = ToTarget | ToClient
)

// Proxy forwards connections to one target. It is safe for concurrent use.
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
	resetCount int           // number of calls of Reset
	held       chan struct{} // closed when the hold ends; nil: nothing is held
}

// New listens at an address (port 0 selects a free port) and forwards connections
// to the target. Close stops the proxy.
func New(listen, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "faultproxy: listen")
	}
	p := &Proxy{listener: ln, target: target, done: make(chan struct{}), conns: map[*conn]struct{}{}}
	p.group.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens at, as IP:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target string) { p.set(func() { p.target = target }) }

// ClearFaults forwards new connections without faults and ends the delay and the hold of
// existing ones. Connections that are already silent stay silent.
func (p *Proxy) ClearFaults() {
	p.set(func() {
		p.delay, p.refuse, p.silent = 0, false, 0
		if p.held != nil {
			close(p.held)
			p.held = nil
		}
	})
}

// Hold holds all bytes until ClearFaults and then delivers them, as a partition does that
// heals, also those of connections that were closed meanwhile.
func (p *Proxy) Hold() {
	p.set(func() {
		if p.held == nil {
			p.held = make(chan struct{})
		}
	})
}

// waitWhileHeld waits until nothing is held or the proxy closes.
func (p *Proxy) waitWhileHeld() {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held == nil {
		return
	}
	select {
	case <-held:
	case <-p.done:
	}
}

// Delay delays all bytes by d in each direction. Their order is kept.
func (p *Proxy) Delay(d time.Duration) { p.set(func() { p.delay = d }) }

// Refuse resets new connections as soon as they are accepted.
func (p *Proxy) Refuse() { p.set(func() { p.refuse = true }) }

// StopListening refuses new connections for good, as the host of a process that has ended does.
func (p *Proxy) StopListening() { p.listener.Close() }

// Reset resets the existing connections on both sides. That includes connections
// that were accepted but are not yet connected to the target.
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

// Silence makes the existing connections silent permanently: bytes in the given
// direction are dropped, and so is the end of the stream when a side closes. New
// connections work.
func (p *Proxy) Silence(d Direction) {
	for _, c := range p.openConns() {
		c.makeSilent(d)
	}
}

// SilenceAll makes existing and new connections silent; ClearFaults ends it for
// new ones. New connections are still accepted, as by a host whose process is
// frozen.
func (p *Proxy) SilenceAll(d Direction) {
	p.set(func() { p.silent = d })
	p.Silence(d)
}

// Connections returns the number of open connections and the number of
// connections accepted so far.
func (p *Proxy) Connections() (open, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.accepted
}

// Close stops listening, resets all connections and waits for the goroutines.
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

// forward connects an accepted connection to the target and forwards until both
// directions have ended.
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

// resetConn closes a connection with a TCP reset instead of a normal close.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}
