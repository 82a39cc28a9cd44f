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

// ErrGone is the cause of a context that ended because the caller left.
var ErrGone = errors.New("caller gone")

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

// Start calls gone with ErrGone when the caller has left. Stop must be called before
// the connection is read again.
func Start(conn net.Conn, gone context.CancelCauseFunc) *Watch {
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
	go w.run(raw, gone)
	return w
}

// run waits until the connection is closed by the caller, has bytes, or Stop
// is called.
func (w *Watch) run(raw syscall.RawConn, gone context.CancelCauseFunc) {
	defer close(w.done)
	state := callerThere
	err := raw.Read(func(fd uintptr) bool {
		state = peek(int(fd))
		return state != callerThere
	})
	if err == nil && state == callerLeft {
		gone(ErrGone)
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

// callerState is what a peek shows of a caller's connection.
type callerState uint8

// The states of a caller's connection. One with bytes to read (a pipelined
// request) can't be watched any further: those bytes keep it readable.
const (
	callerThere callerState = iota
	callerLeft
	callerSentMore
)

// peek looks at the connection without waiting and without consuming.
func peek(fd int) callerState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return callerThere
	case err != nil || n == 0:
		return callerLeft
	default:
		return callerSentMore
	}
}
