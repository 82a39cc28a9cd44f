package httpconn

import (
	"context"
	"net"

	"github.com/pkg/errors"
)

// ErrUnreachableByPeer is the error of a dial whose address another daemon, which reaches
// others, can't reach either.
var ErrUnreachableByPeer = errors.New("not reached by a peer either")

// unreachableError is an error of Send or Check that is ErrUnreachableByPeer, too.
type unreachableError struct{ error }

// Is implements errors.Is.
func (e unreachableError) Is(target error) bool { return target == ErrUnreachableByPeer }

// Unwrap returns the error of the dial.
func (e unreachableError) Unwrap() error { return e.error }

// RelayedConn is a connection through another daemon.
type RelayedConn interface {
	net.Conn
	// Peer returns the other daemon's name.
	Peer() string
}

type requestIDKey struct{}

// WithRequestID returns a context that names the caller's request to what opens connections
// for it, for their logs.
func WithRequestID(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

// RequestID returns the request id of a context, or "".
func RequestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}
