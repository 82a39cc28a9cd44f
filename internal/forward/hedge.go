package forward

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/request"
)

// successor is an attempt on another server that has brought the next events of a stream.
type successor struct {
	attempt    *attempt
	events     eventReader
	pending    []byte
	eventCount int // in pending
	eof        bool
}

// hedge is a second attempt for a stream whose server is silent, beside the first one.
type hedge struct {
	cancel context.CancelFunc
	done   chan struct{}
	// One of these is set before done is closed.
	successor *successor
	refusal   error
}

// hedgeOrWait asks another server for the rest of a silent stream while the stream's own
// server may still continue. The first of the two to bring an event continues the stream,
// and the other attempt is dropped. Without a slot or a retry, it lets the stream's own
// server be silent until the request's deadline.
//
// The silent attempt is not abandoned before the other server has brought an event. The
// hedge may fail for many reasons (the key was withdrawn, the server refuses or is
// leaving), and the stream would be cut although its own server continues a moment later.
func (s *stream) hedgeOrWait() {
	x, current := s.exchange, &s.events
	reserved, err := x.reserveHedgeSlot(s.attempt)
	if err != nil {
		s.logHedge().WithError(err).Info("Hedge not started.")
		current.reply.conn.SetSilenceTimeout(x.timeoutPastDeadline())
		return
	}
	s.logHedge().WithField("hedge_server", reserved.Server().Name).Info("Hedge started.")
	x.resumeAfter(current)
	parent := x.ctx
	h := x.startHedge(reserved, current.reply.conn.Abort)
	current.reply.conn.SetSilenceTimeout(x.timeoutPastDeadline())
	batch, n, err := current.next()
	if err == nil || err == io.EOF {
		h.cancel()
	}
	<-h.done
	s.logHedgeEnd(h, err)
	if h.successor != nil {
		s.abandonAttempt(errServerSilent)
		s.switchTo(h.successor)
		return
	}
	h.cancel()
	x.ctx, x.preSendRefusal = parent, nil
	x.outbound.serverID = s.attempt.grant.Server().Name
	switch {
	case err == nil:
		x.server.counters.hedgesUnused.Add(1)
		s.pending = batch
		s.recordEvents(n)
		s.limitSilence()
	case err == io.EOF:
		s.eof = true
	default:
		s.abandonAttempt(err)
		s.cut(h.refusal)
	}
}

// errServerSilent is why an attempt is abandoned when another server continues its stream.
var errServerSilent = errors.New("silent until another server continued the stream")

// startHedge starts the hedge. It calls abort, which interrupts the wait for the first
// attempt, once the hedge has brought an event. Until done is closed, only the hedge's
// goroutine may use the exchange.
func (x *exchange) startHedge(reserved broker.Grant, abort func()) *hedge {
	h := &hedge{done: make(chan struct{})}
	x.ctx, h.cancel = context.WithCancel(x.ctx)
	x.server.counters.hedges.Add(1)
	go func() {
		defer close(h.done)
		h.successor, h.refusal = x.resume(x.trySend(reserved))
		if h.successor != nil {
			abort()
		}
	}()
	return h
}

// resume gets the rest of a stream from another server, up to its next events. r, a and
// err are the results of the last send. The returned error is a refusal.
func (x *exchange) resume(r *reply, a *attempt, err error) (*successor, error) {
	for {
		if err == nil {
			var next *successor
			if next, err = x.readFirstEvents(r, a); err == nil {
				return next, nil
			}
		}
		if refusal := x.retryOrRefuse(err); refusal != nil {
			return nil, refusal
		}
		var refusal error
		if r, a, refusal = x.send(); refusal != nil {
			return nil, refusal
		}
		err = nil
	}
}

// readFirstEvents waits for the first events of another server.
func (x *exchange) readFirstEvents(r *reply, a *attempt) (*successor, error) {
	if status := r.header.StatusCode(); status != fasthttp.StatusOK {
		r.complete = false
		r.releaseConn()
		return nil, x.endLostAttempt(a, errors.Errorf("status %d", status))
	}
	next := &successor{attempt: a, events: eventReader{reply: r}}
	if lastID, ok := parseEventID(x.outbound.lastEvent); ok {
		next.events.lastID, next.events.hasLastID = lastID, true
	}
	var err error
	next.pending, next.eventCount, err = next.events.next()
	next.eof = err == io.EOF
	if err != nil && !next.eof {
		r.complete = false
		r.releaseConn()
		return nil, x.endLostAttempt(a, err)
	}
	return next, nil
}

// switchTo continues the stream with another server's attempt.
func (s *stream) switchTo(next *successor) {
	s.exchange.server.counters.streamsResumed.Add(1)
	s.attempt, s.released = next.attempt, false
	s.events, s.pending, s.eof = next.events, next.pending, next.eof
	s.recordEvents(next.eventCount)
}

// abandonAttempt closes the connection of the current attempt and frees its slot.
func (s *stream) abandonAttempt(cause error) error {
	s.discardReply()
	s.released = true
	return s.exchange.endLostAttempt(s.attempt, cause)
}

// cut ends a stream that can't be completed.
func (s *stream) cut(refusal error) {
	s.err = errors.Wrap(errStreamCut, refusal.Error())
	s.exchange.server.counters.streamsCut.Add(1)
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

// resumeAfter makes the next send ask for the events after the last one.
func (x *exchange) resumeAfter(e *eventReader) {
	if e.hasLastID {
		x.outbound.lastEvent = strconv.FormatInt(e.lastID, 10)
	}
}

// hedgeSlotTimeout bounds the wait for a hedge's slot.
const hedgeSlotTimeout = 300 * time.Millisecond

// Reasons why a hedge is not started.
var (
	errNoAttemptLeft = errors.New("no attempt is left")
	errNoRetryLeft   = errors.New("the retry budget is used up")
)

// reserveHedgeSlot gets a slot for a hedge of a silent attempt and takes a retry from the
// budget. The error tells why no hedge is started.
func (x *exchange) reserveHedgeSlot(silentAttempt *attempt) (broker.Grant, error) {
	if !x.attempts.CanSend() {
		return nil, errNoAttemptLeft
	}
	if err := x.recheckKey(); err != nil {
		return nil, err
	}
	x.setHedgeDemand(silentAttempt)
	ctx, cancel := context.WithTimeout(x.ctx, hedgeSlotTimeout)
	defer cancel()
	x.demand.Candidates = x.candidatePools("")
	grant, err := x.server.deps.Broker.Acquire(ctx, x.demand)
	if err != nil {
		return nil, err
	}
	if err := x.recheckKey(); err != nil {
		grant.ReturnUnused()
		return nil, err
	}
	if !x.server.deps.Budget(x.service).Take() {
		x.server.counters.retriesDenied.Add(1)
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
	x.demand.SentTo = append(x.demand.SentTo, runningAttempt.grant.Server().Name)
}

// logHedge returns the log entry for a decision on a hedge, with the length of the silence.
func (s *stream) logHedge() *logrus.Entry {
	return s.exchange.server.log.WithFields(s.exchange.requestFields()).WithFields(logrus.Fields{
		"server": s.attempt.grant.Server().Name, "events": s.exchange.history.events,
		"silent_ms": time.Since(s.lastEventAt).Milliseconds(),
	})
}

// logHedgeEnd logs which server continues the stream, none if it is cut. firstErr is how
// the wait for the silent server ended.
func (s *stream) logHedgeEnd(h *hedge, firstErr error) {
	l := s.logHedge()
	if firstErr != nil {
		l = l.WithField("first_error", firstErr.Error())
	}
	if h.refusal != nil {
		l = l.WithField("hedge_error", h.refusal.Error())
	}
	switch {
	case h.successor != nil:
		l = l.WithField("continued_by", h.successor.attempt.grant.Server().Name)
	case firstErr == nil || firstErr == io.EOF:
		l = l.WithField("continued_by", s.attempt.grant.Server().Name)
	}
	l.Info("Hedge ended.")
}
