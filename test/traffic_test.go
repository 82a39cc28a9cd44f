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

// count returns how many answers came so far.
func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.results)
}

// load is steady traffic: lanes that each send one request after the other.
type load struct {
	recorder
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

// startLoad sends echo texts of the given length from a number of lanes, each
// to the address that pick returns for it. Every request is let finish.
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

// stop sends nothing new, waits for every answer, and returns them all.
func (l *load) stop() []result {
	l.cancel()
	l.wg.Wait()
	return l.all()
}

// streams are long answers, one on each lane, that stream at the same time.
type streams struct {
	recorder
	wg      conc.WaitGroup
	started atomic.Int32 // how many have received text
}

// streamWords makes an answer that streams for more than a second.
const streamWords = 60

// startStreams sends one long streamed echo from each lane.
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
