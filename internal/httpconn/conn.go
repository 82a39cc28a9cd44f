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

// bufferBytes is the size of a connection's read and write buffers. The header of a
// response must fit into it.
const bufferBytes = 8 << 10

// writerPool holds write buffers: a connection needs one only while it sends.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// Conn is a connection during one exchange. It is used by one goroutine at a time.
type Conn struct {
	// Reader reads what the peer sends. Each read from the connection waits no longer
	// than the silence timeout.
	Reader *bufio.Reader

	pool           *Pool
	nc             net.Conn
	rawConn        syscall.RawConn // nil on platforms without one
	silenceTimeout time.Duration
	bytesWritten   int
	timedOut       bool // the last read or write exceeded the silence timeout
	idleSince      time.Time
	guard          ctxGuard
	peer           string // through which the connection runs; empty: direct
}

func newConn(p *Pool, nc net.Conn) *Conn {
	c := &Conn{pool: p, nc: nc, silenceTimeout: p.settings.SilenceTimeout}
	c.guard.interrupt = func() { _ = nc.SetDeadline(time.Unix(1, 0)) }
	if sc, ok := nc.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn()
	}
	if rc, ok := nc.(RelayedConn); ok {
		c.peer = rc.Peer()
	}
	c.Reader = bufio.NewReaderSize(timeoutReader{c}, bufferBytes)
	return c
}

// Peer returns the name of the daemon through which the connection runs; empty: it is direct.
func (c *Conn) Peer() string { return c.peer }

// SetSilenceTimeout changes the silence timeout of this exchange.
func (c *Conn) SetSilenceTimeout(d time.Duration) { c.silenceTimeout = d }

// Bind makes the end of ctx abort the connection until Unbind. It returns ctx's error
// if ctx has already ended. Binding the same ctx again is cheap.
func (c *Conn) Bind(ctx context.Context) error { return c.guard.bind(ctx) }

// Abort interrupts any read or write in progress; the connection can't be used again.
// It is safe to call from any goroutine.
func (c *Conn) Abort() { c.guard.abort() }

// Unbind undoes Bind: the end of the context no longer aborts the connection.
func (c *Conn) Unbind() { c.guard.unbind() }

// Release returns a connection whose exchange is complete to the pool. One through a peer is
// closed: whether it is still open can't be checked before it is used again.
func (c *Conn) Release() {
	if !c.guard.release() || c.Reader.Buffered() > 0 || c.peer != "" {
		c.close()
		return
	}
	c.silenceTimeout = c.pool.settings.SilenceTimeout
	c.pool.putIdle(c)
}

// Discard closes the connection.
func (c *Conn) Discard() {
	c.guard.release()
	c.close()
}

// TimedOut tells whether the last read or write exceeded the silence timeout. The
// connection may still be read after that.
func (c *Conn) TimedOut() bool { return c.timedOut && !c.guard.wasAborted() }

// WrapError wraps an error of the exchange as engine.ErrConnectionLost. If the error was a
// silence timeout, it also closes the pool's idle connections.
func (c *Conn) WrapError(err error) error {
	switch {
	case c.guard.wasAborted():
		return errors.Wrapf(engine.ErrConnectionLost, "%s: %v", c.pool.address, errAborted)
	case c.timedOut:
		c.pool.CloseIdle()
		return errors.Wrapf(engine.ErrConnectionLost, "%s: silent for %v", c.pool.address, c.silenceTimeout)
	default:
		return errors.Wrapf(engine.ErrConnectionLost, "%s: %v", c.pool.address, err)
	}
}

func (c *Conn) close() { _ = c.nc.Close() }

// writeRequest writes the request. After a failed write it is unknown in general whether
// the peer got the request. The error is engine.ErrNotSent only if the operating system
// took no byte at all, which is why the bytes are counted. A multiplexed connection through
// a peer may send bytes that it has reported as not written.
func (c *Conn) writeRequest(req Request) error {
	c.bytesWritten = 0
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(timeoutWriter{c})
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	writerPool.Put(w)
	switch {
	case err == nil:
		return nil
	case c.bytesWritten == 0 && c.peer == "":
		return errors.Wrapf(engine.ErrNotSent, "%s: %v", c.pool.address, err)
	default:
		return c.WrapError(err)
	}
}

type timeoutReader struct{ c *Conn }

func (r timeoutReader) Read(b []byte) (int, error) {
	if err := r.c.guard.setDeadline(r.c.nc.SetReadDeadline, r.c.silenceTimeout); err != nil {
		return 0, err
	}
	n, err := r.c.nc.Read(b)
	r.c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

type timeoutWriter struct{ c *Conn }

func (w timeoutWriter) Write(b []byte) (int, error) {
	if err := w.c.guard.setDeadline(w.c.nc.SetWriteDeadline, w.c.silenceTimeout); err != nil {
		return 0, err
	}
	n, err := w.c.nc.Write(b)
	w.c.bytesWritten += n
	w.c.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}
