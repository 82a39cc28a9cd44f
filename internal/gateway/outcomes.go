package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// persist writes what the store does not have of a rollout: first that it is running,
// later its final state. The mutex is held; the write runs in the background without it.
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

// writeOutcome writes a rollout's state once. If the object has changed meanwhile, or
// the outcome of the write is unknown, it is read again: the first write decides.
func (d *deciders) writeOutcome(ctx context.Context, r rollout.Rollout) {
	s := d.state
	log := d.log.WithFields(logrus.Fields{"service": r.Service, "to": r.To, "state": r.State.String()})
	value, err := s.platform.EncodeOutcome(r)
	if err != nil {
		log.WithError(err).Error("Rollout state can't be encoded.")
		return
	}
	written, err := s.platform.Status.UpdateStatus(ctx, s.platform.RolloutsKind, r.Service, value, objectstore.Version(r.Revision))
	if err == nil {
		r.Revision, r.Acknowledged = uint64(written), true
		s.recordOutcome(r)
		log.WithField("revision", written.Revision()).Info("Rollout state written.")
		return
	}
	log.WithError(err).Warn("Rollout state not written.")
	if errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrUnknownOutcome) {
		d.reread(ctx, r.Service)
	}
}

// rolloutReadTimeout bounds a read of a rollout or its record; the next tick tries again.
const rolloutReadTimeout = 400 * time.Millisecond

func (d *deciders) reread(ctx context.Context, service string) {
	s := d.state
	ctx, cancel := context.WithTimeout(ctx, rolloutReadTimeout)
	defer cancel()
	o, err := s.platform.Store.Get(ctx, s.platform.RolloutsKind, service)
	if err != nil {
		d.log.WithField("service", service).WithError(err).Warn("Rollout can't be re-read.")
		return
	}
	s.recordOutcome(s.decodeRollout(o))
}
