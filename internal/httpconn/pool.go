// Package httpconn is an HTTP/1.1 client for dispatch. It sends a request at most once and
// reports whether any byte of it can have been sent.
//
// General HTTP clients hide two things that matter here. They resend a request by
// themselves if a reused connection turns out to be closed, and their errors don't tell
// whether anything was written. Here each Send writes the request at most once, on a
// connection that is new or was just checked to be open, and the error tells whether
// bytes can have been sent.
package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
)

// Settings of a Pool. A zero field takes its default.
type Settings struct {
	// DialTimeout bounds connecting. Default 500 ms.
	DialTimeout time.Duration
	// SilenceTimeout is the longest time during an exchange in which the peer sends no
	// byte, or takes none. Default 1 s.
	SilenceTimeout time.Duration
	// IdleTimeout is how long an idle connection may be reused. It must be well below
	// the peer's idle timeout, so that the peer does not close the connection while a
	// request is in transit. Default 1 s.
	IdleTimeout time.Duration
	// MaxIdleConns is how many idle connections are kept. Default 256.
	MaxIdleConns int
	// Dial opens connections. Default TCP.
	Dial DialFunc
}

// DialFunc opens a connection to an address (host:port) before ctx ends.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the default DialFunc.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Defaults of Settings.
const (
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultSilenceTimeout = time.Second
	DefaultIdleTimeout    = time.Second
	DefaultMaxIdleConns   = 256
)

func (s Settings) withDefaults() Settings {
	if s.DialTimeout <= 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.SilenceTimeout <= 0 {
		s.SilenceTimeout = DefaultSilenceTimeout
	}
	if s.IdleTimeout <= 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.MaxIdleConns <= 0 {
		s.MaxIdleConns = DefaultMaxIdleConns
	}
	if s.Dial == nil {
		s.Dial = DialTCP
	}
	return s
}

// Counts are the totals of a pool since its creation.
type Counts struct {
	// Dialed and Reused count the exchanges by how they got their connection.
	Dialed, Reused uint64
	// Expired and Dead count the idle connections that were closed because of their age
	// and because of the check before reuse.
	Expired, Dead uint64
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address  string
	settings Settings

	mu            sync.Mutex
	idle          []*Conn // oldest first
	reapScheduled bool    // a call of reap is pending

	dialed, reused, expired, dead atomic.Uint64
}

// NewPool returns a pool for an address (host:port). It connects on the first Send.
func NewPool(address string, s Settings) *Pool {
	return &Pool{address: address, settings: s.withDefaults()}
}

// Address returns the pool's address.
func (p *Pool) Address() string { return p.address }

// Counts returns the totals.
func (p *Pool) Counts() Counts {
	return Counts{Dialed: p.dialed.Load(), Reused: p.reused.Load(), Expired: p.expired.Load(), Dead: p.dead.Load()}
}

// ReusePolicy tells whether Send may use an idle connection.
type ReusePolicy bool

// The values of ReusePolicy.
const (
	MayReuse ReusePolicy = false
	// MustDial forces a new connection: what broke the last connection may have broken
	// the idle ones of the same age, too.
	MustDial ReusePolicy = true
)

// Request is what Send writes. *fasthttp.Request implements it.
type Request interface {
	Write(w *bufio.Writer) error
}

// Send writes the request once and returns the connection to read the answer from. The
// caller must end its use by Release or Discard. The error wraps engine.ErrNotSent if no
// byte can have been sent, otherwise engine.ErrConnectionLost.
//
// beforeWrite, if not nil, is called once the connection is open and checked, directly
// before the first byte. An error from it cancels the send.
func (p *Pool) Send(ctx context.Context, req Request, policy ReusePolicy, beforeWrite func() error) (*Conn, error) {
	c, err := p.get(ctx, policy)
	if err != nil {
		return nil, err
	}
	if err := c.Bind(ctx); err != nil {
		c.Discard()
		return nil, errors.Wrapf(engine.ErrNotSent, "%s: %v", p.address, err)
	}
	if beforeWrite != nil {
		if err := beforeWrite(); err != nil {
			c.Release() // nothing was written
			return nil, errors.Wrapf(engine.ErrNotSent, "%s: %v", p.address, err)
		}
	}
	err = c.writeRequest(req)
	c.Unbind()
	if err != nil {
		c.Discard()
		return nil, err
	}
	return c, nil
}

// CloseIdle closes all idle connections. Call it after a silence timeout: what made the
// peer lose track of that connection has probably affected the others as well.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Check connects to the address, and keeps a direct connection for a later Send. The error
// wraps engine.ErrConnRefused if no process listens there. relayed reports whether the
// address was reached through a peer.
func (p *Pool) Check(ctx context.Context) (relayed bool, err error) {
	c, err := p.get(ctx, MustDial)
	if err != nil {
		return false, err
	}
	relayed = c.Peer() != ""
	c.Release()
	return relayed, nil
}

func (p *Pool) get(ctx context.Context, policy ReusePolicy) (*Conn, error) {
	if policy == MayReuse {
		if c := p.takeIdle(); c != nil {
			p.reused.Add(1)
			return c, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	nc, err := p.settings.Dial(dialCtx, p.address)
	if err != nil {
		return nil, p.dialError(err)
	}
	p.dialed.Add(1)
	return newConn(p, nc), nil
}

// dialError wraps the error of a dial as engine.ErrConnRefused or engine.ErrNotSent, and
// keeps that a peer can't reach the address either.
func (p *Pool) dialError(err error) error {
	kind := engine.ErrNotSent
	if errors.Is(err, syscall.ECONNREFUSED) {
		kind = engine.ErrConnRefused
	}
	wrapped := errors.Wrapf(kind, "connect %s: %v", p.address, err)
	if errors.Is(err, ErrUnreachableByPeer) {
		return unreachableError{wrapped}
	}
	return wrapped
}

// takeIdle returns the most recently used idle connection that still appears open on this
// side, or nil.
func (p *Pool) takeIdle() *Conn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		if alive(c.rawConn) {
			return c
		}
		p.dead.Add(1)
		c.close()
	}
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(time.Now())
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// closeExpired closes the idle connections that are too old. They are first in p.idle.
func (p *Pool) closeExpired(now time.Time) {
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) > p.settings.IdleTimeout {
		p.idle[n].close()
		p.idle[n] = nil
		n++
	}
	if n > 0 {
		p.expired.Add(uint64(n))
		p.idle = p.idle[:copy(p.idle, p.idle[n:])]
	}
}

func (p *Pool) putIdle(c *Conn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(now)
	if len(p.idle) >= p.settings.MaxIdleConns {
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	p.scheduleReap()
}

// scheduleReap makes idle connections expire even if the pool is not used again.
func (p *Pool) scheduleReap() {
	if p.reapScheduled || len(p.idle) == 0 {
		return
	}
	p.reapScheduled = true
	time.AfterFunc(p.settings.IdleTimeout, p.reap)
}

func (p *Pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reapScheduled = false
	p.closeExpired(time.Now())
	p.scheduleReap()
}
