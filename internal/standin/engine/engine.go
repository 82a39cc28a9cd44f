package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	port "github.com/lycheekeel/lycheekeel/engine"
)

// Engine is a simulated model engine. It runs in real time; tests can use the
// fake clock of testing/synctest to avoid waiting. It is safe for concurrent use.
type Engine struct {
	opts Options
	stop context.CancelFunc
	loop conc.WaitGroup
	wake chan struct{} // signals the step loop that there is work

	mu           sync.Mutex
	faults       Faults
	incarnation  uint64
	downUntil    time.Time
	frontends    []frontend      // called with mu held
	runs         map[string]*run // the newest run of each request id
	waiting      []*run
	batch        []*run
	kvUsed       int
	ended        []*run // in the order in which they ended
	records      []*RunRecord
	cache        *prefixCache
	models       []loadedModel
	orders       []OrderRecord
	highestToken uint64 // highest fencing token seen
	draining     bool
	loadHistory  []loadSample
	lastSerial   uint64
	silencedUpTo uint64  // cursors with a serial up to this one are silent
	swapPending  *cursor // waits for another stream to swap answers with
}

// frontend is a listener that makes an engine reachable from other processes.
type frontend interface {
	// TakeDown closes all connections and refuses new ones for a duration.
	TakeDown(d time.Duration)
	// Silence makes all open connections silent permanently.
	Silence()
}

// New starts an engine. Close stops it.
func New(o Options) (*Engine, error) {
	if err := o.Faults.validate(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{opts: o.withDefaults(), stop: stop, wake: make(chan struct{}, 1)}
	e.incarnation = uint64(time.Now().UnixNano())
	e.resetState()
	e.setFaults(o.Faults)
	e.loop.Go(func() { e.runSteps(ctx) })
	return e, nil
}

// Close stops the engine. To open streams it looks like a crash.
func (e *Engine) Close() {
	e.mu.Lock()
	e.failRuns(time.Now())
	e.mu.Unlock()
	e.stop()
	e.loop.Wait()
}

// resetState sets the initial state of an incarnation.
func (e *Engine) resetState() {
	e.runs = map[string]*run{}
	e.waiting, e.batch, e.ended, e.kvUsed = nil, nil, nil, 0
	e.cache = newPrefixCache(e.opts.CacheBlocks, e.faults.DropEvents)
	e.models, e.highestToken, e.draining, e.loadHistory, e.swapPending = nil, 0, false, nil, nil
	for _, m := range e.opts.Models {
		e.models = append(e.models, loadedModel{Model: m})
	}
}

// Runs returns the run log: every run that the engine accepted, oldest first.
// The log survives a crash.
func (e *Engine) Runs() []RunRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]RunRecord, len(e.records))
	for i, r := range e.records {
		out[i] = *r
	}
	return out
}

// Faults returns the active faults.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setFaults(f)
	return nil
}

func (e *Engine) setFaults(f Faults) {
	if f.Silent != SilenceOff && f.Silent != e.faults.Silent {
		e.silencedUpTo = e.lastSerial
		for _, f := range e.frontends {
			f.Silence()
		}
	}
	e.faults = f
	e.cache.dropEvery = f.DropEvents
}

// Crash crashes the engine: it loses its state and is unreachable for
// Options.RestartMs.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(time.Now())
}

func (e *Engine) crash(now time.Time) {
	e.failRuns(now)
	e.resetState()
	e.incarnation++
	e.downUntil = now.Add(ms(e.opts.RestartMs))
	for _, f := range e.frontends {
		f.TakeDown(ms(e.opts.RestartMs))
	}
}

func (e *Engine) failRuns(now time.Time) {
	for _, r := range slices.Concat(e.waiting, e.batch, e.ended) {
		r.crashed = true
		r.end(OutcomeCrashed, now)
		r.notifyStreams()
	}
}

func (e *Engine) addFrontend(f frontend) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frontends = append(e.frontends, f)
}

// start accepts a request and queues its run.
func (e *Engine) start(req port.Run) (*cursor, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.refusal(&req, now); err != nil {
		return nil, err
	}
	r := newRun(req, now)
	r.visibleAt = now.Add(ms(e.faults.AnswerDelayMs))
	e.runs[req.RequestID] = r
	e.records = append(e.records, r.record)
	e.waiting = append(e.waiting, r)
	c := e.newCursor(r, 0)
	e.swapAnswers(c)
	e.wakeLoop()
	return c, nil
}

// refusal returns the reason why a request will not run, or nil.
func (e *Engine) refusal(req *port.Run, now time.Time) error {
	switch {
	case e.faults.Refuse:
		return errors.Wrap(port.ErrRefusedNotRun, "told to refuse")
	case e.faults.Leaving || e.draining:
		return errors.Wrap(port.ErrRefusedNotRun, "leaving")
	case !e.serves(req.Model, req.Version, now):
		return errors.Wrapf(port.ErrRefusedNotRun, "model %q version %q is not loaded", req.Model, req.Version)
	}
	return nil
}

// resume returns a stream of a known run from an offset in tokens.
func (e *Engine) resume(id string, offset int) (*cursor, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok || offset < 0 || offset > r.generatedTokens {
		return nil, errors.Wrapf(port.ErrUnknownRun, "request %s at %d", id, offset)
	}
	return e.newCursor(r, offset), nil
}

func (e *Engine) newCursor(r *run, offset int) *cursor {
	e.lastSerial++
	c := &cursor{
		engine: e, run: r, requestID: r.req.RequestID, serial: e.lastSerial, ready: make(chan struct{}, 1),
		offset: offset, byteOffset: advance(r.answer, 0, offset),
	}
	r.attach(c)
	return c
}

// swapAnswers swaps the answers of two new streams if Faults.CrossAnswers asks
// for it.
func (e *Engine) swapAnswers(c *cursor) {
	if e.faults.CrossAnswers == 0 {
		return
	}
	other := e.swapPending
	if other == nil || other.run.ended {
		e.swapPending = c
		return
	}
	e.swapPending = nil
	e.faults.CrossAnswers--
	now := time.Now()
	a, b := c.run, other.run
	a.detach(c, now)
	b.detach(other, now)
	c.run, other.run = b, a
	a.attach(other)
	b.attach(c)
	c.offset, c.byteOffset, other.offset, other.byteOffset = 0, 0, 0, 0
}

// cancel ends a run and frees its slot. It is idempotent: an unknown or ended
// run is no error.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.runs[id]
	if !ok || r.ended {
		return
	}
	r.end(OutcomeCancelled, time.Now())
	e.wakeLoop()
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default: // a wakeup is already pending
	}
}

func (e *Engine) importBlocks(blocks []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.store(blocks, time.Now())
}

func (e *Engine) exportBlocks(blocks []uint64) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return blocks[:e.cache.matchPrefix(blocks)]
}

func (e *Engine) cacheEvents(after uint64) []port.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.eventsAfter(after, time.Now().Add(-ms(e.faults.ReportLagMs)))
}
