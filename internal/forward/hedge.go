package forward

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/request"
)

// successor is another server's run that has brought the next events of a stream.
type successor struct {
	attempt    *attempt
	events     eventReader
	pending    []byte
	eventCount int // of events in pending
	eof        bool
}

// hedgeOrWait is a second send of a stream whose server is silent, beside the first run.
type hedge struct {
	cancel context.CancelFunc
	done   chan struct{}
	// Set before done is closed: one of them.
	successor *successor
	refusal   error
}

// hedgeOrWait asks another server for the rest of a silent stream while its own may still go
// on. Whichever brings the next event first goes on, and the other run is dropped then.
//
// What goes wrong where the silent run is given up before the other one has answered: the
// second send may fail for many reasons (the key was withdrawn, the server refuses or is
// leaving), and a stream is cut whose own server goes on a moment later.
func (s *stream) hedgeOrWait() {
	x, current := s.exchange, &s.events
	reserved := x.reserveHedgeSlot(s.attempt)
	if reserved == nil {
		current.reply.conn.SetSilenceTimeout(x.timeoutPastDeadline())
		return
	}
	x.resumeAfter(current)
	parent := x.ctx
	h := x.startHedge(reserved, current.reply.conn.Abort)
	current.reply.conn.SetSilenceTimeout(x.timeoutPastDeadline())
	batch, n, err := current.next()
	if err == nil || err == io.EOF {
		h.cancel()
	}
	<-h.done
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

// errServerSilent: the server was silent until another one went on.
var errServerSilent = errors.New("silent until another server went on")

// startHedge begins the second send. abort ends what waits for the first run; it is called
// once the second one has brought an event. Until done is closed the exchange is the
// hedge's.
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

// resume gets the rest of a stream from another server, up to its next events. It is given
// how the latest send ended. The error is a refusal.
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

// readFirstEvents waits for another server's first events.
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

// switchTo goes on with another server's run.
func (s *stream) switchTo(next *successor) {
	s.exchange.server.counters.streamsResumed.Add(1)
	s.attempt, s.released = next.attempt, false
	s.events, s.pending, s.eof = next.events, next.pending, next.eof
	s.recordEvents(next.eventCount)
}

// abandonAttempt closes the connection of the current run and frees its slot.
func (s *stream) abandonAttempt(cause error) error {
	s.discardReply()
	s.released = true
	return s.exchange.endLostAttempt(s.attempt, cause)
}

// cut ends a stream that can't be finished.
func (s *stream) cut(refusal error) {
	s.err = errors.Wrap(errStreamCut, refusal.Error())
	s.exchange.server.counters.streamsCut.Add(1)
}

// limitSilence makes the stream's silence show while another server could go on.
func (s *stream) limitSilence() {
	if s.exchange.attempts.CanSend() {
		s.events.reply.conn.SetSilenceTimeout(streamSilenceTimeout)
	}
}

// timeoutPastDeadline is longer than the request has left: its deadline ends what waits.
func (x *exchange) timeoutPastDeadline() time.Duration {
	return time.Until(x.outbound.deadline) + time.Second
}

// resumeAfter makes the next send ask for what follows the last event.
func (x *exchange) resumeAfter(e *eventReader) {
	if e.hasLastID {
		x.outbound.lastEvent = strconv.FormatInt(e.lastID, 10)
	}
}

// hedgeSlotTimeout is how long a slot for a silent stream may take.
const hedgeSlotTimeout = 300 * time.Millisecond

// reserveHedgeSlot gets a slot for a second send beside the run of a silent stream, and takes its
// retry; nil where either is not to be had, or where the key was withdrawn meanwhile.
func (x *exchange) reserveHedgeSlot(silentAttempt *attempt) broker.Grant {
	if !x.attempts.CanSend() || x.recheckKey() != nil {
		return nil
	}
	x.setHedgeDemand(silentAttempt)
	ctx, cancel := context.WithTimeout(x.ctx, hedgeSlotTimeout)
	defer cancel()
	x.demand.Candidates = x.candidatePools("")
	grant, err := x.server.deps.Broker.Acquire(ctx, x.demand)
	if err != nil {
		return nil
	}
	if x.recheckKey() != nil {
		grant.ReturnUnused()
		return nil
	}
	if !x.server.deps.Budget(x.service).Take() {
		x.server.counters.retriesDenied.Add(1)
		grant.ReturnUnused()
		return nil
	}
	return grant
}

// setHedgeDemand makes what is asked of the owner another request than the one that still
// runs, at another server.
func (x *exchange) setHedgeDemand(runningAttempt *attempt) {
	spec := *x.spec
	x.hedgesStarted++
	spec.ID += request.ID("-" + strconv.Itoa(x.hedgesStarted))
	x.demand.Spec = &spec
	x.demand.SentTo = append(x.demand.SentTo, runningAttempt.grant.Server().Name)
}
