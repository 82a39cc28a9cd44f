package forward

import (
	"context"
	"io"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// hedge asks another server for the rest of a stream whose server is silent, while the
// stream's own server may still continue.
//
// Which of the two continues the stream is decided once, by winner. Only the attempt that
// has won passes events on, and only the one that has lost is canceled or aborted. If each
// side decided for itself, two events that arrive together would let each drop the other,
// and the stream would be cut although both servers continued it.
type hedge struct {
	stream *stream
	winner atomic.Int32 // a contender
	parent context.Context
	cancel context.CancelCauseFunc
	// canaryVersion is the one of the first attempt, for the log.
	canaryVersion string
	// firstFailed is closed when the first attempt can't continue the stream any more.
	firstFailed chan struct{}
	done        chan struct{}
	// These are set before done is closed.
	started   bool       // a second attempt was started
	successor *successor // nil if no second attempt continues the stream
	refusal   error      // why the last one does not
}

// contender is one of the two attempts of a hedged stream.
type contender int32

const (
	nobody contender = iota
	firstAttempt
	secondAttempt
)

// claim makes a contender the winner unless the other one has won, and reports whether it
// is. A contender claims when it has brought events or the end of the stream.
func (h *hedge) claim(c contender) bool { return h.winner.CompareAndSwap(int32(nobody), int32(c)) }

// hedgeOrWait waits for the next events of a silent stream, from its own server or from
// another one. The first of the two to bring an event continues the stream, and the other
// attempt is dropped. Without a slot or a retry for another server, the stream's own server
// may be silent until the request's deadline.
//
// The silent attempt is not abandoned before the other server has brought an event. The
// hedge may fail for many reasons (the key was withdrawn, the server refuses or is
// leaving), and the stream would be cut although its own server continues a moment later.
func (s *stream) hedgeOrWait() {
	s.events.reply.conn.SetSilenceTimeout(s.exchange.timeoutPastDeadline())
	h := s.startHedge()
	batch, n, err := s.events.nextWithEvent()
	switch {
	case err != nil && err != io.EOF:
		// The hedge may last until the deadline; the slot must not wait for it.
		s.exchange.recordLoss(s.attempt, err)
		s.release(s.exchange.lostOutcome())
		close(h.firstFailed)
	case h.claim(firstAttempt):
		h.cancel(errHedgeLost)
	}
	<-h.done
	if h.started {
		h.recordEnd(err)
	}
	if h.successor != nil {
		s.abandonAttempt(errServerSilent)
		s.switchTo(h.successor)
		return
	}
	h.restoreExchange()
	switch {
	case err == nil:
		s.pending = batch
		s.recordEvents(n)
		s.limitSilence()
	case err == io.EOF:
		s.pending, s.eof = batch, true
	default:
		s.resumeOrCut(err)
	}
}

// errServerSilent is why an attempt is abandoned when another server continues its stream.
var errServerSilent = errors.New("silent until another server continued the stream")

// errHedgeLost is why a hedge ends whose events came after those of the first attempt.
var errHedgeLost = errors.New("the first server continued the stream")

// startHedge starts the hedge. Until done is closed, only the hedge's goroutine may use the
// exchange.
func (s *stream) startHedge() *hedge {
	x := s.exchange
	h := &hedge{stream: s, parent: x.ctx, firstFailed: make(chan struct{}), done: make(chan struct{})}
	x.ctx, h.cancel = context.WithCancelCause(h.parent)
	// The request was sent, so that it goes to the stable version from now on.
	h.canaryVersion, x.canary.version = x.history.canaryVersion, ""
	x.resumeAfter(&s.events)
	go func() {
		defer close(h.done)
		if err := x.contain(h.run); err != nil {
			h.successor, h.refusal = nil, err
		}
	}()
	return h
}

// hedgeRetryInterval is the wait before another attempt, since what made the last one fail
// may have passed.
const hedgeRetryInterval = streamSilenceTimeout

// run starts attempts on other servers until one continues the stream or the first attempt
// has continued it or failed.
func (h *hedge) run() error {
	for {
		h.try()
		if h.successor != nil || !h.stream.exchange.attempts.CanSend() {
			return nil
		}
		select {
		case <-h.stream.exchange.ctx.Done():
			return nil
		case <-h.firstFailed:
			return nil
		case <-time.After(hedgeRetryInterval):
		}
	}
}

// try starts an attempt on another server. It sets successor if that one continues the
// stream.
func (h *hedge) try() {
	s, x := h.stream, h.stream.exchange
	reserved, err := x.reserveHedgeSlot(s.attempt)
	if err != nil {
		h.refusal = err
		s.logHedge().WithError(err).Info("Hedge not started.")
		return
	}
	s.logHedge().WithFields(logrus.Fields{"hedge_server": reserved.Server().Name, "hedge_version": reserved.Server().Version}).Info("Hedge started.")
	h.started = true
	x.server.counters.hedges.Add(1)
	next, refusal := x.resume(x.trySend(reserved))
	x.releaseRetry()
	switch {
	case next == nil:
		h.refusal = refusal
		if errors.Is(context.Cause(x.ctx), errHedgeLost) {
			h.refusal = errHedgeLost
		}
		x.preSendRefusal = nil
	case h.claim(secondAttempt):
		h.successor = next
		s.events.reply.conn.Abort()
	default:
		x.dropSuccessor(next)
		h.refusal = errHedgeLost
	}
}

// restoreExchange restores the exchange after a hedge that did not continue the stream.
func (h *hedge) restoreExchange() {
	h.cancel(nil)
	s, x := h.stream, h.stream.exchange
	x.ctx, x.preSendRefusal = h.parent, nil
	own := s.attempt.grant.Server()
	x.outbound.serverID, x.history.serverVersion = own.Name, own.Version
	x.demand.Spec = x.spec
	x.history.canaryVersion = h.canaryVersion
}

// dropSuccessor ends an attempt whose events are not needed.
func (x *exchange) dropSuccessor(n *successor) {
	n.events.reply.complete = false
	n.events.reply.releaseConn()
	n.attempt.release(pool.OutcomeCanceled)
	x.recordSentTo(n.attempt)
}

// limitSilence sets the silence timeout of the stream if another attempt is allowed.
func (s *stream) limitSilence() {
	if s.exchange.attempts.CanSend() {
		s.events.reply.conn.SetSilenceTimeout(streamSilenceTimeout)
	}
}

// timeoutPastDeadline is longer than the time left, so that the request's deadline ends a wait.
func (x *exchange) timeoutPastDeadline() time.Duration {
	return time.Until(x.outbound.deadline) + time.Second
}

// hedgeSlotTimeout bounds the wait for a hedge's slot.
const hedgeSlotTimeout = 300 * time.Millisecond

// Reasons why a hedge is not started.
var (
	errNoAttemptLeft = errors.New("no attempt is left")
	errNoRetryLeft   = errors.New("the retry budget is used up")
)

// reserveHedgeSlot gets a slot for a hedge of a silent attempt and reserves a retry. The
// error tells why no hedge is started.
func (x *exchange) reserveHedgeSlot(silentAttempt *attempt) (broker.Grant, error) {
	if !x.attempts.CanSend() {
		return nil, errNoAttemptLeft
	}
	if err := x.recheckKey(); err != nil {
		return nil, err
	}
	if err := x.setCandidates(); err != nil {
		return nil, err
	}
	x.setHedgeDemand(silentAttempt)
	ctx, cancel := context.WithTimeout(x.ctx, hedgeSlotTimeout)
	defer cancel()
	grant, err := x.server.deps.Broker.Acquire(ctx, x.demand)
	if err != nil {
		return nil, err
	}
	if err := x.recheckKey(); err != nil {
		grant.ReturnUnused()
		return nil, err
	}
	if !x.reserveRetry() {
		grant.ReturnUnused()
		return nil, errNoRetryLeft
	}
	return grant, nil
}

// setHedgeDemand gives the demand a request id of its own, since the first attempt still
// runs under the old one, and excludes the server of that attempt.
func (x *exchange) setHedgeDemand(runningAttempt *attempt) {
	spec := *x.spec
	x.hedgesStarted++
	spec.ID += request.ID("-" + strconv.Itoa(x.hedgesStarted))
	x.demand.Spec = &spec
	if name := runningAttempt.grant.Server().Name; !slices.Contains(x.demand.SentTo, name) {
		x.demand.SentTo = append(x.demand.SentTo, name)
	}
}

// logHedge returns the log entry for a decision on a hedge, with the length of the silence.
func (s *stream) logHedge() *logrus.Entry {
	return s.exchange.server.log.WithFields(s.exchange.requestFields()).WithFields(logrus.Fields{
		"server": s.attempt.grant.Server().Name, "server_version": s.attempt.grant.Server().Version, "events": s.exchange.history.events,
		"silent_ms": time.Since(s.lastEventAt).Milliseconds(),
	})
}

// recordEnd logs and counts which server continues the stream; none if both failed.
// firstErr is how the wait for the silent server ended.
func (h *hedge) recordEnd(firstErr error) {
	s := h.stream
	l := s.logHedge()
	if firstErr != nil {
		l = l.WithField("first_error", firstErr.Error())
	}
	switch {
	case h.successor != nil:
		l = l.WithField("continued_by", h.successor.attempt.grant.Server().Name)
	case firstErr == nil || firstErr == io.EOF:
		s.exchange.server.counters.hedgesUnused.Add(1)
		l = l.WithField("continued_by", s.attempt.grant.Server().Name)
	}
	if h.successor == nil && h.refusal != nil {
		l = l.WithField("hedge_error", h.refusal.Error())
	}
	l.Info("Hedge ended.")
}
