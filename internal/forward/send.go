package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// lost is an error of a send after which the request may have run.
type lost struct{ error }

// Unwrap lets errors.Is see the cause.
func (l lost) Unwrap() error { return l.error }

// errNotExecuted: the server said that it did not run the request.
var errNotExecuted = errors.New("server did not run it")

// run is one send that reached a server.
type run struct {
	grant broker.Grant
	sent  time.Time
	first time.Time // of the first event
	// tokens so far, and what the owner was told last.
	tokens, told int
	toldAt       time.Time
	reports      int
	// ended is told how the run went; nil: nobody asks.
	ended func(pool.Outcome)
}

// send gets slots and sends the request until a server has answered. The
// error is a refusal.
func (x *exchange) send() (*reply, *run, error) {
	x.decideCanary()
	for {
		x.demand.Candidates = x.pools(x.canary.version)
		grant, err := x.acquire()
		if errors.Is(err, errPoolGone) || err != nil && x.toStable() {
			continue
		}
		if err != nil {
			return nil, nil, x.waitEnded(err)
		}
		r, g, err := x.try(grant)
		if err == nil {
			return r, g, nil
		}
		x.canary.version = ""
		if refusal := x.failed(err); refusal != nil {
			return nil, nil, refusal
		}
	}
}

// acquire waits for a slot.
func (x *exchange) acquire() (broker.Grant, error) {
	began := time.Now()
	ctx, done := x.whilePools()
	defer done()
	grant, err := x.server.deps.Broker.Acquire(ctx, x.demand)
	if err != nil && x.ctx.Err() == nil && errors.Is(context.Cause(ctx), errPoolGone) {
		err = errPoolGone
	}
	took := time.Since(began)
	x.trail.waited += took
	x.server.count.waited.Observe(took)
	return grant, err
}

// failed decides after a failed send: nil means to go on elsewhere.
func (x *exchange) failed(err error) error {
	x.server.count.sendFailed(err)
	x.trail.note(x.out.serverID, causeOf(err), time.Since(x.received))
	x.logSend(err)
	switch {
	case x.denied != nil:
		return x.denied
	case x.ctx.Err() != nil:
		return x.waitEnded(x.ctx.Err())
	case !x.attempts.CanSend():
		return x.outcome(request.ReasonEngineLost, "the answer was lost: %v", err)
	case x.attempts.Sends() > 0 && !errors.Is(err, engine.ErrNotSent) && !x.server.deps.Budget(x.service).Take():
		x.server.count.budgetDenied.Add(1)
		return x.outcome(request.ReasonEngineRefused, "no retry is left: %v", err)
	}
	return nil
}

// outcome returns a refusal that says what is known.
func (x *exchange) outcome(reason request.Reason, format string, args ...any) *request.Refusal {
	r := request.Refuse(reason, format, args...)
	r.NotRun = x.attempts.NotRun()
	if r.NotRun == request.NotRunTrue {
		r.RetryAfter = retrySoon
	}
	return r
}

// stillAuthorized checks the key again: it may have been withdrawn while the
// request waited.
func (x *exchange) stillAuthorized() error {
	if x.workspace == nil {
		return nil
	}
	if !x.server.deps.Admission.Fresh() {
		return x.outcome(request.ReasonStoreUnavailable, "the configuration in force is not known")
	}
	if x.server.deps.Routes.Load().ByKey(x.key) == nil {
		return x.outcome(request.ReasonUnauthorized, "the key was withdrawn")
	}
	return nil
}

// waitEnded turns the end of a wait into a refusal.
func (x *exchange) waitEnded(err error) error {
	var refusal *request.Refusal
	switch {
	case errors.As(err, &refusal):
		out := *refusal
		out.NotRun = x.attempts.NotRun()
		return &out
	case x.gone():
		return x.outcome(request.ReasonCallerGone, "caller gone")
	default:
		return x.outcome(request.ReasonExpired, "time is up")
	}
}

// try sends the request to the server of a grant. The grant is released here
// unless a reply is returned.
func (x *exchange) try(grant broker.Grant) (*reply, *run, error) {
	s := grant.Server()
	g := &run{grant: grant}
	if !x.server.deps.Admission.MayUse(s.Name, x.canary.version != "") {
		grant.Release(broker.Completion{Outcome: pool.OutcomeRefused, RefusedLeaving: true})
		return nil, nil, errors.Wrapf(engine.ErrNotSent, "server %s is leaving", s.Name)
	}
	x.out.serverID = s.Name
	x.running.sending(s.Name)
	fresh := httpconn.MustDial
	if x.route.Repeatable() {
		fresh = httpconn.MayReuse
	}
	began := time.Now()
	sending := func() error {
		if x.denied = x.stillAuthorized(); x.denied != nil {
			return x.denied
		}
		g.sent = time.Now()
		x.observe(g)
		x.server.count.connected.Observe(g.sent.Sub(began))
		return x.attempts.Take()
	}
	conn, err := x.server.deps.Servers.pool(s.Address).Send(x.ctx, x.out, fresh, sending)
	if err != nil {
		return nil, nil, x.sendError(g, err)
	}
	conn.SetSilence(time.Until(x.out.deadline) + time.Second)
	r, err := readReply(x.ctx, conn, x.out.method, x.callerID, &x.server.wire)
	if err != nil {
		conn.Drop()
		return nil, nil, x.lostRun(g, err)
	}
	if len(r.header.Peek(x.server.wire.NotExecuted)) > 0 {
		return nil, nil, x.notExecuted(g, r)
	}
	return r, g, nil
}

// sendError ends a send in which no whole request left.
func (x *exchange) sendError(g *run, err error) error {
	if !errors.Is(err, engine.ErrNotSent) {
		return x.lostRun(g, err)
	}
	if !g.sent.IsZero() {
		x.attempts.Undo()
	}
	if x.ctx.Err() != nil || x.denied != nil {
		g.grant.ReturnUnused()
		return err
	}
	g.grant.Release(broker.Completion{Outcome: pool.OutcomeNotSent})
	return err
}

// lostRun ends a run whose answer is lost.
func (x *exchange) lostRun(g *run, err error) error {
	outcome := pool.OutcomeStreamLost
	if x.ctx.Err() != nil {
		outcome = pool.OutcomeCanceled
	}
	g.release(outcome)
	x.noteSent(g)
	return lost{err}
}

// noteSent notes a server that may have run the request, so that another one is
// asked next.
func (x *exchange) noteSent(g *run) {
	x.demand.SentTo = append(x.demand.SentTo, g.grant.Server().Name)
	x.canary.version = ""
}

// notExecuted ends a send that the server did not run.
func (x *exchange) notExecuted(g *run, r *reply) error {
	x.attempts.Undo()
	status := r.header.StatusCode()
	if _, err := r.all(); err != nil {
		r.ended = false
	}
	r.finish()
	g.grant.Release(broker.Completion{Outcome: pool.OutcomeRefused, RefusedLeaving: status == statusMisdirected})
	return errors.Wrapf(errNotExecuted, "status %d", status)
}

// statusMisdirected: another server has the address.
const statusMisdirected = 421

// release frees the slot after a run.
func (g *run) release(outcome pool.Outcome) {
	end := broker.Completion{Outcome: outcome, Total: time.Since(g.sent), OutputTokens: g.tokens}
	if !g.first.IsZero() {
		end.FirstToken = g.first.Sub(g.sent)
	}
	g.grant.Release(end)
	if g.ended != nil {
		g.ended(outcome)
	}
}
