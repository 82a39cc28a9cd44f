package gateway

import (
	"time"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// ordersEnough is the age of what a reader told of the orders up to which it will do
// while servers wait for them or a rollout runs. A daemon reads by itself then.
const ordersEnough = 2 * time.Second

// ordersEvery is how often the orders are read.
func (r *reader) ordersEvery() time.Duration {
	if r.state.ordersWanted() {
		return ordersSoon
	}
	return ordersEvery
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
