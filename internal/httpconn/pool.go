// Package httpconn is the client side of HTTP/1.1 for dispatch: it sends a
// request at most once and knows whether a byte of it can have left.
//
// A ready-made HTTP client hides two things that matter here. It sends a
// request again by itself where a reused connection turns out to be dead, and
// it does not tell whether anything was written before an error. Here one
// Send is at most one write, on a connection that is either new or was just
// checked to be alive, and the error says which of the two cases holds.
package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
)

// Settings of a Pool. A zero field takes its default.
type Settings struct {
	// DialTimeout bounds connecting. Default 500 ms.
	DialTimeout time.Duration
	// SilenceTimeout is the longest time without any byte from (or taken by) the
	// peer during an exchange. Default 1 s.
	SilenceTimeout time.Duration
	// IdleTimeout is how long an idle connection may be reused. It must be far
	// below the peer's own idle timeout, so that the peer does not close the
	// connection while a request is on its way. Default 1 s.
	IdleTimeout time.Duration
	// MaxIdleConns is how many idle connections are kept. Default 256.
	MaxIdleConns int
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
	return s
}

// Counts are a pool's totals since it was made.
type Counts struct {
	// Dialed, Reused: how exchanges got their connection.
	Dialed, Reused uint64
	// Expired, Dead: idle connections given up by age, or by the check before
	// reuse.
	Expired, Dead uint64
}

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	address  string
	settings Settings
	dialer   net.Dialer

	mu            sync.Mutex
	idle          []*Conn // oldest first
	reapScheduled bool    // reap will be called

	dialed, reused, expired, dead atomic.Uint64
}

// NewPool returns a pool for the address (host:port). It connects only when
// something is sent.
func NewPool(address string, s Settings) *Pool {
	s = s.withDefaults()
	return &Pool{address: address, settings: s, dialer: net.Dialer{Timeout: s.DialTimeout}}
}

// Address returns the pool's address.
func (p *Pool) Address() string { return p.address }

// Counts returns the totals.
func (p *Pool) Counts() Counts {
	return Counts{Dialed: p.dialed.Load(), Reused: p.reused.Load(), Expired: p.expired.Load(), Dead: p.dead.Load()}
}

// ReusePolicy says whether Send must use a new connection.
type ReusePolicy bool

// The values of Fresh.
const (
	MayReuse ReusePolicy = false
	// MustDial: whatever broke the last connection may have broken the idle
	// ones of the same age too.
	MustDial ReusePolicy = true
)

// Request is what Send writes; a *fasthttp.Request is one.
type Request interface {
	Write(w *bufio.Writer) error
}

// Send writes the request once and returns the connection, from which the
// answer is to be read; the caller must end it with Keep or Drop. The error
// wraps engine.ErrNotSent where no byte can have left, else engine.ErrConnectionLost.
//
// sending, where not nil, is called once the connection is up and checked,
// directly before the first byte; its error stops the request.
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

// CloseIdle closes all idle connections. Call it where a connection went silent:
// whatever lost track of that one has likely lost the others as well.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

func (p *Pool) get(ctx context.Context, policy ReusePolicy) (*Conn, error) {
	if policy == MayReuse {
		if c := p.takeIdle(); c != nil {
			p.reused.Add(1)
			return c, nil
		}
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrapf(engine.ErrNotSent, "connect %s: %v", p.address, err)
	}
	p.dialed.Add(1)
	return newConn(p, nc), nil
}

// takeIdle returns the most recently used idle connection that is still alive
// as far as this side can know, or nil.
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

// closeExpired closes the idle connections that are too old; they stand first.
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

// scheduleReap closes idle connections also where no other use comes by.
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
