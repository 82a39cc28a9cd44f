package httpconn

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
)

// bufferBytes is the size of a connection's read and write buffers; a
// response's header must fit into it.
const bufferBytes = 8 << 10

// writers are pooled: a connection needs one only while it sends.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// Conn is one connection during one exchange. It is used by one goroutine.
type Conn struct {
	// Reader reads what the peer sends. Each read from the connection waits
	// for at most the pool's silence limit.
	Reader *bufio.Reader

	pool      *Pool
	nc        net.Conn
	raw       syscall.RawConn // nil where the platform has none
	silence   time.Duration
	written   int
	timedOut  bool // a read or write met the silence limit
	idleSince time.Time
	guard     guard
}

func newConn(p *Pool, nc net.Conn) *Conn {
	c := &Conn{pool: p, nc: nc, silence: p.settings.Silence}
	c.guard.abort = func() { _ = nc.SetDeadline(time.Unix(1, 0)) }
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.Reader = bufio.NewReaderSize(readSide{c}, bufferBytes)
	return c
}

// SetSilence changes the silence limit of this exchange.
func (c *Conn) SetSilence(d time.Duration) { c.silence = d }

// Enter makes the end of ctx abort the connection until Leave. It returns
// ctx's error where that has ended. To enter again with the same ctx is cheap.
func (c *Conn) Enter(ctx context.Context) error { return c.guard.enter(ctx) }

// Abort ends what waits on the connection, which is of no more use. It may be called by
// any goroutine.
func (c *Conn) Abort() { c.guard.cancel() }

// Leave ends what Enter began.
func (c *Conn) Leave() { c.guard.leave() }

// Keep gives a connection whose exchange is complete back to the pool.
func (c *Conn) Keep() {
	if !c.guard.release() || c.Reader.Buffered() > 0 {
		c.close()
		return
	}
	c.silence = c.pool.settings.Silence
	c.pool.put(c)
}

// Drop closes the connection.
func (c *Conn) Drop() {
	c.guard.release()
	c.close()
}

// Silent tells whether the last read or write ended because the peer was silent
// for the limit. The connection may be read on.
func (c *Conn) Silent() bool { return c.timedOut && !c.guard.wasAborted() }

// Broken wraps an error met while the answer was read as engine.ErrBroken.
// After a silence it closes the pool's idle connections.
func (c *Conn) Broken(err error) error {
	switch {
	case c.guard.wasAborted():
		return errors.Wrapf(engine.ErrBroken, "%s: %v", c.pool.address, errAborted)
	case c.timedOut:
		c.pool.Flush()
		return errors.Wrapf(engine.ErrBroken, "%s: silent for %v", c.pool.address, c.silence)
	default:
		return errors.Wrapf(engine.ErrBroken, "%s: %v", c.pool.address, err)
	}
}

func (c *Conn) close() { _ = c.nc.Close() }

// send writes the request. What goes wrong: after a failed write nobody knows
// whether the peer got the request. Counting the bytes that the operating
// system took tells the one case where it certainly did not: none were taken.
func (c *Conn) send(req Request) error {
	c.written = 0
	w := writers.Get().(*bufio.Writer)
	w.Reset(writeSide{c})
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writers.Put(w)
	switch {
	case err == nil:
		return nil
	case c.written == 0:
		return errors.Wrapf(engine.ErrNotSent, "%s: %v", c.pool.address, err)
	default:
		return c.Broken(err)
	}
}

type readSide struct{ c *Conn }

func (r readSide) Read(b []byte) (int, error) {
	if err := r.c.guard.arm(r.c.nc.SetReadDeadline, r.c.silence); err != nil {
		return 0, err
	}
	n, err := r.c.nc.Read(b)
	r.c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

type writeSide struct{ c *Conn }

func (w writeSide) Write(b []byte) (int, error) {
	if err := w.c.guard.arm(w.c.nc.SetWriteDeadline, w.c.silence); err != nil {
		return 0, err
	}
	n, err := w.c.nc.Write(b)
	w.c.written += n
	w.c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}
