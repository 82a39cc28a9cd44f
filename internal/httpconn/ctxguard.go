package httpconn

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// errAborted is returned if the context ended, or Abort was called, during the exchange.
var errAborted = errors.New("context ended")

// ctxGuard aborts a connection when the context that is bound to it ends. The
// registration with the context outlives Unbind, so a stream that is read token by token
// under one context registers only once. A context that ends while it is not bound has no
// effect; only the context of the next Bind counts.
type ctxGuard struct {
	interrupt func()

	mu         sync.Mutex
	done       <-chan struct{} // of the registered context; identifies it
	stop       func() bool
	generation uint64 // of the registration; a late callback of an earlier one is ignored
	bound      bool
	aborted    bool
}

func (g *ctxGuard) bind(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	g.register(ctx)
	// An end between the check above and the registration had no effect.
	if err := ctx.Err(); err != nil {
		g.unbind()
		return err
	}
	return nil
}

// register makes the end of ctx abort the connection until unbind.
func (g *ctxGuard) register(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bound = true
	done := ctx.Done()
	if done == g.done {
		return
	}
	g.unregister()
	if done == nil {
		return
	}
	generation := g.generation
	g.done = done
	g.stop = context.AfterFunc(ctx, func() { g.contextEnded(generation) })
}

// abort aborts the connection whether or not a context is bound.
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

// release removes the registration. It returns false if the connection was aborted and
// must not be used again.
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

// setDeadline sets a deadline by set, unless the exchange was aborted. It holds the lock
// so that a new deadline can't overwrite the one that interrupt set; otherwise the
// cancellation would be lost.
func (g *ctxGuard) setDeadline(set func(time.Time) error, timeout time.Duration) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.aborted {
		return errAborted
	}
	return set(time.Now().Add(timeout))
}
