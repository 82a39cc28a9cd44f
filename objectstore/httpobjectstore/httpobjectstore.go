// Package httpobjectstore implements objectstore.Platform over HTTP and JSON. It never
// repeats a write, and distinguishes a write that certainly had no effect
// (objectstore.ErrUnavailable) from one whose outcome is unknown.
package httpobjectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore/callonce"
)

// Defaults of Options.
const (
	defaultConnectTimeout = time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultMaxConns       = 64
	// idleConnTimeout is shorter than usual idle timeouts of servers. A connection that
	// the server has closed looks usable until a request is written to it, and the
	// outcome of that request is then unknown.
	idleConnTimeout = 5 * time.Second
	// maxResponseBytes bounds a response; a list can contain many objects.
	maxResponseBytes = 256 << 20
)

// Metric groups.
const (
	groupCalls   = "platform_calls"
	groupErrors  = "platform_errors"
	groupRetries = "platform_retries"
)

// Reasons for retrying a read. Writes are not retried.
const (
	retryBroken  = "broken"
	retryTimeout = "timeout"
)

// Options configure a Client.
type Options struct {
	// Addr is the platform's IP:port.
	Addr string
	// ConnectTimeout and CallTimeout bound a connect and a call. A watch may take its
	// wait time in addition. Zero takes the defaults of 1 s and 2 s.
	ConnectTimeout time.Duration
	CallTimeout    time.Duration
	// MaxConns bounds the number of connections; a call beyond it fails with
	// objectstore.ErrUnavailable. Zero takes the default of 64.
	MaxConns int
	// Metrics registers the counters of calls, errors and retries.
	Metrics *metrics.Registry
}

// Client implements objectstore.Platform. It is safe for concurrent use.
type Client struct {
	store   *callonce.Client
	timeout time.Duration
	metrics *metrics.Registry
}

var _ objectstore.Platform = (*Client)(nil)

// New returns a client, which connects at the first call.
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
	return &Client{
		timeout: o.CallTimeout,
		metrics: o.Metrics,
		store: callonce.New(callonce.Options{
			Addr: o.Addr, ConnectTimeout: o.ConnectTimeout, MaxConns: o.MaxConns, IdleTimeout: idleConnTimeout, MaxResponseBytes: maxResponseBytes,
		}),
	}
}

// operation is one HTTP call.
type operation struct {
	name   string // name of its counter
	method string
	path   string
	args   func(*fasthttp.Args)
	body   []byte
	wait   time.Duration // how long the server may delay the response
}

// doWithRetry does a call without side effects. It is retried once, on a new connection, if
// the first one broke or went silent.
func (c *Client) doWithRetry(ctx context.Context, op operation, out any) error {
	err := c.do(ctx, op, out)
	if !errors.Is(err, objectstore.ErrUnknownOutcome) || ctx.Err() != nil {
		return err
	}
	reason := retryBroken
	if errors.Is(err, fasthttp.ErrTimeout) {
		reason = retryTimeout
	}
	c.metrics.Counter(groupRetries, reason).Add(1)
	return c.do(ctx, op, out)
}

// do does a call once and decodes its response.
func (c *Client) do(ctx context.Context, op operation, out any) error {
	c.metrics.Counter(groupCalls, op.name).Add(1)
	err := c.roundTrip(ctx, op, out)
	if err != nil {
		c.metrics.Counter(groupErrors, objectstore.ErrorName(err)).Add(1)
	}
	return errors.Wrap(err, op.name)
}

// roundTrip sends the request from a separate goroutine, because fasthttp does not support
// contexts. When ctx ends, it returns at once with an unknown outcome.
func (c *Client) roundTrip(ctx context.Context, op operation, out any) error {
	if ctx.Err() != nil {
		return &callonce.OutcomeError{Outcome: objectstore.ErrUnavailable, Cause: ctx.Err()}
	}
	deadline := time.Now().Add(c.timeout + op.wait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	type result struct {
		body []byte
		err  error
	}
	done := make(chan result, 1)
	sent := callonce.Call{Method: op.method, Path: op.path, Query: op.args, Body: bytes.Clone(op.body)} // the caller may reuse its buffer
	go func() {
		body, err := c.store.Do(sent, deadline)
		done <- result{body, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return r.err
		}
		if err := json.Unmarshal(r.body, out); err != nil {
			return &callonce.OutcomeError{Outcome: objectstore.ErrUnknownOutcome, Cause: err}
		}
		return nil
	case <-ctx.Done():
		return &callonce.OutcomeError{Outcome: objectstore.ErrUnknownOutcome, Cause: ctx.Err()}
	}
}
