package forward

import (
	"io"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// successor is an attempt on another server that has brought the next events of a stream.
type successor struct {
	attempt    *attempt
	events     eventReader
	pending    []byte
	eventCount int // in pending
	eof        bool
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
	if err := x.checkResumeHeader(r); err != nil {
		r.complete = false
		r.releaseConn()
		return nil, x.endLostAttempt(a, err)
	}
	next := &successor{attempt: a, events: newEventReader(r, x.server.eventMemory, x.outbound.lastEvent)}
	// A comment is no event: the server may still fail before the next one.
	var err error
	next.pending, next.eventCount, err = next.events.nextWithEvent()
	next.eof = err == io.EOF
	if err != nil && !next.eof {
		r.complete = false
		r.releaseConn()
		return nil, x.endLostAttempt(a, err)
	}
	return next, nil
}

// checkResumeHeader checks that a reply is a server's own and holds the rest of a stream.
func (x *exchange) checkResumeHeader(r *reply) error {
	if status := r.header.StatusCode(); status != fasthttp.StatusOK {
		return errors.Errorf("status %d", status)
	}
	if len(r.header.Peek(x.server.wire.Signature)) == 0 {
		return errors.Wrap(errMalformedAnswer, "signature header is missing")
	}
	return nil
}

// switchTo continues the stream with another server's attempt.
func (s *stream) switchTo(next *successor) {
	c := s.exchange.server.counters
	c.streamsResumed.Add(1)
	if s.attempt.grant.Server().Version != next.attempt.grant.Server().Version {
		c.versionsMixed.Add(1)
	}
	s.attempt, s.released = next.attempt, false
	s.events, s.pending, s.eof = next.events, next.pending, next.eof
	s.recordEvents(next.eventCount)
}

// abandonAttempt closes the connection of the current attempt and frees its slot, unless
// that was done.
func (s *stream) abandonAttempt(cause error) error {
	if !s.released {
		s.exchange.recordLoss(s.attempt, cause)
	}
	s.release(s.exchange.lostOutcome())
	s.exchange.recordSentTo(s.attempt)
	return answerLostError{cause}
}

// cut ends a stream that can't be completed.
func (s *stream) cut(refusal error) {
	s.err = errors.Wrap(errStreamCut, refusal.Error())
	s.exchange.server.counters.streamsCut.Add(1)
}

// resumeAfter makes the next send ask for the events after the last one. Before the first one
// it asks for what the caller asked for.
func (x *exchange) resumeAfter(e *eventReader) {
	if e.lastID > 0 {
		x.outbound.lastEvent = strconv.FormatInt(e.lastID, 10)
	}
}
