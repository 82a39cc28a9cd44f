package gateway

import (
	"context"
	"sync"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// poolGone tells those that wait for a slot when a pool of their service is there no more.
// It is safe for concurrent use.
//
// What goes wrong without it: a version is promoted, or a pool's last server goes; what
// waits in that pool has no owner any more, and is refused when its patience is over,
// though the servers are in another pool now.
type poolGone struct {
	waits sync.Map // service to *wait
}

// poolWait is a span in which no pool of a service goes.
type poolWait struct {
	ctx context.Context
	end context.CancelFunc
}

func newPoolWait() *poolWait {
	ctx, end := context.WithCancel(context.Background())
	return &poolWait{ctx, end}
}

// of returns a context that ends when a pool of the service goes.
func (g *poolGone) of(service string) context.Context {
	if w, ok := g.waits.Load(service); ok {
		return w.(*poolWait).ctx
	}
	w, _ := g.waits.LoadOrStore(service, newPoolWait())
	return w.(*poolWait).ctx
}

// replaced takes the snapshot that has taken the place of another one, which may be nil.
// Whoever is woken finds the new one.
func (g *poolGone) replaced(before, now *workspace.Snapshot) {
	if before == nil {
		return
	}
	gone := map[string]bool{}
	for name, p := range before.Pools {
		if now.Pools[name] == nil {
			gone[p.Model] = true
		}
	}
	for service := range gone {
		if w, ok := g.waits.Swap(service, newPoolWait()); ok {
			w.(*poolWait).end()
		}
	}
}
