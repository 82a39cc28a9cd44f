// Package service is the port to plain services that run beside the model engines. Calls are
// forwarded as HTTP and never sent twice.
package service

import (
	"context"
	"io"
)

// Call is one call in the form that a plain service receives.
type Call struct {
	RequestID string
	Method    string
	Path      string // path and query relative to /services/{service}
	Header    [][2]string
	Body      []byte
	// BeforeSend works as in engine.Run.
	BeforeSend func() error
	// ReadBody reads the body of the reply to its end; length is its announced length, below 0 if
	// it has none. It bounds what the body takes. nil: the adapter reads it, up to its own limit.
	ReadBody func(stream io.Reader, length int) ([]byte, error)
}

// Reply is a service's complete response.
type Reply struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Service is one server of a plain service. Its errors are those of package engine:
// ErrNotSent, ErrRefusedNotRun and ErrConnectionLost.
type Service interface {
	Do(ctx context.Context, c Call) (Reply, error)
}

// Dialer returns the service at an address.
type Dialer interface {
	Service(address string) Service
}
