package gateway

import (
	"context"
	"sync"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// poolRemovals wakes requests that wait for a slot when a pool of their service is removed.
// It is safe for concurrent use.
//
// Without it, when a version is promoted or a pool's last server leaves, requests that
// wait in that pool, which has no owner any more, would wait until they are refused, though
// the servers are in another pool now.
type poolRemovals struct {
	signals sync.Map // service to *removalSignal
}

// removalSignal is cancelled when a pool of its service is removed.
type removalSignal struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newRemovalSignal() *removalSignal {
	ctx, cancel := context.WithCancel(context.Background())
	return &removalSignal{ctx, cancel}
}

// contextFor returns a context that ends when a pool of the service is removed.
func (r *poolRemovals) contextFor(service string) context.Context {
	if s, ok := r.signals.Load(service); ok {
		return s.(*removalSignal).ctx
	}
	s, _ := r.signals.LoadOrStore(service, newRemovalSignal())
	return s.(*removalSignal).ctx
}

// update compares the snapshot with the one that it has replaced, which may be nil. It must
// be called after next has been stored, so that waiters that wake find it.
func (r *poolRemovals) update(prev, next *workspace.Snapshot) {
	if prev == nil {
		return
	}
	affected := map[string]bool{}
	for name, p := range prev.Pools {
		if next.Pools[name] == nil {
			affected[p.Model] = true
		}
	}
	for service := range affected {
		if s, ok := r.signals.Swap(service, newRemovalSignal()); ok {
			s.(*removalSignal).cancel()
		}
	}
}
