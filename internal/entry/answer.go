package entry

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// answer reads the chunks of one run. It resumes the stream when the connection
// breaks, and checks that the answer is complete: contiguous offsets and an End
// chunk. It is used by one goroutine at a time.
type answer struct {
	x      *exchange
	grant  broker.Grant
	engine engine.Engine
	stream engine.Stream // nil: must be resumed
	measurements

	nextOffset int  // offset of the next chunk
	ended      bool // the End chunk has arrived
	accepted   bool // the engine is known to have received the run
	// brokenAt is when the stream broke; it is zero once a chunk has arrived since.
	// resumedAt is when the stream was last resumed.
	brokenAt, resumedAt time.Time

	lastReport       time.Time
	lastReportTokens int // tokens at the last report
	reportCount      int
}

// errOutOfOrder: a chunk's offset is not the expected one.
var errOutOfOrder = errors.New("chunk out of order")

// errNothingSent: the dispatch right was taken, but no byte was written.
var errNothingSent = errors.New("connection lost before the first byte")

// startRun dispatches a model request and returns its answer. The caller reads
// it with Next until io.EOF, then calls completeRun; after any other error the
// answer is closed already.
func (x *exchange) startRun(r engine.Run) (*answer, error) {
	a := &answer{x: x}
	grant, err := x.dispatch(a.send(r))
	if grant == nil {
		x.settleClaim(request.NotRunTrue, nil)
		return nil, err
	}
	a.grant = grant
	a.promptTokens = r.PromptTokens
	switch {
	case err == nil:
		a.accepted = true
		return a, nil
	case errors.Is(err, engine.ErrConnectionLost), errors.Is(err, engine.ErrRequestMismatch):
		a.startResumeWindow()
		a.abandonStream(err)
		return a, nil // the first Next resumes it
	case errors.Is(err, engine.ErrNotSent):
		return nil, a.failRun(errNothingSent)
	default:
		return nil, a.failRun(err)
	}
}

// send returns the sendFunc of a run.
func (a *answer) send(r engine.Run) sendFunc {
	return func(s workspace.BackendServer, beforeSend func() error) error {
		a.engine = a.x.entry.deps.Engines.Engine(s.Address)
		r.BeforeSend = func() error {
			a.sent = time.Now()
			return beforeSend()
		}
		var err error
		a.stream, err = a.engine.Run(a.x.ctx, r)
		return err
	}
}

// Next returns the next chunk, or io.EOF after the last one. Any other error is a
// *request.Refusal; the answer is closed by then.
func (a *answer) Next(ctx context.Context) (engine.Chunk, error) {
	if a.ended {
		return engine.Chunk{}, io.EOF
	}
	for {
		if err := a.ensureStream(ctx); err != nil {
			return engine.Chunk{}, a.failRun(err)
		}
		c, err := a.stream.Next(ctx)
		if err == nil {
			err = a.acceptChunk(c)
		}
		if err == nil {
			return c, nil
		}
		a.startResumeWindow()
		if !a.canResume(ctx, err) {
			return engine.Chunk{}, a.failRun(err)
		}
		a.abandonStream(err)
	}
}

// acceptChunk checks that a chunk has the expected offset, and counts its tokens.
func (a *answer) acceptChunk(c engine.Chunk) error {
	if c.Offset != a.nextOffset {
		return errors.Wrapf(errOutOfOrder, "offset %d, want %d", c.Offset, a.nextOffset)
	}
	now := time.Now()
	a.accepted = true
	a.brokenAt = time.Time{}
	a.nextOffset += c.Tokens
	a.tokens = a.nextOffset
	if a.first.IsZero() && (c.Tokens > 0 || c.End) {
		a.first = now
	}
	if c.End {
		a.ended = true
		a.promptTokens = c.PromptTokens
		a.prefillComputed = c.PrefillComputed
		return nil
	}
	a.reportProgress(now)
	return nil
}

// maxProgressDoublings bounds the growth of the interval between reports.
const maxProgressDoublings = 3

// progressInterval returns the time until the next report after the given number of reports.
func progressInterval(base time.Duration, reports int) time.Duration {
	return base << min(max(reports-1, 0), maxProgressDoublings)
}

// ProgressReports returns the number of progress reports of an answer that is
// streamed for the given time, at the default interval. The capacity model uses it.
func ProgressReports(duration time.Duration) int {
	n := 1
	for at := progressInterval(DefaultProgressInterval, n); at <= duration; at += progressInterval(DefaultProgressInterval, n) {
		n++
	}
	return n
}

// reportProgress reports at the first token and then at intervals that double, up to
// a maximum. The first seconds show whether a server is a straggler; at a fixed
// interval, reports of long answers would be most of the messages between daemons.
func (a *answer) reportProgress(now time.Time) {
	if a.first.IsZero() || now.Sub(a.lastReport) < progressInterval(a.x.entry.limits.ProgressInterval, a.reportCount) {
		return
	}
	var perToken time.Duration
	if n := a.tokens - a.lastReportTokens; !a.lastReport.IsZero() && n > 0 {
		perToken = now.Sub(a.lastReport) / time.Duration(n)
	}
	a.grant.Progress(a.firstToken(), a.tokens, perToken)
	a.lastReport, a.lastReportTokens = now, a.tokens
	a.reportCount++
}

// startResumeWindow starts the resume window unless it is already running. A stream
// that survived its last resume for longer than the window gets a new one.
func (a *answer) startResumeWindow() {
	now := time.Now()
	if a.brokenAt.IsZero() || now.Sub(a.resumedAt) > a.x.entry.limits.ResumeWindow {
		a.brokenAt = now
	}
}

// abandonStream closes a broken stream; ensureStream resumes it.
func (a *answer) abandonStream(err error) {
	a.closeStream()
	a.x.entry.counters.resumes[resumeCauseOf(err)].Add(1)
	a.x.log.WithError(err).WithField("offset", a.nextOffset).Info("stream lost, resuming")
}

// canResume reports whether the rest of the answer may still arrive.
func (a *answer) canResume(ctx context.Context, err error) bool {
	if ctx.Err() != nil || a.resumeWindowExpired() {
		return false
	}
	return errors.Is(err, engine.ErrConnectionLost) || errors.Is(err, engine.ErrRequestMismatch) ||
		errors.Is(err, errOutOfOrder) || errors.Is(err, io.EOF)
}

// resumeWindowExpired reports whether the stream has been broken for longer than the
// window. Time without chunks before the break does not count: a long prefill
// produces none either.
func (a *answer) resumeWindowExpired() bool {
	return !a.brokenAt.IsZero() && time.Since(a.brokenAt) > a.x.entry.limits.ResumeWindow
}

func resumeCauseOf(err error) resumeCause {
	switch {
	case errors.Is(err, engine.ErrRequestMismatch):
		return resumeMismatch
	case errors.Is(err, errOutOfOrder):
		return resumeGap
	default:
		return resumeConnectionLost
	}
}

func (a *answer) closeStream() {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
}

// completeRun releases the grant of a run whose whole answer was read.
func (a *answer) completeRun() {
	now := time.Now()
	a.closeStream()
	a.x.entry.counters.prefillComputed.Add(int64(a.prefillComputed))
	a.x.entry.counters.countAnswer(a.x.spec, a.measurements, now)
	a.grant.Release(a.completion(pool.OutcomeDone, now))
}

// failRun ends a run without a complete answer and returns the refusal.
func (a *answer) failRun(err error) error {
	a.closeStream()
	r, outcome := a.runRefusal(err)
	end := a.completion(outcome, time.Now())
	if outcome == pool.OutcomeCanceled || outcome == pool.OutcomeStreamLost {
		a.cancelRun()
	}
	if r.NotRun != request.NotRunTrue {
		a.x.entry.counters.prefillWasted.Add(int64(a.wastedPrefill()))
	}
	a.grant.Release(end)
	a.x.settleClaim(r.NotRun, nil)
	return r
}

// wastedPrefill estimates the prompt tokens computed for an answer that was lost:
// the engine's figure if it reported one, else the whole prompt.
func (a *answer) wastedPrefill() int {
	if a.prefillComputed > 0 {
		return a.prefillComputed
	}
	return a.promptTokens
}
