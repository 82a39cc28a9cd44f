package callermem

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// UnreadBytes is the receive buffer of a caller's connection. The kernel holds at most twice as
// much of what a caller sends and the process has not read.
const UnreadBytes = 16 << 10

// unsentBytes is the send buffer of a caller's connection.
const unsentBytes = 32 << 10

// Listen listens on an address for callers. What the kernel holds for each of their
// connections is bounded, since a caller can send or leave unread whatever the process does.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Connections inherit the buffers. A system that refuses them keeps its own.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, UnreadBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, unsentBytes)
		})
	}}
	ln, err := config.Listen(ctx, "tcp", address)
	return ln, errors.Wrap(err, "listen")
}

// Listener accepts connections within an account.
type Listener struct {
	net.Listener
	Account *Account
	// Timeouts are those of the callers; nil: none.
	Timeouts func() Timeouts
	// Admits reports whether a connection may be accepted, whatever the account says; nil: all.
	Admits func() bool
	// Refuse ends a connection for which there is no room; nil: it is closed unread, so that
	// its caller tries another process.
	Refuse func(net.Conn)
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.Admits != nil && !l.Admits() {
			_ = conn.Close()
			continue
		}
		if c := l.Account.Accept(conn, l.Timeouts); c != nil {
			return c, nil
		}
		if l.Refuse != nil {
			l.Refuse(conn)
			continue
		}
		_ = conn.Close()
	}
}
