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

// Engine is the stand-in's core. It runs in real time: a sound way to test it
// without waiting is testing/synctest. It is safe for concurrent use.
type Engine struct {
	opts Options
	stop context.CancelFunc
	loop conc.WaitGroup
	wake chan struct{} // there is something to do

	mu          sync.Mutex
	faults      Faults
	incarnation uint64
	downUntil   time.Time
	fronts      []front         // called with mu held
	runs        map[string]*run // the newest of each request id
	waiting     []*run
	batch       []*run
	kvHeld      int
	ended       []*run // in the order of their end
	records     []*RunRecord
	cache       *prefixCache
	models      []heldModel
	orders      []OrderRecord
	fence       uint64 // highest fencing token seen
	draining    bool
	history     []timedLoad
	cursors     uint64
	silenced    uint64  // cursors up to this one are silent
	crossing    *cursor // waits for another answer to be swapped with
}

// front is a way in to an engine from outside its process.
type front interface {
	// Shut breaks all connections and refuses new ones for a time.
	Shut(d time.Duration)
	// Silence makes all open connections silent for good.
	Silence()
}

// New starts an engine. Close stops it.
func New(o Options) (*Engine, error) {
	if err := o.Faults.check(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{opts: o.withDefaults(), stop: stop, wake: make(chan struct{}, 1)}
	e.incarnation = uint64(time.Now().UnixNano())
	e.boot()
	e.setFaults(o.Faults)
	e.loop.Go(func() { e.steps(ctx) })
	return e, nil
}

// Close stops the engine; streams see a crash.
func (e *Engine) Close() {
	e.mu.Lock()
	e.loseRuns(time.Now())
	e.mu.Unlock()
	e.stop()
	e.loop.Wait()
}

// boot sets the state of a new incarnation.
func (e *Engine) boot() {
	e.runs = map[string]*run{}
	e.waiting, e.batch, e.ended, e.kvHeld = nil, nil, nil, 0
	e.cache = newPrefixCache(e.opts.CacheBlocks, e.faults.DropEvents)
	e.models, e.fence, e.draining, e.history, e.crossing = nil, 0, false, nil, nil
	for _, m := range e.opts.Models {
		e.models = append(e.models, heldModel{Model: m})
	}
}

// Runs returns the run log: every run that the engine took on, oldest first.
// It outlives a crash.
func (e *Engine) Runs() []RunRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]RunRecord, len(e.records))
	for i, r := range e.records {
		out[i] = *r
	}
	return out
}

// Faults returns the faults that are switched on.
func (e *Engine) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) error {
	if err := f.check(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setFaults(f)
	return nil
}

func (e *Engine) setFaults(f Faults) {
	if f.Silent != SilenceOff && f.Silent != e.faults.Silent {
		e.silenced = e.cursors
		for _, f := range e.fronts {
			f.Silence()
		}
	}
	e.faults = f
	e.cache.drop = f.DropEvents
}

// Crash crashes the engine: it loses everything and stays away for its
// restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(time.Now())
}

func (e *Engine) crash(now time.Time) {
	e.loseRuns(now)
	e.boot()
	e.incarnation++
	e.downUntil = now.Add(ms(e.opts.RestartMs))
	for _, f := range e.fronts {
		f.Shut(ms(e.opts.RestartMs))
	}
}

func (e *Engine) loseRuns(now time.Time) {
	for _, x := range slices.Concat(e.waiting, e.batch, e.ended) {
		x.broken = true
		x.end(OutcomeCrashed, now)
		x.wake()
	}
}

func (e *Engine) addFront(f front) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fronts = append(e.fronts, f)
}

// start takes a request on.
func (e *Engine) start(r port.Run) (*cursor, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if err := e.refusal(&r, now); err != nil {
		return nil, err
	}
	x := newRun(r, now)
	x.visibleAt = now.Add(ms(e.faults.AnswerDelayMs))
	e.runs[r.RequestID] = x
	e.records = append(e.records, x.record)
	e.waiting = append(e.waiting, x)
	c := e.newCursor(x, 0)
	e.cross(c)
	e.poke()
	return c, nil
}

// refusal returns why a request will not run, or nil.
func (e *Engine) refusal(r *port.Run, now time.Time) error {
	switch {
	case e.faults.Refuse:
		return errors.Wrap(port.ErrRefusedNotRun, "told to refuse")
	case e.faults.Leaving || e.draining:
		return errors.Wrap(port.ErrRefusedNotRun, "leaving")
	case !e.holds(r.Model, r.Version, now):
		return errors.Wrapf(port.ErrRefusedNotRun, "model %q version %q is not loaded", r.Model, r.Version)
	}
	return nil
}

// resume returns a stream of a known run from an offset.
func (e *Engine) resume(id string, offset int) (*cursor, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.runs[id]
	if !ok || offset < 0 || offset > x.generated {
		return nil, errors.Wrapf(port.ErrUnknownRun, "request %s at %d", id, offset)
	}
	return e.newCursor(x, offset), nil
}

func (e *Engine) newCursor(x *run, offset int) *cursor {
	e.cursors++
	c := &cursor{
		e: e, run: x, id: x.req.RequestID, serial: e.cursors, ready: make(chan struct{}, 1),
		offset: offset, at: advance(x.text, 0, offset),
	}
	x.attach(c)
	return c
}

// cross swaps the answers of two streams where the fault is on.
func (e *Engine) cross(c *cursor) {
	if e.faults.CrossAnswers == 0 {
		return
	}
	other := e.crossing
	if other == nil || other.run.ended {
		e.crossing = c
		return
	}
	e.crossing = nil
	e.faults.CrossAnswers--
	now := time.Now()
	a, b := c.run, other.run
	a.detach(c, now)
	b.detach(other, now)
	c.run, other.run = b, a
	a.attach(other)
	b.attach(c)
	c.offset, c.at, other.offset, other.at = 0, 0, 0, 0
}

// cancel ends a run and frees its slot. An unknown run is no error: it is not
// running, which is what was asked for.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.runs[id]
	if !ok || x.ended {
		return
	}
	x.end(OutcomeCancelled, time.Now())
	e.poke()
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default: // it is awake already
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
	return blocks[:e.cache.hit(blocks)]
}

func (e *Engine) cacheEvents(after uint64) []port.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.after(after, time.Now().Add(-ms(e.faults.ReportLagMs)))
}
