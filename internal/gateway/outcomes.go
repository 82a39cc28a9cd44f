package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// write writes what is known of a rollout to the store where that does not have it:
// first that it runs, later its outcome. The mutex is held, the call is made without it.
func (d *deciders) write(ctx context.Context, x *deciding, v rollout.Verdict) {
	order := x.Order()
	if x.writing || order.State != rollout.Running || v.State == rollout.Running && order.Acknowledged {
		return
	}
	order.State = v.State
	x.writing = true
	known, first := x.Known(), !order.Acknowledged
	go func() {
		d.writeOutcome(ctx, order)
		if first {
			d.writeRecord(ctx, order.ID, known)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		x.writing = false
	}()
}

// writeOutcome writes an order's state once. Where the order has changed meanwhile, or
// the write's fate is unknown, the order is read again: whoever wrote first has decided.
func (d *deciders) writeOutcome(ctx context.Context, order rollout.Order) {
	s := d.state
	log := d.log.WithFields(logrus.Fields{"service": order.Service, "to": order.To, "state": order.State.String()})
	value, err := s.platform.EncodeOutcome(order)
	if err != nil {
		log.WithError(err).Error("Outcome can't be encoded.")
		return
	}
	written, err := s.platform.Status.UpdateStatus(ctx, s.platform.RolloutsKind, order.Service, value, objectstore.Version(order.Revision))
	if err == nil {
		order.Revision, order.Acknowledged = uint64(written), true
		s.noteOutcome(order)
		log.WithField("revision", written).Info("Rollout's state is written.")
		return
	}
	log.WithError(err).Warn("Rollout's state is not written.")
	if errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrUnknownOutcome) {
		d.readAgain(ctx, order.Service)
	}
}

// readTimeout bounds reading an order again: the next tick tries anew.
const readTimeout = 400 * time.Millisecond

func (d *deciders) readAgain(ctx context.Context, service string) {
	s := d.state
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err := s.platform.Store.Get(ctx, s.platform.RolloutsKind, service)
	if err != nil {
		d.log.WithField("service", service).WithError(err).Warn("Order can't be read again.")
		return
	}
	order, err := s.platform.DecodeOrder(o)
	if err != nil {
		d.log.WithField("service", service).WithError(err).Error("Rollout order can't be read.")
		return
	}
	s.noteOutcome(order)
}
