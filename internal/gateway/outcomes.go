package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// persist writes what is known of a rollout to the store where that does not have it:
// first that it runs, later its outcome. The mutex is held, the call is made without it.
func (d *deciders) persist(ctx context.Context, x *deciderEntry, decision rollout.Decision) {
	r := x.Rollout()
	if x.writing || !r.InProgress() || decision.State == rollout.Running && r.Acknowledged {
		return
	}
	r.State = decision.State
	x.writing = true
	knownSince, firstWrite := x.KnownAt(), !r.Acknowledged
	go func() {
		d.writeOutcome(ctx, r)
		if firstWrite {
			d.writeRecord(ctx, r.ID, knownSince)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		x.writing = false
	}()
}

// writeOutcome writes a rollout's state once. Where that has changed meanwhile, or the
// write's fate is unknown, it is read again: whoever wrote first has decided.
func (d *deciders) writeOutcome(ctx context.Context, r rollout.Rollout) {
	s := d.state
	log := d.log.WithFields(logrus.Fields{"service": r.Service, "to": r.To, "state": r.State.String()})
	value, err := s.platform.EncodeOutcome(r)
	if err != nil {
		log.WithError(err).Error("Outcome can't be encoded.")
		return
	}
	written, err := s.platform.Status.UpdateStatus(ctx, s.platform.RolloutsKind, r.Service, value, objectstore.Version(r.Revision))
	if err == nil {
		r.Revision, r.Acknowledged = uint64(written), true
		s.recordOutcome(r)
		log.WithField("revision", written).Info("Rollout's state is written.")
		return
	}
	log.WithError(err).Warn("Rollout's state is not written.")
	if errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrUnknownOutcome) {
		d.reread(ctx, r.Service)
	}
}

// rolloutReadTimeout bounds reading a rollout again: the next tick tries anew.
const rolloutReadTimeout = 400 * time.Millisecond

func (d *deciders) reread(ctx context.Context, service string) {
	s := d.state
	ctx, cancel := context.WithTimeout(ctx, rolloutReadTimeout)
	defer cancel()
	o, err := s.platform.Store.Get(ctx, s.platform.RolloutsKind, service)
	if err != nil {
		d.log.WithField("service", service).WithError(err).Warn("Rollout can't be read again.")
		return
	}
	s.recordOutcome(s.decodeRollout(o))
}
