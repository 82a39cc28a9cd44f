// Package gate provides a listener for stand-ins that injects connection faults:
// it can make its connections silent, and it can refuse connections for a while,
// as a crashed process does.
package gate

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// reopenRetryInterval is the time between attempts to listen again.
const reopenRetryInterval = 20 * time.Millisecond

// errClosed is returned by Accept after Close.
var errClosed = errors.New("listener closed")

// Listener is a net.Listener with fault injection. It is safe for concurrent use.
type Listener struct {
	address net.Addr

	mu      sync.Mutex
	ln      net.Listener  // nil while connections are refused
	changed chan struct{} // closed and replaced when ln is reopened or closed is set
	closed  bool
	conns   map[*Conn]struct{}
}

// New wraps a listener and takes ownership of it.
func New(ln net.Listener) *Listener {
	return &Listener{address: ln.Addr(), ln: ln, changed: make(chan struct{}), conns: map[*Conn]struct{}{}}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		ln, changed, err := l.current()
		if err != nil {
			return nil, err
		}
		if ln == nil {
			<-changed
			continue
		}
		if nc, err := ln.Accept(); err == nil {
			return l.register(nc), nil
		}
	}
}

func (l *Listener) current() (net.Listener, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, errClosed
	}
	return l.ln, l.changed, nil
}

func (l *Listener) register(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.ln == nil {
		_ = nc.Close()
	}
	l.conns[c] = struct{}{}
	return c
}

// Silence makes all open connections silent permanently, except exempt ones.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Silence()
	}
}

// TakeDown closes all connections, except exempt ones, and refuses new ones for
// the duration.
func (l *Listener) TakeDown(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln == nil || l.closed {
		return
	}
	l.closeAll()
	time.AfterFunc(d, l.reopen)
}

func (l *Listener) closeAll() {
	if l.ln != nil {
		_ = l.ln.Close()
		l.ln = nil
	}
	for c := range l.conns {
		if !c.exempt.Load() || l.closed {
			_ = c.Conn.Close()
		}
	}
}

func (l *Listener) reopen() {
	ln, err := net.Listen(l.address.Network(), l.address.String())
	if err != nil {
		time.AfterFunc(reopenRetryInterval, l.reopen)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = ln.Close()
		return
	}
	l.ln = ln
	l.notifyChanged()
}

// Close implements net.Listener. It closes all connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.closeAll()
		l.notifyChanged()
	}
	return nil
}

func (l *Listener) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Conn is a connection that can be made silent: it stays open, but bytes are
// dropped in both directions, as if a device on the path, such as a NAT or a
// firewall, had lost the connection's state.
type Conn struct {
	net.Conn
	listener   *Listener
	silent     atomic.Bool
	exempt     atomic.Bool
	peerClosed atomic.Bool // a read failed: the peer closed or reset the connection
}

// Silence makes the connection silent permanently, unless it is exempt.
func (c *Conn) Silence() { c.silent.Store(!c.exempt.Load()) }

// Exempt excludes the connection from Silence and TakeDown, so that the request
// that triggers them can be answered on it.
func (c *Conn) Exempt() { c.exempt.Store(true) }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			c.peerClosed.Store(true)
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

// Close implements net.Conn. On a silent connection it does nothing, so that the
// peer does not notice: the connection stays open until the peer or the Listener
// closes it.
func (c *Conn) Close() error {
	if c.silent.Load() && !c.peerClosed.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
