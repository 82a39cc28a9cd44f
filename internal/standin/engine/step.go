package engine

import (
	"context"
	"runtime"
	"time"
)

const (
	// spinBelow is the wait that is too short for a timer.
	spinBelow = 20 * time.Microsecond
	// catchUp is how far behind the steps may be and still be made up for:
	// timers wake late, and without it an engine would run slower than told.
	catchUp = 20 * time.Millisecond
)

// steps runs the engine's steps until ctx ends.
func (e *Engine) steps(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	begin := time.Now()
	for {
		d := e.plan(time.Now())
		if d < 0 {
			if !e.sleep(ctx, timer, e.idleTime()) {
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
		e.apply(now)
		begin = end
		if now.Sub(end) > catchUp {
			begin = now
		}
	}
}

// sleep waits for something to do. It returns false where ctx ended.
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

// idleTime is how often an engine without work forgets old runs.
func (e *Engine) idleTime() time.Duration { return max(ms(e.opts.LingerMs)/4, time.Millisecond) }

func waitUntil(ctx context.Context, timer *time.Timer, end time.Time) bool {
	d := time.Until(end)
	if d < spinBelow {
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

// plan begins a step and returns how long it takes, or a negative time where
// there is nothing to do.
func (e *Engine) plan(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(now)
	e.admit(now)
	if len(e.batch) == 0 {
		return -1
	}
	prefill := e.sharePrefill()
	d := ms(e.opts.StepMs+e.opts.SequenceMs*float64(len(e.batch))) +
		time.Duration(float64(prefill)/e.opts.PrefillPerSecond*float64(time.Second))
	return time.Duration(float64(d) / e.faults.speed())
}

// forget ends runs that nobody listens to and drops ended ones after a while.
func (e *Engine) forget(now time.Time) {
	before := now.Add(-ms(e.opts.LingerMs))
	for _, x := range e.batch {
		if x.idle(before) {
			x.end(OutcomeAbandoned, now)
		}
	}
	for _, x := range e.waiting {
		if x.idle(before) {
			x.end(OutcomeAbandoned, now)
		}
	}
	e.batch = e.dropEnded(e.batch, true)
	e.waiting = e.dropEnded(e.waiting, false)
	n := 0
	for n < len(e.ended) && e.ended[n].idle(before) {
		if x := e.ended[n]; e.runs[x.req.RequestID] == x {
			delete(e.runs, x.req.RequestID)
		}
		e.ended[n] = nil
		n++
	}
	e.ended = e.ended[n:]
}

// dropEnded moves ended runs out of a list; those of the batch free memory.
func (e *Engine) dropEnded(list []*run, batch bool) []*run {
	kept := list[:0]
	for _, x := range list {
		if !x.ended {
			kept = append(kept, x)
			continue
		}
		if batch {
			e.kvHeld -= x.memory()
		}
		e.ended = append(e.ended, x)
	}
	clear(list[len(kept):])
	return kept
}

// admit gives free slots to waiting requests, first come, first served. A
// request larger than the whole memory runs alone.
func (e *Engine) admit(now time.Time) {
	for len(e.waiting) > 0 && len(e.batch) < e.opts.Slots {
		x := e.waiting[0]
		if len(e.batch) > 0 && e.kvHeld+x.memory() > e.opts.KVTokens {
			return
		}
		if e.faults.crashes(x.req.Prompt) {
			e.crash(now)
			return
		}
		e.waiting[0] = nil
		e.waiting = e.waiting[1:]
		e.batch = append(e.batch, x)
		e.kvHeld += x.memory()
		x.begin(e.cache.hit(x.req.Blocks))
	}
}

// sharePrefill gives the step's prefill budget out in order and returns how
// much of it was used.
func (e *Engine) sharePrefill() int {
	left := e.opts.PrefillChunk
	for _, x := range e.batch {
		x.share = min(x.prefillLeft, left)
		left -= x.share
	}
	return e.opts.PrefillChunk - left
}

// apply ends a step: prefill advances, and each decoding sequence has one
// more token. The step that completes a prefill yields the first token.
func (e *Engine) apply(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.batch {
		if x.ended {
			continue
		}
		if x.prefillLeft > 0 {
			x.prefillLeft -= x.share
			if x.prefillLeft > 0 {
				continue
			}
			e.cache.store(x.req.Blocks, now)
		}
		x.generated = min(x.generated+1, x.total)
		if x.generated == x.total {
			x.end(Outcome(x.finish), now)
		} else {
			x.wake()
		}
	}
	e.remember(now)
}
