package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// Backoff between attempts to resume a stream.
const (
	initialResumeBackoff = 20 * time.Millisecond
	maxResumeBackoff     = time.Second
)

// unknownRunGrace is how long "unknown run" answers are retried while no response to the
// run has arrived: an engine short of CPU may read the request after the first resume.
const unknownRunGrace = time.Second

// cancelTimeout bounds the call that cancels a run.
const cancelTimeout = 2 * time.Second

// ensureStream resumes the stream if it is closed. It never starts a run.
func (a *answer) ensureStream(ctx context.Context) error {
	if a.stream != nil {
		return nil
	}
	delay := newBackoff(initialResumeBackoff, maxResumeBackoff)
	var firstUnknown time.Time // when the engine first answered that the run is unknown
	for {
		stream, err := a.engine.Resume(ctx, string(a.x.id), a.nextOffset)
		if err == nil {
			a.stream, a.accepted, a.resumedAt = stream, true, time.Now()
			return nil
		}
		if errors.Is(err, engine.ErrUnknownRun) {
			if firstUnknown.IsZero() {
				firstUnknown = time.Now()
			}
			if a.accepted || time.Since(firstUnknown) > unknownRunGrace {
				return err
			}
		}
		if ctx.Err() != nil || a.resumeWindowExpired() {
			return err
		}
		a.x.entry.counters.resumes[resumeRetry].Add(1)
		wait.For(ctx, delay.NextBackOff())
	}
}

// runRefusal returns the refusal and outcome of a dispatched run without a complete answer.
func (a *answer) runRefusal(err error) (*request.Refusal, pool.Outcome) {
	ran := request.RanUnknown
	if !a.first.IsZero() { // without a token, the engine may have queued the run only
		ran = request.NotRunFalse
	}
	refuse := func(reason request.Reason, notRun request.NotRun, message string) *request.Refusal {
		return &request.Refusal{Reason: reason, NotRun: notRun, Message: message}
	}
	switch {
	case errors.Is(context.Cause(a.x.ctx), errRunTooLong):
		return refuse(request.ReasonAnswerIncomplete, ran, "the answer took longer than any may"), pool.OutcomeCanceled
	case a.x.ctx.Err() != nil:
		return refuse(request.ReasonCallerGone, ran, "the caller left"), pool.OutcomeCanceled
	case errors.Is(err, engine.ErrRefusedNotRun):
		return refuse(request.ReasonEngineRefused, request.NotRunTrue, "the engine refused the request and did not run it"),
			pool.OutcomeRefused
	case errors.Is(err, errNothingSent):
		return refuse(request.ReasonEngineUnreachable, request.NotRunTrue, "the connection to the engine was lost before anything was sent"),
			pool.OutcomeNotSent
	case errors.Is(err, engine.ErrUnknownRun) && a.accepted:
		return refuse(request.ReasonEngineLost, ran, "the engine lost the request"), pool.OutcomeCrashed
	case errors.Is(err, engine.ErrUnknownRun):
		// This does not prove a crash, which would make suspects of all requests that ran there.
		return refuse(request.ReasonEngineLost, ran, "the engine does not know the request"), pool.OutcomeStreamLost
	case errors.Is(err, engine.ErrRunFailed):
		return refuse(request.ReasonEngineFailed, ran, "the engine reports that it failed"), pool.OutcomeFailed
	case errors.Is(err, engine.ErrNotSent):
		return refuse(request.ReasonEngineLost, ran, "the engine can't be reached any more"), pool.OutcomeStreamLost
	default:
		return refuse(request.ReasonAnswerIncomplete, ran, "the answer could not be completed"), pool.OutcomeStreamLost
	}
}

// cancelRun tells the engine that the run's answer is no longer needed. It does not block
// the caller's goroutine.
func (a *answer) cancelRun() {
	eng, id, log := a.engine, string(a.x.id), a.x.log
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := eng.Cancel(ctx, id); err != nil {
			log.WithError(err).Debug("failed to cancel run")
		}
	}()
}
