package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// Rollouts decide which requests try the new version of a service's servers, and
// learn from how all went.
type Rollouts interface {
	// Active tells whether a rollout of the service runs. It is asked for every
	// request, and does nothing else where none runs.
	Active(service string) bool
	// Epoch returns a context that ends when the service's servers move to other
	// pools; nil: they don't.
	Epoch(service string) context.Context
	// Try tells whether a request of a route that is about to wait for a slot goes to
	// the servers of a version on trial, and which.
	Try(service, route string) (version string, ok bool)
	// NotTried takes back a request for which these had no slot.
	NotTried(service string)
	// Began tells that a request is being sent to a server; first: it was not sent
	// to any before.
	Began(service string, trial, first bool)
	// Ended tells how a run went.
	Ended(service string, r rollout.Run)
}

// trial is a request's part in a rollout.
type trial struct {
	// version is on trial; empty: the request goes to the others.
	version string
	// asked is set once it was decided, sent once the request was sent anywhere.
	asked, sent bool
}

// decideTrial decides, before the first wait, whether the request tries a new version.
// It does so once: a request that was sent anywhere goes to the others from then on, so
// that no retry adds to what the new version may get.
func (x *exchange) decideTrial() {
	r := x.server.deps.Rollouts
	if x.trial.asked || r == nil || !r.Active(x.service) {
		return
	}
	x.trial.asked = true
	x.trial.version, _ = r.Try(x.service, x.route.Name)
}

// giveUpTrial sends a request to the others for which the version on trial has no
// slot, and reports whether it was on trial.
func (x *exchange) giveUpTrial() bool {
	if x.trial.version == "" || x.ctx.Err() != nil {
		return false
	}
	x.trial.version = ""
	if !x.trial.sent {
		x.server.deps.Rollouts.NotTried(x.service)
	}
	return true
}

// errMoved: the service's servers are in other pools now.
var errMoved = errors.New("the servers of the service have moved")

// untilMoved returns a context for waiting for a slot that ends when the service's
// servers move: the pool may have none any more then, and what waits there would be
// refused when its patience ends.
func (x *exchange) untilMoved() (context.Context, func()) {
	r := x.server.deps.Rollouts
	if r == nil {
		return x.ctx, func() {}
	}
	epoch := r.Epoch(x.service)
	if epoch == nil {
		return x.ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(x.ctx)
	stop := context.AfterFunc(epoch, func() { cancel(errMoved) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// watchRun makes a run's end known to the rollout of its service, if there is one.
func (x *exchange) watchRun(g *run) {
	r := x.server.deps.Rollouts
	if r == nil || g.ended != nil || !r.Active(x.service) {
		return
	}
	onTrial := x.trial.version != ""
	r.Began(x.service, onTrial, !x.trial.sent)
	x.trial.sent = true
	if onTrial {
		x.trail.trial = x.trial.version
	}
	service, server, routeName := x.service, g.grant.Server().Name, x.route.Name
	g.ended = func(outcome pool.Outcome) {
		run := rollout.Run{Route: routeName, Server: server, Trial: onTrial, Ending: endingOf(outcome), Whole: time.Since(g.sent)}
		run.First, run.Pace = g.times(run.Whole)
		r.Ended(service, run)
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

func endingOf(o pool.Outcome) rollout.Ending {
	switch o {
	case pool.OutcomeDone:
		return rollout.Answered
	case pool.OutcomeFailed:
		return rollout.Failed
	case pool.OutcomeCanceled:
		return rollout.Abandoned
	case pool.OutcomeRefused, pool.OutcomeNotSent, pool.OutcomeNotDispatched:
		return rollout.NotRun
	default:
		return rollout.Broken
	}
}
