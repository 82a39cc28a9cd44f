// Package callerwatch notices a caller that closes its connection while its
// request waits or its answer is streamed.
package callerwatch

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrDisconnected is the cause of a context that ended because the caller left.
var ErrDisconnected = errors.New("caller gone")

// Watch watches one connection.
//
// What goes wrong without it: the HTTP server reads a connection only between
// two requests, so a caller that left keeps its place in the queue, takes a
// slot, and its prompt is computed for nobody. One would notice wasted prefill
// that grows with the callers' impatience.
//
// The watch waits for readability in the runtime's poller and then peeks: it
// consumes no byte, so that a pipelined request is not lost.
type Watch struct {
	conn net.Conn
	done chan struct{} // closed when the watching goroutine has ended
}

// Start calls gone with ErrDisconnected when the caller has left. Stop must be called before
// the connection is read again.
func Start(conn net.Conn, cancel context.CancelCauseFunc) *Watch {
	w := &Watch{conn: conn, done: make(chan struct{})}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		close(w.done)
		return w
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		close(w.done)
		return w
	}
	_ = conn.SetReadDeadline(time.Time{})
	go w.run(raw, cancel)
	return w
}

// run waits until the connection is closed by the caller, has bytes, or Stop
// is called.
func (w *Watch) run(raw syscall.RawConn, cancel context.CancelCauseFunc) {
	defer close(w.done)
	state := connOpen
	err := raw.Read(func(fd uintptr) bool {
		state = peek(int(fd))
		return state != connOpen
	})
	if err == nil && state == connClosed {
		cancel(ErrDisconnected)
	}
}

// Stop ends the watch and leaves the connection as the HTTP server expects it.
func (w *Watch) Stop() {
	select {
	case <-w.done:
	default:
		_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the poller
		<-w.done
	}
	_ = w.conn.SetReadDeadline(time.Time{})
}

// connState is what a peek shows of a caller's connection.
type connState uint8

// The states of a caller's connection. One with bytes to read (a pipelined
// request) can't be watched any further: those bytes keep it readable.
const (
	connOpen connState = iota
	connClosed
	connReadable
)

// peek looks at the connection without waiting and without consuming.
func peek(fd int) connState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return connOpen
	case err != nil || n == 0:
		return connClosed
	default:
		return connReadable
	}
}
