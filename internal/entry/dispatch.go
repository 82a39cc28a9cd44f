package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// maxConnectAttempts bounds the connect attempts of one request. Beyond that, the
// failures are not those of a single server.
const maxConnectAttempts = 8

// Backoff between connect attempts of one request.
const (
	initialConnectBackoff = 10 * time.Millisecond
	maxConnectBackoff     = 500 * time.Millisecond
)

// sendFunc sends the request to a backend server. It calls beforeSend when the
// connection is up, directly before the first byte.
type sendFunc func(s workspace.BackendServer, beforeSend func() error) error

// errWithdrawn: the request expired, was evicted or lost its caller before its first
// byte was written.
var errWithdrawn = errors.New("request withdrawn before dispatch")

// dispatch sends the request to a backend server: it waits for a slot, obtains a
// claim if the request needs one, and sends. If bytes may have left, it returns the
// grant together with the sendFunc's error. Without a grant, the request did not run
// and the error is a refusal.
//
// The dispatch right is the permission to send the request, which can be taken only
// once. beforeSend takes it when the connection is up; after a failed connect the
// right is still available, and the request is queued again for another server.
func (x *exchange) dispatch(send sendFunc) (broker.Grant, error) {
	ctx, stop := x.waitContext()
	defer stop()
	if err := x.lifecycle.Advance(request.Received, request.Queued); err != nil {
		return nil, err
	}
	x.entry.counters.waiting.Add(1)
	defer x.entry.counters.waiting.Add(-1)
	delay := newBackoff(initialConnectBackoff, maxConnectBackoff)
	for range maxConnectAttempts {
		grant, err := x.acquire(ctx)
		if err != nil {
			return nil, err
		}
		err = send(grant.Server(), func() error { return x.takeDispatchRight(ctx) })
		if x.lifecycle.State() == request.Dispatched {
			x.body.Release()
			return grant, err
		}
		if err := x.requeue(ctx, grant, err); err != nil {
			return nil, err
		}
		wait.For(ctx, delay.NextBackOff())
	}
	return nil, request.Refuse(request.ReasonEngineUnreachable, "no server could be connected to")
}

// takeDispatchRight takes the dispatch right, unless the request has expired, was
// evicted, or its caller has disconnected.
func (x *exchange) takeDispatchRight(ctx context.Context) error {
	if ctx.Err() != nil || !x.body.Pin() {
		return errWithdrawn
	}
	if err := x.lifecycle.TakeDispatchRight(); err != nil {
		return err
	}
	x.runTimer = time.AfterFunc(x.entry.limits.MaxRunTime, func() { x.cancel(errRunTooLong) })
	return nil
}

// requeue returns the slot of a request that was not sent and queues it again.
func (x *exchange) requeue(ctx context.Context, grant broker.Grant, err error) error {
	if ctx.Err() != nil || errors.Is(err, errWithdrawn) {
		grant.ReturnUnused()
		return contextRefusal(ctx)
	}
	x.entry.counters.connectFailed.Add(1)
	x.log.WithError(err).WithField("server", grant.Server().Name).Info("connect failed, waiting for another server")
	grant.Release(broker.Completion{Outcome: pool.OutcomeNotSent})
	x.body.Unpin()
	state := x.lifecycle.State()
	if !errors.Is(err, engine.ErrNotSent) {
		return errors.Wrapf(err, "send in state %s", state)
	}
	return x.lifecycle.Advance(state, request.Queued)
}

// acquire waits for a slot and, if the request needs one, for its claim.
func (x *exchange) acquire(ctx context.Context) (broker.Grant, error) {
	for {
		grant, err := x.entry.deps.Broker.Acquire(ctx, x.demand)
		if err != nil {
			return nil, x.waitError(ctx, err)
		}
		if err := x.lifecycle.Advance(request.Queued, request.Granted); err != nil {
			grant.ReturnUnused()
			return nil, err
		}
		if x.spec.Idempotent {
			return grant, nil
		}
		slotKept, err := x.claim(ctx, grant)
		if err != nil {
			grant.ReturnUnused()
			return nil, err
		}
		if slotKept {
			return grant, x.lifecycle.Advance(request.Granted, request.Claimed)
		}
	}
}

// waitError returns the reason why Acquire failed.
func (x *exchange) waitError(ctx context.Context, err error) error {
	var r *request.Refusal
	if errors.As(err, &r) {
		return r
	}
	if ctx.Err() != nil {
		return contextRefusal(ctx)
	}
	return errors.Wrap(err, "acquire a slot")
}

// newBackoff returns exponential backoff with jitter.
func newBackoff(initial, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = limit
	b.Reset()
	return b
}
