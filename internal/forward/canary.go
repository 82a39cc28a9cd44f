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
	// NoSlot tells that a canary found no slot there.
	NoSlot(service string)
	// Sent counts a request that is being sent to a server; first: it was sent to none
	// before. It tells whether a rollout of the service runs, which wants to know its end.
	Sent(service string, first bool) bool
	// Ended tells how a run went.
	Ended(service string, r rollout.Run)
}

// canary is a request's part in a rollout.
type canary struct {
	// version is the new one to whose servers it goes; empty: it goes to the others.
	version string
	// decided is set once it was decided, sent once it was sent anywhere.
	decided, sent bool
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

// toStable sends a canary that found no slot to the stable version, and reports whether
// it was one.
func (x *exchange) toStable() bool {
	if x.canary.version == "" || x.ctx.Err() != nil {
		return false
	}
	x.canary.version = ""
	x.server.deps.Rollouts.NoSlot(x.service)
	return true
}

// errPoolGone: a pool of the service is there no more.
var errPoolGone = errors.New("a pool of the service is gone")

// whilePools returns a context for waiting for a slot that ends when a pool of the service
// is gone: whoever waits in that one would be refused when its patience ends, though the
// servers may be in another one now.
func (x *exchange) whilePools() (context.Context, func()) {
	gone := x.server.deps.PoolGone
	if gone == nil {
		return x.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	stop := context.AfterFunc(gone(x.service), func() { cancel(errPoolGone) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// observe makes a run's end known to the rollout of its service, if there is one.
func (x *exchange) observe(g *run) {
	r := x.server.deps.Rollouts
	if r == nil || g.ended != nil {
		return
	}
	first := !x.canary.sent
	x.canary.sent = true
	x.trail.canary = x.canary.version
	if !r.Sent(x.service, first) {
		return
	}
	out := rollout.Run{Route: x.route.Name, Server: g.grant.Server().Name, Canary: x.canary.version != ""}
	g.ended = func(outcome pool.Outcome) {
		out.Outcome, out.Total = endingOf(outcome), time.Since(g.sent)
		out.FirstEvent, out.PerToken = g.times(out.Total)
		r.Ended(x.service, out)
	}
}

// times returns how long the first event took, or the whole answer of a plain
// service, and each token after it.
func (g *run) times(whole time.Duration) (first, pace time.Duration) {
	if g.first.IsZero() {
		return whole, 0
	}
	first = g.first.Sub(g.sent)
	if g.tokens > 1 {
		pace = (whole - first) / time.Duration(g.tokens)
	}
	return first, pace
}

func endingOf(o pool.Outcome) rollout.Outcome {
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
