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

// errIncomplete ends the body of a stream whose answer is not whole. It makes
// the HTTP server close the connection without the body's last chunk, so that
// the caller's library sees a broken body, never a finished one.
var errIncomplete = errors.New("answer cut short")

// eventStream is the body of a streamed answer. A goroutine of its own reads
// the engine's chunks into it; the HTTP server's goroutine reads it. So a
// caller that reads slowly does not hold up the engine, and a silent engine
// does not hold up keepalives. What it holds is bounded by max_tokens.
type eventStream struct {
	x        *exchange
	answer   *answer
	format   *formatter
	conn     interface{ SetWriteDeadline(time.Time) error }
	pumpDone chan struct{} // closed when the pump has ended
	ready    chan struct{} // holds a token when pending or err changed

	mu      sync.Mutex
	pending []byte // events that the caller has not got
	err     error  // set once; what Read returns after pending

	readable   []byte // what Read is giving out
	scratch    []byte // the event being made, by the pump only
	transcript []byte // all events, while short enough for a claim to keep
	timer      *time.Timer
}

// stream waits for the first chunk, so that everything that ends a request
// before it is still a refusal with its own status, and then streams.
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

// pump moves the answer's chunks into the stream until it ends.
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

// complete ends a whole stream.
func (s *eventStream) complete(events []byte, finish string) {
	events = s.format.appendFinish(events, finish, s.answer.usage())
	s.answer.completeRun()
	s.push(events, io.EOF)
	s.x.settleClaim(request.NotRunFalse, storedAnswer(s.transcript, contentSSE, fasthttp.StatusOK))
}

// recordEvents records events for the request's claim, if it has one.
func (s *eventStream) recordEvents(events []byte) {
	if s.x.heldClaim != nil && len(s.transcript) <= claim.MaxAnswerBytes {
		s.transcript = append(s.transcript, events...)
	}
}

// push hands events to the reader; err, if any, comes after them.
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

// Read implements io.Reader for the HTTP server. Each call returns what there
// is, or a comment where there is nothing for the keepalive's time.
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

// takePending takes what the pump has left, or its error where nothing is left.
func (s *eventStream) takePending() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return s.err
	}
	s.readable, s.pending = s.pending, nil
	return nil
}

// Close implements io.Closer: the HTTP server calls it when the body was
// written or could not be written. A run that still goes on is cancelled.
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
