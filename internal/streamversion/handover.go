package streamversion

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/streamversion/wire"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
)

const (
	// handoverInterval is the time between two rounds. Daemons may be restarted one after the
	// other within a second or two, and each has to have the records of the one before.
	handoverInterval = 200 * time.Millisecond
	// handoverTimeout bounds a round, so that a keeper that is silent holds up the others' next
	// one for no longer.
	handoverTimeout = 500 * time.Millisecond
	// handoverBatch is the number of records of a message. One takes about 25 bytes.
	handoverBatch = 512
	// handoverLimit is the number of records in a round to one keeper beyond which further
	// groups wait for the next round.
	handoverLimit = 4 * handoverBatch
	// endTimeout bounds the last handover of a process that stops.
	endTimeout = 250 * time.Millisecond
)

// handover knows which keepers need no records handed on, because they have been handed all
// of a group, and are told each new one. It is safe for concurrent use.
type handover struct {
	round chan struct{} // holds an element during a round

	mu       sync.Mutex
	complete [keeperGroups]map[string]uint64 // incarnations by keeper
	asOf     *member.View                    // of the last round
	forgot   bool                            // a keeper may have missed a record since then
}

// missing returns the groups that each keeper needs, and forgets daemons that keep a group no
// more: they may miss what is recorded from now on.
func (h *handover) missing(r *ranking) map[keeper][]uint64 {
	out, view := map[keeper][]uint64{}, r.view.Load()
	h.mu.Lock()
	due := h.forgot || view != h.asOf
	h.forgot, h.asOf = false, view
	h.mu.Unlock()
	if !due {
		return nil
	}
	for group := range uint64(keeperGroups) {
		told := r.group(group).told
		h.mu.Lock()
		keep := make(map[string]uint64, len(told))
		for _, to := range told {
			if incarnation, known := h.complete[group][to.name]; known && incarnation == to.incarnation {
				keep[to.name] = incarnation
			} else {
				out[to] = append(out[to], group)
			}
		}
		h.complete[group] = keep
		h.mu.Unlock()
	}
	return out
}

// isComplete reports whether a group has keepers, and all have its records.
func (h *handover) isComplete(group uint64, told []keeper) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(told) > 0 && !slices.ContainsFunc(told, func(to keeper) bool { return h.complete[group][to.name] != to.incarnation })
}

// add notes that a keeper is being handed a group. It is called before the records are read,
// so that a later record that does not reach the keeper undoes it.
func (h *handover) add(to keeper, group uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete[group][to.name] = to.incarnation
}

// forgetGroup notes that a keeper may miss a record of a group.
func (h *handover) forgetGroup(name string, group uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.complete[group], name)
	h.forgot = true
}

// forget notes that a daemon may miss a record of any group.
func (h *handover) forget(name string) {
	for group := range uint64(keeperGroups) {
		h.forgetGroup(name, group)
	}
}

// Run hands records on to daemons that become their keepers, until ctx ends. Join must have
// been called.
func (k *Keeper) Run(ctx context.Context) {
	select {
	case <-k.joined:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		k.handOn(ctx)
		wait.For(ctx, handoverInterval)
	}
}

// handOn runs one round. What fails or exceeds its limits is left to the next one.
func (k *Keeper) handOn(ctx context.Context) {
	h := &k.handover
	select {
	case h.round <- struct{}{}:
		defer func() { <-h.round }()
	case <-ctx.Done():
		return
	}
	missing := h.missing(k.ranking)
	if len(missing) == 0 {
		return
	}
	for to, groups := range missing {
		for _, group := range groups {
			h.add(to, group)
		}
	}
	records := k.table.byGroup(k.cfg.Now())
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var calls conc.WaitGroup
	defer calls.Wait()
	for to, groups := range missing {
		calls.Go(func() { k.handOnTo(ctx, to, groups, &records) })
	}
}

// handOnTo hands groups of records on to one keeper.
func (k *Keeper) handOnTo(ctx context.Context, to keeper, groups []uint64, records *[keeperGroups][]*wire.Began) {
	var batch []*wire.Began
	for i, group := range groups {
		if len(batch) >= handoverLimit {
			for _, later := range groups[i:] {
				k.handover.forgetGroup(to.name, later)
			}
			groups = groups[:i]
			break
		}
		batch = append(batch, records[group]...)
	}
	for part := range slices.Chunk(batch, handoverBatch) {
		if err := k.callHandover(ctx, to, part); err != nil {
			k.counters.handOnFailed.Add(int64(len(part)))
			k.log.WithField("to", to.name).WithField("records", len(batch)).WithError(err).Debug("Records of streams were not handed on.")
			for _, group := range groups {
				k.handover.forgetGroup(to.name, group)
			}
			return
		}
		k.counters.handedOn.Add(int64(len(part)))
	}
}

// callHandover hands a batch of records on. A daemon of an earlier release can't take any,
// which is no error.
func (k *Keeper) callHandover(ctx context.Context, to keeper, records []*wire.Began) error {
	payload, err := proto.Marshal(&wire.Handover{Records: records})
	if err != nil {
		return errors.Wrap(err, "encode records of streams")
	}
	_, err = k.transport.Call(ctx, peer.Name(to.name), peer.TypeStreamHandover, payload)
	if errors.Is(err, peer.ErrUnknownType) {
		return nil
	}
	return err
}

func (k *Keeper) handleHandover(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var m wire.Handover
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, errors.Wrap(err, "decode records of streams")
	}
	for _, r := range m.GetRecords() {
		if k.keep(r) {
			k.counters.received.Add(1)
		} else {
			k.counters.receivedAgain.Add(1)
		}
	}
	return nil, nil
}

// End hands on what no other daemon may have yet, for a short time at most, and logs how many
// records end with this process.
func (k *Keeper) End(ctx context.Context) {
	f := logrus.Fields{"records": k.table.live(k.cfg.Now())}
	if k.transport != nil {
		ctx, cancel := context.WithTimeout(ctx, endTimeout)
		defer cancel()
		k.handOn(ctx)
		notHandedOn := k.notHandedOn()
		f["handed_on"], f["not_handed_on"] = f["records"].(int)-notHandedOn, notHandedOn
	}
	k.log.WithFields(f).Info("Records of streams end with this process.")
}

// notHandedOn returns the number of records that some keeper may not have, or that have none.
func (k *Keeper) notHandedOn() (n int) {
	for group, records := range k.table.byGroup(k.cfg.Now()) {
		if !k.handover.isComplete(uint64(group), k.ranking.group(uint64(group)).told) {
			n += len(records)
		}
	}
	return n
}
