package engine

import (
	"context"
	"runtime"
	"time"
)

const (
	// minTimerWait is the shortest wait for which a timer is used. Shorter
	// waits only yield the processor.
	minTimerWait = 20 * time.Microsecond
	// maxCatchUp is the largest delay of a step that the next steps make up
	// for. Timers fire late, so without it an engine would run slower than
	// configured.
	maxCatchUp = 20 * time.Millisecond
)

// runSteps runs the engine's steps until ctx ends.
func (e *Engine) runSteps(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	begin := time.Now()
	for {
		d := e.startStep(time.Now())
		if d < 0 {
			if !e.sleep(ctx, timer, e.expiryInterval()) {
				return
			}
			begin = time.Now()
			continue
		}
		end := begin.Add(d)
		if !waitUntil(ctx, timer, end) {
			return
		}
		now := time.Now()
		e.completeStep(now)
		begin = end
		if now.Sub(end) > maxCatchUp {
			begin = now
		}
	}
}

// sleep waits for work, but at most for d. It returns false if ctx ended.
func (e *Engine) sleep(ctx context.Context, timer *time.Timer, d time.Duration) bool {
	timer.Reset(d)
	select {
	case <-e.wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// expiryInterval is how often an idle engine removes expired runs.
func (e *Engine) expiryInterval() time.Duration { return max(ms(e.opts.LingerMs)/4, time.Millisecond) }

func waitUntil(ctx context.Context, timer *time.Timer, end time.Time) bool {
	d := time.Until(end)
	if d < minTimerWait {
		runtime.Gosched()
		return ctx.Err() == nil
	}
	timer.Reset(d)
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// startStep starts a step and returns its duration, which is negative if there
// is no work.
func (e *Engine) startStep(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireRuns(now)
	e.admit(now)
	if len(e.batch) == 0 {
		return -1
	}
	prefill := e.allotPrefill()
	d := ms(e.opts.StepMs+e.opts.SequenceMs*float64(len(e.batch))) +
		time.Duration(float64(prefill)/e.opts.PrefillPerSecond*float64(time.Second))
	return time.Duration(float64(d) / e.faults.speed())
}

// expireRuns ends runs that have had no stream for Options.LingerMs, and removes
// runs that ended that long ago.
func (e *Engine) expireRuns(now time.Time) {
	cutoff := now.Add(-ms(e.opts.LingerMs))
	for _, r := range e.batch {
		if r.idleBefore(cutoff) {
			r.end(OutcomeAbandoned, now)
		}
	}
	for _, r := range e.waiting {
		if r.idleBefore(cutoff) {
			r.end(OutcomeAbandoned, now)
		}
	}
	e.batch = e.removeEnded(e.batch, true)
	e.waiting = e.removeEnded(e.waiting, false)
	n := 0
	for n < len(e.ended) && e.ended[n].idleBefore(cutoff) {
		if r := e.ended[n]; e.runs[r.req.RequestID] == r {
			delete(e.runs, r.req.RequestID)
		}
		e.ended[n] = nil
		n++
	}
	e.ended = e.ended[n:]
}

// removeEnded moves the ended runs of a list to e.ended and returns the others.
// If the list is the batch, it also frees their KV memory.
func (e *Engine) removeEnded(list []*run, batch bool) []*run {
	kept := list[:0]
	for _, r := range list {
		if !r.ended {
			kept = append(kept, r)
			continue
		}
		if batch {
			e.kvUsed -= r.kvTokens()
		}
		e.ended = append(e.ended, r)
	}
	clear(list[len(kept):])
	return kept
}

// admit gives free slots to waiting requests in FIFO order. A request that needs
// more than the total KV memory runs alone.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.batch) < e.opts.Slots {
		r := e.waiting[0]
		if len(e.batch) > 0 && e.kvUsed+r.kvTokens() > e.opts.KVTokens {
			return
		}
		if e.faults.crashesOn(r.req.Prompt) {
			e.crash(now)
			return
		}
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, r)
		e.kvUsed += r.kvTokens()
		r.startPrefill(e.cache.matchPrefix(r.req.Blocks))
	}
}

// allotPrefill divides the step's prefill budget among the batch in order and
// returns the number of tokens used.
func (e *Engine) allotPrefill() int {
	left := e.opts.PrefillChunk
	for _, r := range e.batch {
		r.stepPrefill = min(r.prefillLeft, left)
		left -= r.stepPrefill
	}
	return e.opts.PrefillChunk - left
}

// completeStep ends a step: it advances prefill and generates one token for each
// decoding sequence. The step that completes a prefill generates the first token.
func (e *Engine) completeStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.batch {
		if r.ended {
			continue
		}
		if r.prefillLeft > 0 {
			r.prefillLeft -= r.stepPrefill
			if r.prefillLeft > 0 {
				continue
			}
			e.cache.store(r.req.Blocks, now)
		}
		r.generatedTokens = min(r.generatedTokens+1, r.totalTokens)
		if r.generatedTokens == r.totalTokens {
			r.end(Outcome(r.finishReason), now)
		} else {
			r.notifyStreams()
		}
	}
	e.recordLoad(now)
}
