package forward

import (
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/pool"
)

// stream is an answer of events on its way to the caller. The HTTP server
// reads it and closes it. A stream that breaks is resumed at another server
// where its route allows that; otherwise Read fails, and the HTTP server
// closes the connection without the end mark, so that the answer does not
// look complete.
type stream struct {
	x       *exchange
	run     *run
	events  events
	pending []byte // whole events not handed on yet
	eof     bool
	failed  error
	over    bool      // the run was released
	latest  time.Time // of the last event
}

// errCut: the stream could not be finished.
var errCut = errors.New("stream cut off")

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	for len(s.pending) == 0 {
		if s.eof {
			s.finish(pool.OutcomeDone)
			return 0, io.EOF
		}
		if s.failed != nil {
			return 0, s.failed
		}
		s.advance()
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// advance gets the next events, at another server if need be.
func (s *stream) advance() {
	whole, n, err := s.events.next()
	switch {
	case err == nil:
		s.pending = whole
		s.took(n)
	case err == io.EOF:
		s.eof = true
	default:
		s.broken(err)
	}
}

// took counts events and tells the owner of the progress.
func (s *stream) took(n int) {
	g, now := s.run, time.Now()
	s.observe(n, now)
	g.tokens += n * s.x.eventTokens()
	if g.first.IsZero() && n > 0 {
		g.first = now
		s.boundSilence()
	}
	if n == 0 || now.Sub(g.toldAt) < progressEvery<<min(g.reports, 4) && g.reports > 0 {
		return
	}
	var perToken time.Duration
	if d := g.tokens - g.told; d > 0 && g.reports > 0 {
		perToken = now.Sub(g.toldAt) / time.Duration(d)
	}
	g.grant.Progress(g.first.Sub(g.sent), g.tokens, perToken)
	g.told, g.toldAt = g.tokens, now
	g.reports++
}

// observe measures the first event and the gaps.
func (s *stream) observe(n int, now time.Time) {
	x := s.x
	switch {
	case n == 0:
		return
	case x.trail.events == 0:
		x.trail.first = now.Sub(x.received)
		x.server.count.first.Observe(x.trail.first)
	default:
		x.server.count.gap.Observe(now.Sub(s.latest))
	}
	x.trail.events += n
	s.latest = now
}

// broken resumes the stream elsewhere, or cuts it. One that is only silent is kept until
// another server has gone on.
func (s *stream) broken(err error) {
	if s.events.from.conn.Silent() && s.x.ctx.Err() == nil {
		s.hedge()
		return
	}
	s.x.goOnAfter(&s.events)
	next, refusal := s.x.resume(nil, nil, s.giveUpRun(err))
	if refusal != nil {
		s.cut(refusal)
		return
	}
	s.takeOver(next)
}

func (s *stream) drop() {
	s.events.from.ended = false
	s.events.from.finish()
}

// finish frees the slot once.
func (s *stream) finish(outcome pool.Outcome) {
	if s.over {
		return
	}
	s.over = true
	if outcome == pool.OutcomeDone {
		s.events.from.finish()
	} else {
		s.drop()
	}
	s.run.release(outcome)
}

// Close implements io.Closer. The HTTP server calls it when the answer was
// written or the caller could not be written to.
func (s *stream) Close() error {
	if !s.over {
		s.finish(pool.OutcomeCanceled)
	}
	s.x.logAnswer(s.failed)
	s.x.end()
	return nil
}

// eventTokens returns how many tokens one event holds.
func (x *exchange) eventTokens() int {
	if s := x.table.Services[x.service]; s != nil && s.TokensPerEvent > 0 {
		return s.TokensPerEvent
	}
	return 1
}

func parseID(s string) (int64, bool) {
	id, err := strconv.ParseInt(s, 10, 64)
	return id, err == nil
}
