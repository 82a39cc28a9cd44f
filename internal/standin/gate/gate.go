// Package gate is a listener for stand-ins whose connections can go silent
// and which can refuse connections for a while, as a crashed process does.
package gate

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// reopenAfter is how soon a failed attempt to listen again is repeated.
const reopenAfter = 20 * time.Millisecond

// errClosed ends Accept.
var errClosed = errors.New("gate closed")

// Gate is a net.Listener. It is safe for concurrent use.
type Gate struct {
	address net.Addr

	mu      sync.Mutex
	ln      net.Listener // nil while connections are refused
	changed chan struct{}
	closed  bool
	conns   map[*Conn]struct{}
}

// New wraps a listener, which the gate then owns.
func New(ln net.Listener) *Gate {
	return &Gate{address: ln.Addr(), ln: ln, changed: make(chan struct{}), conns: map[*Conn]struct{}{}}
}

// Addr implements net.Listener.
func (g *Gate) Addr() net.Addr { return g.address }

// Accept implements net.Listener.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		ln, changed, err := g.current()
		if err != nil {
			return nil, err
		}
		if ln == nil {
			<-changed
			continue
		}
		if nc, err := ln.Accept(); err == nil {
			return g.admit(nc), nil
		}
	}
}

func (g *Gate) current() (net.Listener, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, nil, errClosed
	}
	return g.ln, g.changed, nil
}

func (g *Gate) admit(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, gate: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.ln == nil {
		_ = nc.Close()
	}
	g.conns[c] = struct{}{}
	return c
}

// Silence makes every open connection silent for good.
func (g *Gate) Silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.Silence()
	}
}

// Shut breaks all connections and refuses new ones for the time.
func (g *Gate) Shut(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ln == nil || g.closed {
		return
	}
	g.shut()
	time.AfterFunc(d, g.reopen)
}

func (g *Gate) shut() {
	if g.ln != nil {
		_ = g.ln.Close()
		g.ln = nil
	}
	for c := range g.conns {
		if !c.spared.Load() || g.closed {
			_ = c.Conn.Close()
		}
	}
}

func (g *Gate) reopen() {
	ln, err := net.Listen(g.address.Network(), g.address.String())
	if err != nil {
		time.AfterFunc(reopenAfter, g.reopen)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = ln.Close()
		return
	}
	g.ln = ln
	g.announce()
}

// Close implements net.Listener. It breaks all connections.
func (g *Gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		g.shut()
		g.announce()
	}
	return nil
}

func (g *Gate) announce() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// Conn is a connection that can go silent: it stays open, but what either
// side sends is lost, as when a device between the two has forgotten it.
type Conn struct {
	net.Conn
	gate   *Gate
	silent atomic.Bool
	spared atomic.Bool
	ended  atomic.Bool // the peer closed it
}

// Silence makes the connection silent for good.
func (c *Conn) Silence() { c.silent.Store(!c.spared.Load()) }

// Spare excepts the connection from Silence and Shut, so that the order for
// them can be answered on it.
func (c *Conn) Spare() { c.spared.Store(true) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			c.ended.Store(true)
			return n, err
		}
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A silent connection's end is lost as well: it
// stays open to the peer until the peer or the gate closes it.
func (c *Conn) Close() error {
	if c.silent.Load() && !c.ended.Load() {
		return nil
	}
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
