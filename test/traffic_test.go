package test

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"
)

// recorder collects results from many callers.
type recorder struct {
	mu      sync.Mutex
	results []result
}

func (r *recorder) add(c call, a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result{call: c, answer: a})
}

func (r *recorder) all() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.results...)
}

// count returns the number of results so far.
func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.results)
}

// load is closed-loop traffic: each caller sends one request after the other.
type load struct {
	recorder
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// startLoad sends echo requests of the given length from a number of callers,
// each request to the address that pick returns. Cancelling the load lets
// requests in flight finish.
func startLoad(ctx context.Context, callers, words int, pick func(caller, n int) string) *load {
	l := &load{}
	sendCtx, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	for caller := range callers {
		l.wg.Go(func() {
			for n := 0; sendCtx.Err() == nil; n++ {
				c, _ := echoCall(caller, n, words)
				l.add(c, chat(ctx, pick(caller, n), c))
			}
		})
	}
	return l
}

// stop starts no new requests, waits for those in flight, and returns all results.
func (l *load) stop() []result {
	l.cancel()
	l.wg.Wait()
	return l.all()
}

// streams are long answers, one per caller, that stream concurrently.
type streams struct {
	recorder
	wg      conc.WaitGroup
	started atomic.Int32 // streams that have received text
}

// streamWords makes a slowEngine stream an answer for more than a second.
const streamWords = 60

// startStreams sends one long streamed echo request from each caller.
func startStreams(ctx context.Context, callers, round int, pick func(caller, n int) string) *streams {
	s := &streams{}
	for caller := range callers {
		s.wg.Go(func() {
			c, _ := echoCall(caller, 2*round, streamWords) // even: streamed
			c.onFirstText = func() { s.started.Add(1) }
			s.add(c, chat(ctx, pick(caller, 0), c))
		})
	}
	return s
}
