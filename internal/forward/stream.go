package forward

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/pool"
)

// stream is an event stream on its way to the caller. The HTTP server reads and closes it.
// A stream that breaks is resumed on another server if its route allows that. Otherwise
// Read fails and the HTTP server closes the connection without the final chunk, so that
// the answer does not look complete.
type stream struct {
	exchange    *exchange
	attempt     *attempt
	events      eventReader
	pending     []byte // complete events that were not read yet
	eof         bool
	err         error
	released    bool // the attempt was released
	lastEventAt time.Time
}

// errStreamCut: the stream could not be completed.
var errStreamCut = errors.New("stream cut off")

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	s.exchange.waits.set(waitsForEvents)
	defer s.exchange.waits.set(waitsForCaller)
	for len(s.pending) == 0 {
		if s.eof {
			s.release(pool.OutcomeDone)
			return 0, io.EOF
		}
		if s.err != nil {
			return 0, s.err
		}
		s.readNext()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// readNext gets the next events, from another server if necessary.
func (s *stream) readNext() {
	batch, n, err := s.events.next()
	switch {
	case err == nil:
		s.pending = batch
		s.recordEvents(n)
	case err == io.EOF:
		s.eof = true
	default:
		s.resumeOrCut(err)
	}
}

// recordEvents counts n events and reports the progress to the owner.
func (s *stream) recordEvents(n int) {
	a, now := s.attempt, time.Now()
	s.recordLatency(n, now)
	if n > 0 {
		s.exchange.recordVersion(a.grant.Server().Version)
	}
	a.tokens += n * s.exchange.tokensPerEvent()
	if a.firstEventAt.IsZero() && n > 0 {
		a.firstEventAt = now
		s.limitSilence()
	}
	if n == 0 || now.Sub(a.reportedAt) < minProgressInterval<<min(a.reports, 4) && a.reports > 0 {
		return
	}
	var perToken time.Duration
	if d := a.tokens - a.reportedTokens; d > 0 && a.reports > 0 {
		perToken = now.Sub(a.reportedAt) / time.Duration(d)
	}
	a.grant.Progress(a.firstEventAt.Sub(a.sentAt), a.tokens, perToken)
	a.reportedTokens, a.reportedAt = a.tokens, now
	a.reports++
}

// recordLatency measures the time to the first event and the gaps between events.
func (s *stream) recordLatency(n int, now time.Time) {
	x := s.exchange
	switch {
	case n == 0:
		return
	case x.history.events == 0:
		x.history.firstEvent = now.Sub(x.receivedAt)
		x.server.counters.firstEvent.Observe(x.history.firstEvent)
	default:
		x.server.counters.eventGap.Observe(now.Sub(s.lastEventAt))
	}
	x.history.events += n
	s.lastEventAt = now
}

// resumeOrCut resumes the stream on another server, or cuts it. A stream that is only
// silent is kept until another server has continued it.
func (s *stream) resumeOrCut(err error) {
	if s.events.reply.conn.TimedOut() && s.exchange.ctx.Err() == nil {
		s.hedgeOrWait()
		return
	}
	next, refusal := s.resumeBroken(err)
	if refusal != nil {
		s.cut(refusal)
		return
	}
	s.switchTo(next)
}

// resumeBroken gets the rest of a stream whose own server has failed with err.
func (s *stream) resumeBroken(err error) (*successor, error) {
	x := s.exchange
	x.resumeAfter(&s.events)
	x.resuming = true
	defer func() { x.resuming = false }()
	return x.resume(nil, nil, s.abandonAttempt(err))
}

func (s *stream) discardReply() {
	s.events.reply.complete = false
	s.events.reply.releaseConn()
}

// release frees the attempt's slot once.
func (s *stream) release(outcome pool.Outcome) {
	if s.released {
		return
	}
	s.released = true
	if outcome == pool.OutcomeDone {
		s.events.reply.releaseConn()
	} else {
		s.discardReply()
	}
	s.attempt.release(outcome)
}

// Close implements io.Closer. The HTTP server calls it when the answer was written or the
// write to the caller failed.
func (s *stream) Close() error {
	if !s.released {
		s.exchange.history.writeFailed = true
		s.release(pool.OutcomeCanceled)
	}
	s.exchange.logAnswer(s.err)
	s.exchange.cleanUp()
	return nil
}

// tokensPerEvent returns how many tokens one event of the service holds.
func (x *exchange) tokensPerEvent() int {
	if s := x.table.Services[x.service]; s != nil && s.TokensPerEvent > 0 {
		return s.TokensPerEvent
	}
	return 1
}
