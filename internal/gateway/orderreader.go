package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

const (
	// ordersInterval is how often the orders are read although the watch tells of no
	// change; ordersIntervalSoon the same while a rollout runs or servers wait for them.
	ordersInterval     = 20 * time.Second
	ordersIntervalSoon = time.Second
)

// restsFor is how often a daemon that does not read the orders looks whether it has to.
const restsFor = 500 * time.Millisecond

// restsFromOrders tells whether a daemon that is not one of the readers can leave the
// orders to them: they tell of each change. It can't where servers wait for the orders,
// or a rollout runs, and none of them answers.
//
// What goes wrong where each daemon reads them at its start and at intervals: the
// store's calls grow with the fleet though there is no order.
func (r *reader) restsFromOrders() bool { return r.told() || !r.state.ordersWanted() }

// ordersEvery is how often the orders are read.
func (r *reader) ordersEvery() time.Duration {
	if r.state.ordersWanted() {
		return ordersIntervalSoon
	}
	return ordersInterval
}

func (r *reader) replaceOrders(l objectstore.List) bool {
	all := make([]rollout.Order, 0, len(l.Objects))
	for _, o := range l.Objects {
		if order, ok := r.decodeOrder(o); ok {
			all = append(all, order)
		}
	}
	r.state.replaceOrders(all, l.Version)
	return true
}

func (r *reader) changeOrder(e objectstore.Event, as objectstore.Version) {
	if e.Deleted {
		r.state.removeOrder(e.Object.Name, e.Object.Version, as)
		return
	}
	if order, ok := r.decodeOrder(e.Object); ok {
		r.state.putOrder(order, as)
	}
}

// decodeOrder decodes an order. One that can't be read is left out, and told: the
// servers that it would bring into use wait, and the old ones serve on.
func (r *reader) decodeOrder(o objectstore.Object) (rollout.Order, bool) {
	order, err := r.state.platform.DecodeOrder(o)
	if err != nil {
		r.state.log.WithField("service", o.Name).WithField("revision", o.Version).WithError(err).Error("Rollout order can't be read.")
		return rollout.Order{}, false
	}
	return order, true
}
