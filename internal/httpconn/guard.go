package httpconn

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errAborted: the context ended while the exchange was waiting.
var errAborted = errors.New("context ended")

// guard aborts a connection when the context of the call that is waiting on
// it ends. The registration with the context outlives a call, so that a
// stream read token by token with one context registers once. A context that
// ends between two calls has no effect: only the next call's context counts.
type guard struct {
	abort func()

	mu      sync.Mutex
	done    <-chan struct{} // identifies the registered context
	stop    func() bool
	round   uint64 // tells a late callback that its context is no longer the one
	waiting bool
	aborted bool
}

func (g *guard) enter(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = true
	done := ctx.Done()
	if done == g.done {
		return nil
	}
	g.unregister()
	if done == nil {
		return nil
	}
	round := g.round
	g.done = done
	g.stop = context.AfterFunc(ctx, func() { g.ended(round) })
	return nil
}

// cancel aborts the connection at once.
func (g *guard) cancel() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborted = true
	g.abort()
}

func (g *guard) leave() {
	g.mu.Lock()
	g.waiting = false
	g.mu.Unlock()
}

// release ends the registration. It returns false where the connection was
// aborted and must not be used again.
func (g *guard) release() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting = false
	g.unregister()
	return !g.aborted
}

func (g *guard) wasAborted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aborted
}

func (g *guard) unregister() {
	g.round++
	if g.stop != nil {
		g.stop()
	}
	g.done, g.stop = nil, nil
}

func (g *guard) ended(round uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.round == round && g.waiting {
		g.aborted = true
		g.abort()
	}
}

// arm sets a deadline unless the exchange was aborted. Without the lock a
// fresh deadline could undo the abort's, and the cancellation be lost.
func (g *guard) arm(set func(time.Time) error, limit time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.aborted {
		return errAborted
	}
	return set(time.Now().Add(limit))
}
