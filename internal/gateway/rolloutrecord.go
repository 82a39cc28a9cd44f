package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// kindRolloutRecords holds, in a kind of this project's own and by service, when a rollout
// became known. Without it, if all daemons are killed during a rollout, the new ones would
// take it for a new request and decide it long after its deadline.
const kindRolloutRecords objectstore.Kind = "lycheekeel-rollouts"

// rolloutRecord is the object's value.
type rolloutRecord struct {
	To      string `json:"to"`
	Created uint64 `json:"created"`
	// KnownAtMs is in Unix milliseconds by the clock of the daemon that wrote it. It is used
	// only where no running daemon has known the rollout for longer.
	KnownAtMs int64 `json:"known_at_ms"`
}

// writeRecord writes when a rollout became known. If two daemons write at once, either
// record will do: both have just seen the rollout.
func (d *deciders) writeRecord(ctx context.Context, id rollout.ID, known time.Time) {
	log := d.log.WithField("service", id.Service)
	value, err := json.Marshal(rolloutRecord{To: id.To, Created: id.Created, KnownAtMs: known.UnixMilli()})
	if err != nil {
		log.WithError(err).Error("Rollout record can't be encoded.")
		return
	}
	store := d.state.platform.Store
	_, err = store.Create(ctx, kindRolloutRecords, id.Service, value)
	if errors.Is(err, objectstore.ErrConflict) {
		var old objectstore.Object
		if old, err = store.Get(ctx, kindRolloutRecords, id.Service); err == nil {
			_, err = store.Update(ctx, kindRolloutRecords, id.Service, value, old.Version)
		}
	}
	if err != nil {
		log.WithError(err).Warn("Rollout record not written.")
	}
}

// readRecord returns when a rollout became known; false: there is no record of it.
func (d *deciders) readRecord(ctx context.Context, id rollout.ID) (time.Time, bool) {
	o, err := d.state.platform.Store.Get(ctx, kindRolloutRecords, id.Service)
	var r rolloutRecord
	if err == nil {
		err = json.Unmarshal(o.Value, &r)
	}
	if err != nil {
		d.log.WithField("service", id.Service).WithError(err).Warn("Rollout record can't be read.")
		return time.Time{}, false
	}
	age := time.Since(time.UnixMilli(r.KnownAtMs))
	if r.To != id.To || r.Created != id.Created || age < 0 {
		return time.Time{}, false
	}
	return time.Now().Add(-age), true
}

// restoreAge sets a new decider's knowledge of the rollout's age from the record.
func (d *deciders) restoreAge(ctx context.Context, id rollout.ID) {
	ctx, cancel := context.WithTimeout(ctx, rolloutReadTimeout)
	defer cancel()
	known, ok := d.readRecord(ctx, id)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if x := d.all[id]; x != nil {
		x.ObserveKnownAt(known)
	}
}
