package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// Rollouts decides which requests are canaries, and learns how each attempt ended.
type Rollouts interface {
	// Canary decides whether a request of a route is a canary, which goes to the servers of
	// the service's new version, and returns that version. It is called at most once per
	// request, before the request waits for a slot.
	Canary(service, route string) (version string, ok bool)
	// ResumeCanary decides whether a stream that the service's new version began may go on
	// there. Like canaries, such requests count against what that version may get.
	ResumeCanary(service, route string) bool
	// RecordNoSlot records that a canary got no slot on the new version.
	RecordNoSlot(service string)
	// RecordSent counts an attempt that is being sent to a server. first is true for the
	// request's first attempt. It returns whether a rollout of the service is running, so
	// that RecordEnded is to be called.
	RecordSent(service string, first bool) bool
	// RecordEnded records how an attempt ended.
	RecordEnded(service string, r rollout.Run)
}

// canaryState is a request's part in a rollout.
type canaryState struct {
	// version is the new version that the request goes to; empty for the stable version.
	version string
	// decided is set once Rollouts was asked, sentBefore once an attempt was sent.
	decided, sentBefore bool
}

// decideCanary decides, before the first wait, whether the request is a canary. It does so
// only once. A request that was sent to any server goes to the stable version from then on,
// so that retries don't raise the new version's share.
func (x *exchange) decideCanary() {
	r := x.server.deps.Rollouts
	if x.canary.decided || x.binding.version != "" || r == nil {
		return
	}
	x.canary.decided = true
	x.canary.version, _ = r.Canary(x.service, x.route.Name)
}

// fallBackToStable sends a canary that got no slot to the stable version. It returns
// whether the request was a canary.
func (x *exchange) fallBackToStable() bool {
	if x.canary.version == "" || x.binding.version != "" || x.ctx.Err() != nil {
		return false
	}
	x.canary.version = ""
	x.server.deps.Rollouts.RecordNoSlot(x.service)
	return true
}

// errPoolRemoved is the cancellation cause of a wait for a slot when a pool of the service is removed.
var errPoolRemoved = errors.New("a pool of the service was removed")

// slotContext returns a context for waiting for a slot. It ends when a pool of the service
// is removed: a request waiting in that pool would be refused at the end of its longest
// allowed wait, though its servers may be in another pool by then.
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

// trackAttempt reports the attempt and its end to the service's rollout, if there is one.
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

// latencies returns the time to the first event (to the complete answer if there are no
// events) and the time per token after it.
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
