package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// answerLostError is the error of an attempt that the server may have run.
type answerLostError struct{ error }

// Unwrap lets errors.Is find the cause.
func (e answerLostError) Unwrap() error { return e.error }

// errNotExecuted: the server reported that it did not run the request.
var errNotExecuted = errors.New("server did not run the request")

// attempt is one send of the request to a server.
type attempt struct {
	grant        broker.Grant
	sentAt       time.Time
	firstEventAt time.Time
	// tokens counts the tokens so far, reportedTokens those in the last progress report.
	tokens, reportedTokens int
	reportedAt             time.Time
	reports                int
	peer                   string     // through which it was sent; empty: direct
	reach                  pool.Reach // what a peer found of the server after the answer was lost
	serverGone             bool       // the server's process was found to have ended after the answer was lost
	// pushedBack is set if the server asked this daemon for no requests while the connection
	// was being opened.
	pushedBack bool
	// onEnd is called with the outcome; nil if no rollout tracks the attempt.
	onEnd func(pool.Outcome)
}

// send waits for slots and sends the request until a server has answered. The returned
// error is a refusal.
func (x *exchange) send() (*reply, *attempt, error) {
	x.decideCanary()
	for {
		if err := x.setCandidates(); err != nil {
			return nil, nil, err
		}
		grant, err := x.acquireSlot()
		if errors.Is(err, errPoolRemoved) || err != nil && x.fallBackToStable() {
			continue
		}
		if err != nil {
			return nil, nil, x.waitRefusal(err)
		}
		r, a, err := x.trySend(grant)
		if err == nil {
			return r, a, nil
		}
		x.canary.version = ""
		if refusal := x.retryOrRefuse(err); refusal != nil {
			return nil, nil, refusal
		}
	}
}

// acquireSlot waits for a slot.
func (x *exchange) acquireSlot() (broker.Grant, error) {
	start := time.Now()
	x.waits.set(waitsForSlot)
	ctx, cancel := x.slotContext()
	defer cancel()
	grant, err := x.server.deps.Broker.Acquire(ctx, x.demand)
	if err != nil && x.ctx.Err() == nil && errors.Is(context.Cause(ctx), errPoolRemoved) {
		err = errPoolRemoved
	}
	elapsed := time.Since(start)
	x.history.slotWait += elapsed
	x.server.counters.slotWait.Observe(elapsed)
	return grant, err
}

// retryOrRefuse decides what follows a failed send: nil to send again, otherwise a refusal.
func (x *exchange) retryOrRefuse(err error) error {
	if errors.Is(context.Cause(x.ctx), errHedgeLost) {
		return errHedgeLost
	}
	x.server.counters.countFailedSend(err)
	x.history.recordFailedSend(x.outbound.serverID, sendErrorCause(err), time.Since(x.receivedAt))
	x.logFailedSend(err)
	switch {
	case x.preSendRefusal != nil:
		return x.preSendRefusal
	case x.ctx.Err() != nil:
		return x.waitRefusal(x.ctx.Err())
	case !x.attempts.CanSend():
		return x.newRefusal(request.ReasonEngineLost, "the answer was lost: %v", err)
	case x.attempts.Sends() > 0 && !x.reserveRetry():
		return x.noRetryLeft(err)
	}
	return nil
}

// newRefusal returns a refusal that states whether the request is known not to have run.
func (x *exchange) newRefusal(reason request.Reason, format string, args ...any) *request.Refusal {
	r := request.Refuse(reason, format, args...)
	r.NotRun = x.attempts.NotRun()
	if r.NotRun == request.NotRunTrue {
		r.RetryAfter = defaultRetryAfter
	}
	return r
}

// recheckKey checks the key again, since it may have been withdrawn while the request
// waited. A stream that broke off is resumed whatever the check says: its caller has part
// of an answer, so that a refusal could only cut it.
func (x *exchange) recheckKey() error {
	if x.workspace == nil {
		return nil
	}
	refusal := x.keyRefusal()
	if refusal != nil && x.resuming {
		x.logRetry().WithError(refusal).Info("Accepted stream is resumed.")
		return nil
	}
	return refusal
}

// keyRefusal returns the refusal of a request whose key is not known to be valid now.
func (x *exchange) keyRefusal() error {
	if !x.server.deps.Admission.Fresh() {
		return x.newRefusal(request.ReasonStoreUnavailable, "the configuration in force is not known")
	}
	if x.server.deps.Routes.Load().ByKey(x.key) == nil {
		return x.newRefusal(request.ReasonUnauthorized, "the key was withdrawn")
	}
	return nil
}

// waitRefusal returns the refusal for a wait that ended with err.
func (x *exchange) waitRefusal(err error) error {
	var refusal *request.Refusal
	switch {
	case errors.As(err, &refusal):
		refusalCopy := *refusal
		refusalCopy.NotRun = x.attempts.NotRun()
		return &refusalCopy
	case x.callerDisconnected():
		return x.newRefusal(request.ReasonCallerGone, "caller gone")
	case errors.Is(context.Cause(x.ctx), errNoMemory):
		return x.memoryRefusal()
	case errors.Is(context.Cause(x.ctx), errShutdown):
		return x.newRefusal(request.ReasonShuttingDown, "no answer by the end of the shutdown")
	default:
		return x.newRefusal(request.ReasonExpired, "time is up")
	}
}

// trySend sends the request to the server of a grant. It releases the grant unless it
// returns a reply.
func (x *exchange) trySend(grant broker.Grant) (*reply, *attempt, error) {
	s := grant.Server()
	a := &attempt{grant: grant}
	x.lastGrant = grant
	if !x.server.deps.Admission.MayUse(s, x.canary.version != "") {
		grant.Release(broker.Completion{Outcome: pool.OutcomeRefused, RefusedLeaving: true})
		return nil, nil, errors.Wrapf(engine.ErrNotSent, "server %s may not be used", s.Name)
	}
	x.outbound.serverID, x.history.serverVersion = s.Name, s.Version
	x.runningLog.recordSend(s.Name)
	policy := httpconn.MustDial
	if x.route.Repeatable() {
		policy = httpconn.MayReuse
	}
	start := time.Now()
	beforeWrite := func() error {
		if a.pushedBack = grant.PushedBack(); a.pushedBack {
			return errPushedBack
		}
		if !x.memory.Pin() {
			x.preSendRefusal = x.memoryRefusal()
			return x.preSendRefusal
		}
		if x.preSendRefusal = x.recheckKey(); x.preSendRefusal != nil {
			return x.preSendRefusal
		}
		if x.preSendRefusal = x.chargeRetry(); x.preSendRefusal != nil {
			return x.preSendRefusal
		}
		a.sentAt = time.Now()
		x.trackAttempt(a)
		x.server.counters.connectTime.Observe(a.sentAt.Sub(start))
		return x.attempts.Take()
	}
	conn, err := x.server.deps.ConnPools.pool(s.Address).Send(x.ctx, x.outbound, policy, beforeWrite)
	if err != nil {
		return nil, nil, x.endFailedSend(a, err)
	}
	a.peer, x.history.peer = conn.Peer(), conn.Peer()
	conn.SetSilenceTimeout(time.Until(x.outbound.deadline) + time.Second)
	r, err := readReply(x.ctx, conn, x.outbound.method, x.callerRequestID, &x.server.wire, func() bool { return x.goesOn(s) })
	if err != nil {
		conn.Discard()
		return nil, nil, x.endLostAttempt(a, err)
	}
	x.reportStatements(a, r)
	if len(r.header.Peek(x.server.wire.NotExecuted)) > 0 {
		return nil, nil, x.endUnexecuted(a, r)
	}
	return r, a, nil
}

// endFailedSend ends an attempt whose request was not written completely.
func (x *exchange) endFailedSend(a *attempt, err error) error {
	if !errors.Is(err, engine.ErrNotSent) {
		return x.endLostAttempt(a, err)
	}
	if !a.sentAt.IsZero() {
		x.attempts.Unsend()
	}
	if x.ctx.Err() != nil || x.preSendRefusal != nil || a.pushedBack {
		a.grant.ReturnUnused()
		return err
	}
	a.grant.Release(broker.Completion{Outcome: pool.OutcomeNotSent, ServerGone: errors.Is(err, engine.ErrConnRefused), Reach: reachOf(err)})
	return err
}

// reachOf returns what a peer found of a server that could not be connected to.
func reachOf(err error) pool.Reach {
	if errors.Is(err, httpconn.ErrUnreachableByPeer) {
		return pool.UnreachableByPeer
	}
	return pool.ReachUnknown
}

// endLostAttempt ends an attempt whose answer was lost.
func (x *exchange) endLostAttempt(a *attempt, err error) error {
	x.recordLoss(a, err)
	a.release(x.lostOutcome())
	x.recordSentTo(a)
	return answerLostError{err}
}

// recordLoss records why the answer of an attempt was lost, before its slot is freed.
func (x *exchange) recordLoss(a *attempt, lost error) {
	x.logMalformed(a, lost)
	x.checkServer(a, lost)
}

// serverCheckTimeout bounds the check of a server that broke off an answer. A retry waits
// for it.
const serverCheckTimeout = 200 * time.Millisecond

// checkServer finds out whether the process of a server that broke off an answer has ended,
// or this daemon has lost its link to the server.
//
// Other requests would find out, too, but only those that go to this server, and a server
// that loses answers gets few.
func (x *exchange) checkServer(a *attempt, lost error) {
	if x.ctx.Err() != nil {
		return
	}
	servers := x.server.deps.ConnPools
	address := a.grant.Server().Address
	switch {
	case errors.Is(lost, errServerSilent) && a.peer == "" && servers.PathDown(address):
		a.reach = pool.ReachedByPeer
		return
	case !errors.Is(lost, engine.ErrConnectionLost):
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, serverCheckTimeout)
	defer cancel()
	relayed, err := servers.pool(address).Check(ctx)
	a.serverGone, a.reach = errors.Is(err, engine.ErrConnRefused), reachOf(err)
	if relayed {
		a.reach = pool.ReachedByPeer
	}
}

// processExitTime is how long after the first of its connections the listener of a process that
// ends may be closed.
const processExitTime = 50 * time.Millisecond

// goesOn reports whether the process of a server has not ended and is not about to: it accepts
// connections. Any other result is no proof. A server that is leaving is asked like any other:
// it may end before its answers do.
func (x *exchange) goesOn(s workspace.BackendServer) bool {
	if err := x.connects(s); errors.Is(err, engine.ErrConnRefused) {
		return false
	}
	wait.For(x.ctx, processExitTime)
	return x.connects(s) == nil
}

// connects returns nil if a server accepts a connection.
func (x *exchange) connects(s workspace.BackendServer) error {
	ctx, cancel := context.WithTimeout(x.ctx, serverCheckTimeout)
	defer cancel()
	_, err := x.server.deps.ConnPools.pool(s.Address).Check(ctx)
	return err
}

// lostOutcome returns the outcome of an attempt whose answer is lost now.
func (x *exchange) lostOutcome() pool.Outcome {
	if x.ctx.Err() != nil {
		return pool.OutcomeCanceled
	}
	return pool.OutcomeStreamLost
}

// recordSentTo records a server that may have run the request, so that the next attempt
// goes to another one.
func (x *exchange) recordSentTo(a *attempt) {
	x.demand.SentTo = append(x.demand.SentTo, a.grant.Server().Name)
	x.canary.version = ""
}

// endUnexecuted ends an attempt that the server reported as not run.
func (x *exchange) endUnexecuted(a *attempt, r *reply) error {
	x.attempts.Undo()
	status := r.header.StatusCode()
	if _, err := r.readAll(reserveNothing, maxRefusalBytes); err != nil {
		r.complete = false
	}
	r.releaseConn()
	gone := status == statusMisdirectedRequest
	a.grant.Release(broker.Completion{Outcome: pool.OutcomeRefused, RefusedLeaving: gone, ServerGone: gone})
	return errors.Wrapf(errNotExecuted, "status %d", status)
}

// statusMisdirectedRequest is the answer of a server other than the expected one.
const statusMisdirectedRequest = 421

// release frees the slot after an attempt.
func (a *attempt) release(outcome pool.Outcome) {
	completion := broker.Completion{Outcome: outcome, Total: time.Since(a.sentAt), OutputTokens: a.tokens, ServerGone: a.serverGone, Reach: a.reach}
	if !a.firstEventAt.IsZero() {
		completion.FirstToken = a.firstEventAt.Sub(a.sentAt)
	}
	a.grant.Release(completion)
	if a.onEnd == nil {
		return
	}
	if a.reach == pool.ReachedByPeer && outcome == pool.OutcomeStreamLost {
		outcome = pool.OutcomeCanceled // by this daemon's links; it is no evidence on the version
	}
	a.onEnd(outcome)
}
