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

// maxConnectAttempts bounds how many servers a request tries to connect to. More
// failures than that are no single server's fault.
const maxConnectAttempts = 8

// Pauses between two connects of one request.
const (
	initialConnectBackoff = 10 * time.Millisecond
	maxConnectBackoff     = 500 * time.Millisecond
)

// sendFunc sends the request to a backend server. It calls sending when the
// connection is up, directly before the first byte.
type sendFunc func(s workspace.BackendServer, beforeSend func() error) error

// errWithdrawn: the request expired or was evicted before its first byte
// was to leave.
var errWithdrawn = errors.New("request no longer wanted")

// dispatch brings the request to a backend server: it waits for a slot, makes
// the claim where one is needed, and sends. It returns the grant wherever
// bytes may have left, with the sender's error. Without a grant, the error is
// a refusal of a request that did not run.
//
// The dispatch right is taken by the sending callback, when the connection is
// up. So a failed connect leaves the right untaken, and the request goes back
// to the queue, to another server.
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
			x.body.release()
			return grant, err
		}
		if err := x.requeue(ctx, grant, err); err != nil {
			return nil, err
		}
		wait.For(ctx, delay.NextBackOff())
	}
	return nil, request.Refuse(request.ReasonEngineUnreachable, "no server could be connected to")
}

// takeDispatchRight takes the one dispatch right, unless the request expired,
// its caller left, or it was evicted meanwhile.
func (x *exchange) takeDispatchRight(ctx context.Context) error {
	if ctx.Err() != nil || !x.body.pin() {
		return errWithdrawn
	}
	if err := x.lifecycle.TakeDispatchRight(); err != nil {
		return err
	}
	x.runTimer = time.AfterFunc(x.entry.limits.MaxRunTime, func() { x.cancel(errRunTooLong) })
	return nil
}

// requeue gives back the slot of a request that was not sent.
func (x *exchange) requeue(ctx context.Context, grant broker.Grant, err error) error {
	if ctx.Err() != nil || errors.Is(err, errWithdrawn) {
		grant.ReturnUnused()
		return contextRefusal(ctx)
	}
	x.entry.counters.connectFailed.Add(1)
	x.log.WithError(err).WithField("server", grant.Server().Name).Info("connect failed, waiting for another server")
	grant.Release(broker.Completion{Outcome: pool.OutcomeNotSent})
	x.body.unpin()
	state := x.lifecycle.State()
	if !errors.Is(err, engine.ErrNotSent) {
		return errors.Wrapf(err, "send in state %s", state)
	}
	return x.lifecycle.Advance(state, request.Queued)
}

// acquire waits for a slot and, where the request needs one, for its claim.
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

// waitError returns why waiting ended.
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

// newBackoff returns exponential pauses with jitter.
func newBackoff(initial, limit time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initial
	b.MaxInterval = limit
	b.Reset()
	return b
}
