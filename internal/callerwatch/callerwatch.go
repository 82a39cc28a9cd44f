// Package callerwatch detects that a caller has closed its connection while its
// request is queued or its answer is being streamed.
package callerwatch

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrDisconnected is the cancellation cause of a context whose caller has disconnected.
var ErrDisconnected = errors.New("caller gone")

// Watch watches one caller's connection.
//
// The HTTP server reads a connection only between two requests. Without the watch, the
// request of a caller that has disconnected keeps its place in the queue, takes a slot,
// and its prompt is computed for nothing. The symptom is wasted prefill that grows as
// callers become less patient.
//
// The watch waits in the runtime's poller until the connection is readable and then
// peeks. It consumes no byte, so a pipelined request is not lost.
type Watch struct {
	conn net.Conn
	done chan struct{} // closed when run has returned
}

// Start calls cancel with ErrDisconnected when the caller closes the connection. Stop
// must be called before the connection is read again.
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

// run waits until the caller closes the connection, the connection has bytes to read,
// or Stop is called.
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

// Stop ends the watch and clears the read deadline, as the HTTP server expects it.
func (w *Watch) Stop() {
	select {
	case <-w.done:
	default:
		_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the poller
		<-w.done
	}
	_ = w.conn.SetReadDeadline(time.Time{})
}

// connState is the state of a caller's connection, as a peek shows it.
type connState uint8

// The states of a caller's connection. A connection with bytes to read (a pipelined
// request) can't be watched any further, since the unread bytes keep it readable.
const (
	connOpen connState = iota
	connClosed
	connReadable
)

// peek returns the state of a connection. It neither blocks nor consumes bytes.
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

// Readable reports whether bytes of a connection have arrived that were not read, or it was
// closed by its caller.
func Readable(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	state := connOpen
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	return err == nil && state != connOpen
}
