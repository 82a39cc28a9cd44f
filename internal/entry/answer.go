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

// answer reads one run's chunks, resumes its stream where it breaks, and
// checks that the answer is whole: offsets contiguous, end seen. One goroutine
// uses it.
type answer struct {
	x      *exchange
	grant  broker.Grant
	engine engine.Engine
	stream engine.Stream // nil: to be resumed
	figures

	next   int  // offset of the next chunk
	ended  bool // the End chunk was seen
	opened bool // the engine is known to have got the run
	// broken is when the stream broke without a chunk since; resumed is when
	// it was last continued.
	broken, resumed time.Time

	reported   time.Time
	reportedAt int // tokens at the last report
	reports    int
}

// errNotWhole: the stream is not what the run's next chunk must be.
var errNotWhole = errors.New("chunk out of order")

// errNothingLeft: the dispatch right was taken, but no byte was written.
var errNothingLeft = errors.New("connection lost before the first byte")

// run dispatches a model request and returns its answer, to be read with Next
// until its end or an error, and then ended with finish where it is whole.
func (x *exchange) run(r engine.Run) (*answer, error) {
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
		a.opened = true
		return a, nil
	case errors.Is(err, engine.ErrBroken), errors.Is(err, engine.ErrCrossed):
		a.noteBreak()
		a.breakOff(err)
		return a, nil // resumed by the first Next
	case errors.Is(err, engine.ErrNotSent):
		return nil, a.fail(errNothingLeft)
	default:
		return nil, a.fail(err)
	}
}

// send returns the sender of a run.
func (a *answer) send(r engine.Run) sender {
	return func(s workspace.BackendServer, sending func() error) error {
		a.engine = a.x.entry.deps.Engines.Engine(s.Address)
		r.Sending = func() error {
			a.sent = time.Now()
			return sending()
		}
		var err error
		a.stream, err = a.engine.Run(a.x.ctx, r)
		return err
	}
}

// Next returns the next chunk, and io.EOF after the last. Any other error is
// a refusal; the answer is closed then.
func (a *answer) Next(ctx context.Context) (engine.Chunk, error) {
	if a.ended {
		return engine.Chunk{}, io.EOF
	}
	for {
		if err := a.ensureStream(ctx); err != nil {
			return engine.Chunk{}, a.fail(err)
		}
		c, err := a.stream.Next(ctx)
		if err == nil {
			err = a.take(c)
		}
		if err == nil {
			return c, nil
		}
		a.noteBreak()
		if !a.resumable(ctx, err) {
			return engine.Chunk{}, a.fail(err)
		}
		a.breakOff(err)
	}
}

// take checks that a chunk is the next one and counts it.
func (a *answer) take(c engine.Chunk) error {
	if c.Offset != a.next {
		return errors.Wrapf(errNotWhole, "offset %d, want %d", c.Offset, a.next)
	}
	now := time.Now()
	a.opened = true
	a.broken = time.Time{}
	a.next += c.Tokens
	a.tokens = a.next
	if a.first.IsZero() && (c.Tokens > 0 || c.End) {
		a.first = now
	}
	if c.End {
		a.ended = true
		a.promptTokens = c.PromptTokens
		a.prefillComputed = c.PrefillComputed
		return nil
	}
	a.progress(now)
	return nil
}

// maxProgressDoublings bounds how far the time between reports grows.
const maxProgressDoublings = 3

// progressWait returns how long after so many reports the next one is due.
func progressWait(every time.Duration, reports int) time.Duration {
	return every << min(max(reports-1, 0), maxProgressDoublings)
}

// ProgressReports returns how many reports an answer has that streams for so
// long, at the default interval. The capacity page goes by it.
func ProgressReports(streams time.Duration) int {
	n := 1
	for at := progressWait(DefaultProgressEvery, n); at <= streams; at += progressWait(DefaultProgressEvery, n) {
		n++
	}
	return n
}

// progress reports at the first token and then at intervals that double: what
// the first seconds tell decides whether a server is a straggler, and a long
// answer's many reports would be most of the messages between daemons.
func (a *answer) progress(now time.Time) {
	if a.first.IsZero() || now.Sub(a.reported) < progressWait(a.x.entry.limits.ProgressEvery, a.reports) {
		return
	}
	var perToken time.Duration
	if n := a.tokens - a.reportedAt; !a.reported.IsZero() && n > 0 {
		perToken = now.Sub(a.reported) / time.Duration(n)
	}
	a.grant.Progress(a.firstToken(), a.tokens, perToken)
	a.reported, a.reportedAt = now, a.tokens
	a.reports++
}

// noteBreak begins the window for resuming, unless it runs already. A stream
// that had gone on for a while since its last break begins a new one.
func (a *answer) noteBreak() {
	now := time.Now()
	if a.broken.IsZero() || now.Sub(a.resumed) > a.x.entry.limits.ResumeWindow {
		a.broken = now
	}
}

// breakOff gives up a broken stream, which ensureStream then resumes.
func (a *answer) breakOff(err error) {
	a.dropStream()
	a.x.entry.counters.resumes[causeOf(err)].Add(1)
	a.x.log.WithError(err).WithField("offset", a.next).Info("stream broke, resuming")
}

// resumable tells whether the rest of the answer may still come.
func (a *answer) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil || a.givenUp() {
		return false
	}
	return errors.Is(err, engine.ErrBroken) || errors.Is(err, engine.ErrCrossed) ||
		errors.Is(err, errNotWhole) || errors.Is(err, io.EOF)
}

// givenUp tells whether the stream has been broken for too long. The time
// before the break does not count: a long prefill brings no chunk either.
func (a *answer) givenUp() bool {
	return !a.broken.IsZero() && time.Since(a.broken) > a.x.entry.limits.ResumeWindow
}

func causeOf(err error) resumeCause {
	switch {
	case errors.Is(err, engine.ErrCrossed):
		return resumeCrossed
	case errors.Is(err, errNotWhole):
		return resumeGap
	default:
		return resumeBroken
	}
}

func (a *answer) dropStream() {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
}

// finish ends a whole answer that was handed to the caller.
func (a *answer) finish() {
	now := time.Now()
	a.dropStream()
	a.x.entry.counters.prefill.Add(int64(a.prefillComputed))
	a.x.entry.counters.ended(a.x.spec, a.figures, now)
	a.grant.Release(a.end(pool.OutcomeDone, now))
}

// fail ends the run without a whole answer and returns the refusal.
func (a *answer) fail(err error) error {
	a.dropStream()
	r, outcome := a.refusal(err)
	end := a.end(outcome, time.Now())
	if outcome == pool.OutcomeCanceled || outcome == pool.OutcomeStreamLost {
		a.cancelRun()
	}
	if r.NotRun != request.NotRunTrue {
		a.x.entry.counters.prefillWaste.Add(int64(a.wastedPrefill()))
	}
	a.grant.Release(end)
	a.x.settleClaim(r.NotRun, nil)
	return r
}

// wastedPrefill estimates the prompt tokens that were computed for nothing:
// what the engine reported, else the whole prompt.
func (a *answer) wastedPrefill() int {
	if a.prefillComputed > 0 {
		return a.prefillComputed
	}
	return a.promptTokens
}
