package callermem

import (
	"container/list"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
)

const (
	// stallTime is how long a caller may send or read less than minBytesPerSecond before it
	// gives way to others.
	stallTime = time.Second
	// silentTime is how long a caller may send or read nothing before it gives way to a request
	// of its own tier.
	silentTime = 250 * time.Millisecond
	// pauseTime is how long a caller that sends a body is silent at least before it gives way to
	// a new connection: longer than a round trip, so that one that goes on sending does not.
	pauseTime = 10 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read of a refused request.
	lingerTimeout = 2 * time.Second
	lingerBytes   = 16 << 20
	// minBytesPerSecond is also the most that one write passes to the kernel.
	minBytesPerSecond = 16 << 10
)

// stage is what happens on a connection.
type stage uint8

const (
	// stageIdle: a request was answered, and nothing of another one was read.
	stageIdle stage = iota
	// stageReading: it is new, or a request is being read.
	stageReading
	// stageHandled: a request waits, runs or is being answered.
	stageHandled
	stages
)

// phase is how far a request was read.
type phase uint32

const (
	phaseNone phase = iota // nothing of a request was read
	phaseHeader
	phaseBody
	phaseRead // a request was read, and is not answered yet
)

// Timeouts bound how long a caller may take. Zero fields bound nothing.
type Timeouts struct {
	// Head bounds the time for a head, Idle the time without a request.
	Head, Idle time.Duration
}

// Conn is a caller's connection. The HTTP server owns it; the account closes it when its
// caller gives way.
type Conn struct {
	net.Conn
	account  *Account
	timeouts func() Timeouts // nil: none

	// Guarded by the account's lock.
	closed  bool // closed here, or by the HTTP server
	stage   stage
	element *list.Element
	began   time.Time // its stage
	bytes   int64     // what it counts, without its request
	request *Reservation

	phase   atomic.Uint32
	since   atomic.Int64 // of the head, in Unix ns
	reading readRate
	// writingSince is set while a write is blocked, in Unix ns; else 0.
	writingSince atomic.Int64
}

// Accept counts a new connection. It returns nil if there is no room for one.
func (a *Account) Accept(conn net.Conn, timeouts func() Timeouts) *Conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.makeRoom(a.limits.ConnBytes, 1, nil, nil) {
		call(a.events.Refused)
		return nil
	}
	c := &Conn{Conn: conn, account: a, timeouts: timeouts, bytes: a.limits.ConnBytes}
	a.open++
	a.used += c.bytes
	c.enter(stageReading)
	c.reading.restart(c.began)
	return c
}

// enter moves the connection to a stage.
func (c *Conn) enter(s stage) {
	if c.element != nil {
		c.account.conns[c.stage].Remove(c.element)
	}
	c.stage, c.began = s, time.Now()
	c.element = c.account.conns[s].PushBack(c)
}

// evictConn closes a connection, and ends what its request holds. It closes it while the lock
// is held, so that the HTTP server can't begin to read a request there.
func (a *Account) evictConn(c *Conn, event func()) {
	if c.closed {
		return
	}
	a.remove(c)
	_ = c.Conn.Close()
	call(event)
}

// remove takes a connection and its request out of the account.
func (a *Account) remove(c *Conn) {
	c.closed = true
	a.conns[c.stage].Remove(c.element)
	if c.request != nil {
		a.end(c.request)
	}
	a.open--
	a.used -= c.bytes
	a.notifyFreed()
}

// StateChanged is a hook of the HTTP server for the states of connections that Accept returned.
func StateChanged(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.closed {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.begin()
	case fasthttp.StateIdle:
		c.rest()
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		c.account.remove(c)
	}
}

// begin records that the first byte of a request was read. If there is no room for a request,
// the connection is closed unread.
func (c *Conn) begin() {
	a := c.account
	if !a.makeRoom(a.limits.BusyBytes, 0, c, nil) {
		a.evictConn(c, a.events.Refused)
		return
	}
	a.used += a.limits.BusyBytes
	c.bytes += a.limits.BusyBytes
	c.enter(stageReading)
	c.since.Store(c.began.UnixNano())
	c.reading.restart(c.began)
	c.phase.Store(uint32(phaseHeader))
}

// rest records that the request was answered.
func (c *Conn) rest() {
	a := c.account
	c.phase.Store(uint32(phaseNone))
	if c.request != nil {
		a.end(c.request)
	}
	a.used -= c.bytes - a.limits.ConnBytes
	c.bytes = a.limits.ConnBytes
	a.notifyFreed()
	c.enter(stageIdle)
}

// BodyRead records that the request was read, or is not read any further.
func (c *Conn) BodyRead() {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.phase.Store(uint32(phaseRead))
	if !c.closed && c.stage == stageReading {
		c.enter(stageHandled)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if ph := phase(c.phase.Load()); n > 0 && (ph == phaseHeader || ph == phaseBody) {
		c.reading.add(time.Now(), n)
	}
	return n, err
}

// Write implements net.Conn. It writes in pieces, so that a caller which reads slowly is told
// from one that has stopped.
func (c *Conn) Write(p []byte) (int, error) {
	defer c.writingSince.Store(0)
	written := 0
	for {
		piece := p[written:min(len(p), written+minBytesPerSecond)]
		c.writingSince.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn. What a caller still sends of a request that was refused is read
// and dropped for a while: closing a connection with unread bytes resets it, and the refusal
// may not reach the caller.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && phase(c.phase.Load()) == phaseBody {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.CopyN(io.Discard, c, lingerBytes)
	}
	return c.Conn.Close()
}

// SetReadDeadline implements net.Conn. The deadlines of the HTTP server for a connection's
// next request and for a head are the configuration's, if these are sooner.
func (c *Conn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.limitDeadline(t))
}

func (c *Conn) limitDeadline(t time.Time) time.Time {
	switch phase(c.phase.Load()) {
	case phaseNone:
		if c.timeouts != nil {
			return sooner(t, time.Now(), c.timeouts().Idle)
		}
	case phaseHeader:
		// The HTTP server sets the deadline of the head, and when that was read the body's.
		since := c.since.Swap(0)
		switch {
		case since == 0:
			c.phase.Store(uint32(phaseBody))
		case c.timeouts != nil:
			return sooner(t, time.Unix(0, since), c.timeouts().Head)
		}
	}
	return t
}

// sooner returns t, or the end of a time that begins at start if that is sooner. A time of 0
// does not end.
func sooner(t, start time.Time, d time.Duration) time.Time {
	if end := start.Add(d); d > 0 && (t.IsZero() || end.Before(t)) {
		return end
	}
	return t
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection is no socket")
	}
	return sc.SyscallConn()
}

// readable reports whether bytes have arrived that were not read. It is this process that is
// late with them, not the caller.
func (c *Conn) readable() bool { return callerwatch.Readable(c) }

// blockedFor returns how long a write has been blocked.
func (c *Conn) blockedFor(now time.Time) time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// hasTierFrom reports whether the connection's request has r's tier or a lower one.
func (c *Conn) hasTierFrom(r *Reservation) bool {
	return c.request != nil && c.request.tier >= r.tier
}

// readRate measures how fast a caller sends, in windows of stallTime. One goroutine adds,
// others read; a value that is a little out of date does no harm.
type readRate struct {
	windowStart atomic.Int64 // in Unix ns
	bytes       atomic.Int64 // in the window
	// last is the rate of the last whole window in bytes per second; below 0: there was none.
	last atomic.Int64
	at   atomic.Int64 // when the last bytes came, in Unix ns
}

func (r *readRate) restart(now time.Time) {
	r.windowStart.Store(now.UnixNano())
	r.at.Store(now.UnixNano())
	r.bytes.Store(0)
	r.last.Store(-1)
}

func (r *readRate) add(now time.Time, n int) {
	r.at.Store(now.UnixNano())
	elapsed := now.Sub(time.Unix(0, r.windowStart.Load()))
	if elapsed < stallTime {
		r.bytes.Add(int64(n))
		return
	}
	r.last.Store(perSecond(r.bytes.Load()+int64(n), elapsed))
	r.windowStart.Store(now.UnixNano())
	r.bytes.Store(0)
}

func (r *readRate) silentFor(now time.Time) time.Duration { return now.Sub(time.Unix(0, r.at.Load())) }

func (r *readRate) slow(now time.Time) bool {
	if elapsed := now.Sub(time.Unix(0, r.windowStart.Load())); elapsed >= stallTime {
		return perSecond(r.bytes.Load(), elapsed) < minBytesPerSecond
	}
	last := r.last.Load()
	return last >= 0 && last < minBytesPerSecond
}

func perSecond(bytes int64, d time.Duration) int64 { return int64(float64(bytes) / d.Seconds()) }

// LimitUnread sets the size of the receive buffer, in bytes: what the kernel may take of the
// caller's bytes ahead of this process.
func (c *Conn) LimitUnread(bytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// A system that refuses these keeps its own.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, bytes)
	})
}
