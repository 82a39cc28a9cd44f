// Package callonce is what the adapters of the stores share: an HTTP client
// that sends each call once and says what a failed one proves of its outcome.
package callonce

import (
	"bytes"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Options set up a Client.
type Options struct {
	// Addr is the store's IP:port.
	Addr string
	// ConnectTimeout bounds a connect.
	ConnectTimeout time.Duration
	// MaxConns bounds the connections; a call beyond them was not made. Zero
	// takes the library's default of 512.
	MaxConns int
	// IdleTimeout is how long a connection is kept for the next call.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds an answer.
	MaxResponseBytes int
}

// Call is one HTTP call.
type Call struct {
	Method string
	Path   string
	Query  func(*fasthttp.Args) // may be nil
	Body   []byte               // JSON; nil: none
}

// Client sends calls. It is safe for concurrent use.
type Client struct{ http *fasthttp.HostClient }

// New returns a client; it connects at the first call.
func New(o Options) *Client {
	dialer := net.Dialer{Timeout: o.ConnectTimeout}
	return &Client{http: &fasthttp.HostClient{
		Addr:                o.Addr,
		MaxConns:            o.MaxConns,
		MaxIdleConnDuration: o.IdleTimeout,
		MaxResponseBodySize: o.MaxResponseBytes,
		// The library would repeat a GET and a PUT whose connection broke. Who
		// repeats a call decides that with its outcome in mind.
		MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			c, err := dialer.Dial("tcp", addr)
			if err != nil {
				return nil, &connectError{err}
			}
			return c, nil
		},
	}}
}

// connectError marks an error before any byte left.
type connectError struct{ error }

// Do makes a call and returns the body of a successful answer. The error is an
// *OutcomeError.
func (c *Client) Do(call Call, deadline time.Time) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, call)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, c.outcomeError(err)
	}
	if err := objectstore.ErrorFromStatus(resp.StatusCode()); err != nil {
		return nil, &OutcomeError{err, errors.Errorf("status %d", resp.StatusCode())}
	}
	return bytes.Clone(resp.Body()), nil
}

func (c *Client) fillRequest(req *fasthttp.Request, call Call) {
	req.Header.SetMethod(call.Method)
	req.URI().SetScheme("http")
	req.URI().SetHost(c.http.Addr)
	req.URI().SetPath(call.Path)
	if call.Query != nil {
		call.Query(req.URI().QueryArgs())
	}
	if call.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(call.Body)
	}
}

// outcomeError says what a failed exchange proves: without a connection no byte
// left, otherwise the outcome is unknown.
//
// A connection can go silent for good while new ones work; one would see calls
// time out for minutes, until TCP gives up. So the idle connections, which were
// opened through the same path, are closed with it.
func (c *Client) outcomeError(err error) error {
	var connectErr *connectError
	if errors.As(err, &connectErr) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &OutcomeError{objectstore.ErrUnavailable, err}
	}
	c.http.CloseIdleConnections()
	return &OutcomeError{objectstore.ErrUnknownOutcome, err}
}

// OutcomeError joins a port's error, which says what is known of the outcome,
// with its cause. errors.Is finds both.
type OutcomeError struct {
	Outcome error
	Cause   error
}

// Error implements error.
func (e *OutcomeError) Error() string { return e.Outcome.Error() + ": " + e.Cause.Error() }

// Unwrap lets errors.Is see the outcome and the cause.
func (e *OutcomeError) Unwrap() []error { return []error{e.Outcome, e.Cause} }
