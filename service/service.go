// Package service is the port to plain services that stand beside the model
// engines. Calls are passed through as HTTP; none is ever sent twice.
package service

import "context"

// Call is one call as a plain service gets it.
type Call struct {
	RequestID string
	Method    string
	Path      string // path and query below /services/{service}
	Header    [][2]string
	Body      []byte
	// BeforeSend is as in engine.Run.
	BeforeSend func() error
}

// Reply is a service's whole answer.
type Reply struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Service is one plain service's server. Errors are those of package engine:
// ErrNotSent, ErrRefusedNotRun and ErrBroken.
type Service interface {
	Do(ctx context.Context, c Call) (Reply, error)
}

// Dialer returns the service at an address.
type Dialer interface {
	Service(address string) Service
}
