package gateway

import (
	"context"
	"sync"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// poolRemovals tells those that wait for a slot when a pool of their service is there no more.
// It is safe for concurrent use.
//
// What goes wrong without it: a version is promoted, or a pool's last server goes; what
// waits in that pool has no owner any more, and is refused when its patience is over,
// though the servers are in another pool now.
type poolRemovals struct {
	signals sync.Map // service to *wait
}

// removalSignal is a span in which no pool of a service goes.
type removalSignal struct {
	ctx    context.Context
	cancel context.CancelFunc
}

func newRemovalSignal() *removalSignal {
	ctx, cancel := context.WithCancel(context.Background())
	return &removalSignal{ctx, cancel}
}

// contextFor returns a context that ends when a pool of the service goes.
func (r *poolRemovals) contextFor(service string) context.Context {
	if s, ok := r.signals.Load(service); ok {
		return s.(*removalSignal).ctx
	}
	s, _ := r.signals.LoadOrStore(service, newRemovalSignal())
	return s.(*removalSignal).ctx
}

// update takes the snapshot that has taken the place of another one, which may be nil.
// Whoever is woken finds the new one.
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
