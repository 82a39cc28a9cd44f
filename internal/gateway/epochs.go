package gateway

import (
	"context"
	"sync"

	"github.com/lycheekeel/lycheekeel/rollout"
)

// epochs tells those that wait for a slot when the servers of their service move to
// other pools. It is safe for concurrent use.
//
// What goes wrong without it: a daemon learns that a version was taken; what waits there
// in the pool of the old one, which has no server any more, is refused when its patience
// is over.
type epochs struct {
	all sync.Map // service to *epoch
	// orders are those by which the servers are divided; used with the state's mutex.
	orders map[string]rollout.Order
}

// epoch is a span in which a service's servers stay in their pools.
type epoch struct {
	ctx context.Context
	end context.CancelFunc
}

func newEpoch() *epoch {
	ctx, end := context.WithCancel(context.Background())
	return &epoch{ctx, end}
}

// of returns a context that ends when the service's servers move.
func (e *epochs) of(service string) context.Context {
	if x, ok := e.all.Load(service); ok {
		return x.(*epoch).ctx
	}
	x, _ := e.all.LoadOrStore(service, newEpoch())
	return x.(*epoch).ctx
}

// divided takes the orders by which the servers are divided from now on.
func (e *epochs) divided(orders rollout.Orders) {
	now := make(map[string]rollout.Order, len(orders))
	for service, o := range orders {
		now[service] = rollout.Order{ID: o.ID, State: o.State}
	}
	before := e.orders
	e.orders = now
	for service, o := range now {
		if was, ok := before[service]; !ok || was != o {
			e.next(service)
		}
	}
	for service := range before {
		if _, ok := now[service]; !ok {
			e.next(service)
		}
	}
}

// next begins a service's next epoch. Whoever is woken finds it.
func (e *epochs) next(service string) {
	if was, ok := e.all.Swap(service, newEpoch()); ok {
		was.(*epoch).end()
	}
}
