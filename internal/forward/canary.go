package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// Rollouts decide which requests are canaries, and learn from how all went.
type Rollouts interface {
	// Canary tells whether a request of a route, which is about to wait for a slot, goes
	// to the servers of a service's new version, and which that is. It may ask once for
	// each request.
	Canary(service, route string) (version string, ok bool)
	// RecordNoSlot tells that a canary found no slot there.
	RecordNoSlot(service string)
	// RecordSent counts a request that is being sent to a server; first: it was sent to none
	// before. It tells whether a rollout of the service runs, which wants to know its end.
	RecordSent(service string, first bool) bool
	// RecordEnded tells how a run went.
	RecordEnded(service string, r rollout.Run)
}

// canaryState is a request's part in a rollout.
type canaryState struct {
	// version is the new one to whose servers it goes; empty: it goes to the others.
	version string
	// decided is set once it was decided, sent once it was sent anywhere.
	decided, sentBefore bool
}

// decideCanary decides, before the first wait, whether the request is a canary. It does so
// once: a request that was sent anywhere goes to the stable version from then on, so that
// no retry adds to what the new version may get.
func (x *exchange) decideCanary() {
	r := x.server.deps.Rollouts
	if x.canary.decided || r == nil {
		return
	}
	x.canary.decided = true
	x.canary.version, _ = r.Canary(x.service, x.route.Name)
}

// fallBackToStable sends a canary that found no slot to the stable version, and reports whether
// it was one.
func (x *exchange) fallBackToStable() bool {
	if x.canary.version == "" || x.ctx.Err() != nil {
		return false
	}
	x.canary.version = ""
	x.server.deps.Rollouts.RecordNoSlot(x.service)
	return true
}

// errPoolRemoved: a pool of the service is there no more.
var errPoolRemoved = errors.New("a pool of the service is gone")

// slotContext returns a context for waiting for a slot that ends when a pool of the service
// is gone: whoever waits in that one would be refused when its patience ends, though the
// servers may be in another one now.
func (x *exchange) slotContext() (context.Context, func()) {
	removed := x.server.deps.PoolRemoved
	if removed == nil {
		return x.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	stop := context.AfterFunc(removed(x.service), func() { cancel(errPoolRemoved) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// trackAttempt makes a run's end known to the rollout of its service, if there is one.
func (x *exchange) trackAttempt(a *attempt) {
	r := x.server.deps.Rollouts
	if r == nil || a.onEnd != nil {
		return
	}
	first := !x.canary.sentBefore
	x.canary.sentBefore = true
	x.history.canaryVersion = x.canary.version
	if !r.RecordSent(x.service, first) {
		return
	}
	run := rollout.Run{Route: x.route.Name, Server: a.grant.Server().Name, Canary: x.canary.version != ""}
	a.onEnd = func(outcome pool.Outcome) {
		run.Outcome, run.Total = rolloutOutcome(outcome), time.Since(a.sentAt)
		run.FirstEvent, run.PerToken = a.latencies(run.Total)
		r.RecordEnded(x.service, run)
	}
}

// latencies returns how long the first event took, or the whole answer of a plain
// service, and each token after it.
func (a *attempt) latencies(total time.Duration) (first, perToken time.Duration) {
	if a.firstEventAt.IsZero() {
		return total, 0
	}
	first = a.firstEventAt.Sub(a.sentAt)
	if a.tokens > 1 {
		perToken = (total - first) / time.Duration(a.tokens)
	}
	return first, perToken
}

func rolloutOutcome(o pool.Outcome) rollout.Outcome {
	switch o {
	case pool.OutcomeDone:
		return rollout.Answered
	case pool.OutcomeFailed:
		return rollout.Failed
	case pool.OutcomeCanceled:
		return rollout.Abandoned
	default:
		return rollout.Broken
	}
}
