// Package callonce is the HTTP client shared by the store adapters. It sends each call once,
// and its errors say what is known about the outcome of a failed call.
package callonce

import (
	"bytes"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Options configure a Client.
type Options struct {
	// Addr is the store's IP:port.
	Addr string
	// ConnectTimeout bounds the time to connect.
	ConnectTimeout time.Duration
	// MaxConns bounds the number of connections. A call beyond it fails without being
	// sent. Zero takes fasthttp's default of 512.
	MaxConns int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxResponseBytes bounds the size of a response body.
	MaxResponseBytes int
}

// Call is one HTTP call.
type Call struct {
	Method string
	Path   string
	Query  func(*fasthttp.Args) // may be nil
	Body   []byte               // JSON; nil: none
	// OnHeader is called with the header of the response, if there is one; it may be nil.
	OnHeader func(*fasthttp.ResponseHeader)
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
		// The library would retry a GET or PUT whose connection broke. Whether to retry
		// depends on the outcome, which only the caller can judge.
		MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) {
			c, err := dialer.Dial("tcp", addr)
			if err != nil {
				return nil, &connectError{err}
			}
			return httpconn.CheckHeads(c), nil
		},
	}}
}

// connectError marks an error that occurred before any byte was sent.
type connectError struct{ error }

// Do makes a call and returns the body of a successful response. Any error is an
// *OutcomeError.
func (c *Client) Do(call Call, deadline time.Time) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fillRequest(req, call)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, c.outcomeError(err)
	}
	if call.OnHeader != nil {
		call.OnHeader(&resp.Header)
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

// outcomeError classifies the error of a failed call: without a connection nothing was sent,
// otherwise the outcome is unknown.
//
// A connection can go silent for good while new ones work. Calls on it would time out for
// minutes, until TCP gives up. Other idle connections used the same path, so they are closed
// as well.
func (c *Client) outcomeError(err error) error {
	var connectErr *connectError
	if errors.As(err, &connectErr) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return &OutcomeError{objectstore.ErrUnavailable, err}
	}
	c.http.CloseIdleConnections()
	return &OutcomeError{objectstore.ErrUnknownOutcome, err}
}

// OutcomeError combines an error of the ports, which says what is known about the outcome,
// with its cause. errors.Is matches both.
type OutcomeError struct {
	Outcome error
	Cause   error
}

// Error implements error.
func (e *OutcomeError) Error() string { return e.Outcome.Error() + ": " + e.Cause.Error() }

// Unwrap makes errors.Is match the outcome and the cause.
func (e *OutcomeError) Unwrap() []error { return []error{e.Outcome, e.Cause} }
