package entry

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
	"github.com/lycheekeel/lycheekeel/request"
)

// errIncomplete ends the body of an incomplete answer. It makes the HTTP server close the
// connection without the terminating chunk, so that the client reports a broken body.
var errIncomplete = errors.New("answer is incomplete")

// eventStream is the body of a streamed answer. The pump goroutine writes the engine's
// chunks into it, and the HTTP server's goroutine reads them. So a slow caller does not
// block the engine's stream, and a silent engine does not delay keepalives. Its size is
// bounded by max_tokens.
type eventStream struct {
	x        *exchange
	answer   *answer
	format   *formatter
	conn     interface{ SetWriteDeadline(time.Time) error }
	pumpDone chan struct{} // closed when the pump goroutine has ended
	ready    chan struct{} // signals that pending or err has changed

	mu      sync.Mutex
	pending []byte // events not yet passed to Read
	err     error  // returned by Read after pending; set once

	readable   []byte // the rest of the events that Read is returning
	scratch    []byte // event buffer, used by the pump only
	transcript []byte // all events, until too long to be stored with the claim
	timer      *time.Timer
}

// stream waits for the first chunk before it starts the response, so that a failure up to
// then is still a refusal with its own status.
func (x *exchange) stream(ctx *fasthttp.RequestCtx, a *answer, f *formatter) error {
	first, err := a.Next(x.ctx)
	if err != nil {
		return err
	}
	s := &eventStream{
		x: x, answer: a, format: f, conn: ctx.Conn(),
		pumpDone: make(chan struct{}),
		ready:    make(chan struct{}, 1),
		timer:    time.NewTimer(x.entry.limits.KeepaliveInterval),
	}
	x.entry.counters.streams.Add(1)
	ctx.Response.Header.SetContentType(contentSSE)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	x.entry.finishHeader(ctx, x.id)
	s.push(f.appendStart(nil), nil)
	go s.pump(first)
	ctx.Response.SetBodyStream(s, -1)
	return errStreaming
}

// pump copies the answer's chunks to the stream until the answer ends.
func (s *eventStream) pump(c engine.Chunk) {
	defer close(s.pumpDone)
	var err error
	for {
		event := s.format.appendText(s.scratch[:0], c.Text)
		if c.End {
			s.complete(event, c.FinishReason)
			return
		}
		s.push(event, nil)
		s.scratch = event
		if c, err = s.answer.Next(s.x.ctx); err != nil {
			r := asRefusal(err)
			s.x.entry.counters.countRefusal(r.Reason)
			s.push(appendError(nil, r), errIncomplete)
			return
		}
	}
}

// complete ends the stream of a complete answer.
func (s *eventStream) complete(events []byte, finish string) {
	events = s.format.appendFinish(events, finish, s.answer.usage())
	s.answer.completeRun()
	s.push(events, io.EOF)
	s.x.settleClaim(request.NotRunFalse, storedAnswer(s.transcript, contentSSE, fasthttp.StatusOK))
}

// recordEvents appends events to the transcript if the request has a claim.
func (s *eventStream) recordEvents(events []byte) {
	if s.x.heldClaim != nil && len(s.transcript) <= claim.MaxAnswerBytes {
		s.transcript = append(s.transcript, events...)
	}
}

// push passes events to the reader, followed by err if it is not nil.
func (s *eventStream) push(events []byte, err error) {
	s.recordEvents(events)
	s.mu.Lock()
	s.pending = append(s.pending, events...)
	s.err = err
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Read implements io.Reader for the HTTP server. It returns the available events, or an SSE
// comment if there are none within the keepalive interval.
func (s *eventStream) Read(p []byte) (int, error) {
	for len(s.readable) == 0 {
		if err := s.takePending(); err != nil {
			return 0, err
		}
		if len(s.readable) > 0 {
			break
		}
		s.timer.Reset(s.x.entry.limits.KeepaliveInterval)
		select {
		case <-s.ready:
		case <-s.timer.C:
			s.readable = []byte(sseKeepalive)
		}
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.x.entry.limits.WriteTimeout))
	n := copy(p, s.readable)
	s.readable = s.readable[n:]
	return n, nil
}

// takePending makes the pending events readable; without any, it returns the stream's error.
func (s *eventStream) takePending() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return s.err
	}
	s.readable, s.pending = s.pending, nil
	return nil
}

// Close implements io.Closer. The HTTP server calls it after the body was written or a
// write failed. A run that is still in progress is cancelled.
func (s *eventStream) Close() error {
	select {
	case <-s.pumpDone:
	default:
		s.x.cancel(callerwatch.ErrDisconnected)
	}
	<-s.pumpDone
	s.timer.Stop()
	s.x.entry.counters.streams.Add(-1)
	s.x.end()
	return nil
}
