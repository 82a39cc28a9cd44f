package httpobjectstore

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// outcomeError joins a port's error, which says what is known of the
// outcome, with its cause. errors.Is finds both.
type outcomeError struct {
	outcome error
	cause   error
}

// Error implements error.
func (e *outcomeError) Error() string { return e.outcome.Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is see the outcome and the cause.
func (e *outcomeError) Unwrap() []error { return []error{e.outcome, e.cause} }

// transportError says what a failed exchange proves: without a connection no
// byte left, otherwise the outcome is unknown.
func (c *Client) transportError(err error) error {
	var refused *connectError
	if errors.As(err, &refused) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &outcomeError{objectstore.ErrUnavailable, err}
	}
	if errors.Is(err, fasthttp.ErrTimeout) {
		c.http.CloseIdleConnections()
	}
	return &outcomeError{objectstore.ErrUnknownOutcome, err}
}
