package httpconn

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errAborted: the context ended while the exchange was waiting.
var errAborted = errors.New("context ended")

// ctxGuard aborts a connection when the context of the call that is waiting on
// it ends. The registration with the context outlives a call, so that a
// stream read token by token with one context registers once. A context that
// ends between two calls has no effect: only the next call's context counts.
type ctxGuard struct {
	interrupt func()

	mu         sync.Mutex
	done       <-chan struct{} // identifies the registered context
	stop       func() bool
	generation uint64 // tells a late callback that its context is no longer the one
	bound      bool
	aborted    bool
}

func (g *ctxGuard) bind(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bound = true
	done := ctx.Done()
	if done == g.done {
		return nil
	}
	g.unregister()
	if done == nil {
		return nil
	}
	generation := g.generation
	g.done = done
	g.stop = context.AfterFunc(ctx, func() { g.contextEnded(generation) })
	return nil
}

// abort aborts the connection at once.
func (g *ctxGuard) abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.aborted = true
	g.interrupt()
}

func (g *ctxGuard) unbind() {
	g.mu.Lock()
	g.bound = false
	g.mu.Unlock()
}

// release ends the registration. It returns false where the connection was
// aborted and must not be used again.
func (g *ctxGuard) release() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bound = false
	g.unregister()
	return !g.aborted
}

func (g *ctxGuard) wasAborted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.aborted
}

func (g *ctxGuard) unregister() {
	g.generation++
	if g.stop != nil {
		g.stop()
	}
	g.done, g.stop = nil, nil
}

func (g *ctxGuard) contextEnded(generation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.generation == generation && g.bound {
		g.aborted = true
		g.interrupt()
	}
}

// setDeadline sets a deadline unless the exchange was aborted. Without the lock a
// fresh deadline could undo the abort's, and the cancellation be lost.
func (g *ctxGuard) setDeadline(set func(time.Time) error, timeout time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.aborted {
		return errAborted
	}
	return set(time.Now().Add(timeout))
}
