// Package httpobjectstore is the adapter of objectstore.Platform over HTTP+JSON. It
// never repeats a write; it tells apart a write that certainly had no effect
// (objectstore.ErrUnavailable) from one whose outcome is unknown.
package httpobjectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Defaults of Options.
const (
	defaultConnectTimeout = time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultMaxConns       = 64
	// idleConnAge is short of any server's idle timeout: a connection that
	// the server has closed looks healthy until a request is written to it,
	// and the request's outcome is then unknown.
	idleConnAge = 5 * time.Second
	// maxAnswerBytes bounds an answer: a listing holds many objects.
	maxAnswerBytes = 256 << 20
)

// Metric groups.
const (
	groupCalls   = "platform_calls"
	groupErrors  = "platform_errors"
	groupRetries = "platform_retries"
)

// Reasons of a read's one retry; a write has none.
const (
	retryBroken  = "broken"
	retryTimeout = "timeout"
)

// Options set up an adapter.
type Options struct {
	// Addr is the platform's IP:port.
	Addr string
	// ConnectTimeout and CallTimeout bound a connect and a call; a watch's
	// call may take its wait longer. Zero takes the default of 1 s and 2 s.
	ConnectTimeout time.Duration
	CallTimeout    time.Duration
	// MaxConns bounds the connections; a call beyond them is refused with
	// objectstore.ErrUnavailable. Zero takes the default of 64.
	MaxConns int
	// Metrics gets the counters of calls, errors and retries.
	Metrics *metrics.Registry
}

// Client implements objectstore.Platform. It is safe for concurrent use.
//
// What goes wrong: a connection can go silent for good while new ones work.
// One would see calls time out for minutes, until TCP gives up. So each call
// has a timeout, its connection is closed with it, and the idle connections
// that were opened through the same path are closed too.
type Client struct {
	http    *fasthttp.HostClient
	timeout time.Duration
	metrics *metrics.Registry
}

var _ objectstore.Platform = (*Client)(nil)

// New returns an adapter; it connects at the first call.
func New(o Options) *Client {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.MaxConns == 0 {
		o.MaxConns = defaultMaxConns
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	dialer := net.Dialer{Timeout: o.ConnectTimeout}
	return &Client{
		timeout: o.CallTimeout,
		metrics: o.Metrics,
		http: &fasthttp.HostClient{
			Addr:                      o.Addr,
			MaxConns:                  o.MaxConns,
			MaxIdleConnDuration:       idleConnAge,
			MaxResponseBodySize:       maxAnswerBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			Dial: func(addr string) (net.Conn, error) {
				c, err := dialer.Dial("tcp", addr)
				if err != nil {
					return nil, &connectError{err}
				}
				return c, nil
			},
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// connectError marks an error before any byte left.
type connectError struct{ error }

// call is one HTTP call.
type call struct {
	name   string // of its counter
	method string
	path   string
	args   func(*fasthttp.Args)
	body   []byte
	wait   time.Duration // that the server may hold the answer
}

// read does a call without effect; it is repeated once on a new connection
// when the first one broke or went silent.
func (c *Client) read(ctx context.Context, k call, answer any) error {
	err := c.write(ctx, k, answer)
	if !errors.Is(err, objectstore.ErrUnknownOutcome) || ctx.Err() != nil {
		return err
	}
	reason := retryBroken
	if errors.Is(err, fasthttp.ErrTimeout) {
		reason = retryTimeout
	}
	c.metrics.Counter(groupRetries, reason).Add(1)
	return c.write(ctx, k, answer)
}

// write does a call once and decodes its answer.
func (c *Client) write(ctx context.Context, k call, answer any) error {
	c.metrics.Counter(groupCalls, k.name).Add(1)
	err := c.once(ctx, k, answer)
	if err != nil {
		c.metrics.Counter(groupErrors, objectstore.ErrorName(err)).Add(1)
	}
	return errors.Wrap(err, k.name)
}

// once sends the request from a goroutine of its own, since fasthttp knows no
// contexts: a caller that gives up learns at once that the outcome is unknown.
func (c *Client) once(ctx context.Context, k call, answer any) error {
	if ctx.Err() != nil {
		return &outcomeError{objectstore.ErrUnavailable, ctx.Err()}
	}
	deadline := time.Now().Add(c.timeout + k.wait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	req := c.request(k) // copies the value before the caller can reuse it
	go func() {
		defer fasthttp.ReleaseRequest(req)
		body, err := c.send(req, deadline)
		done <- result{body, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return r.err
		}
		if err := json.Unmarshal(r.body, answer); err != nil {
			return &outcomeError{objectstore.ErrUnknownOutcome, err}
		}
		return nil
	case <-ctx.Done():
		return &outcomeError{objectstore.ErrUnknownOutcome, ctx.Err()}
	}
}

func (c *Client) request(k call) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(k.method)
	req.URI().SetScheme("http")
	req.URI().SetHost(c.http.Addr)
	req.URI().SetPath(k.path)
	if k.args != nil {
		k.args(req.URI().QueryArgs())
	}
	req.SetBody(k.body)
	return req
}

func (c *Client) send(req *fasthttp.Request, deadline time.Time) ([]byte, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, c.transportError(err)
	}
	if s := resp.StatusCode(); objectstore.StatusError(s) != nil {
		return nil, &outcomeError{objectstore.StatusError(s), errors.Errorf("status %d: %.200s", s, resp.Body())}
	}
	return bytes.Clone(resp.Body()), nil
}
