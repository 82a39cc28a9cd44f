package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// shard is the one writer, in this process, of one group of claims.
type shard struct {
	l     *GroupLedger
	name  string
	queue chan *operation

	// claims is what the group held at version, nil where that is not known.
	claims  map[string]record
	version objectstore.Version
	outage  outage
}

// enqueue returns false where too many operations wait.
func (s *shard) enqueue(op *operation) bool {
	s.l.open.Add(1)
	select {
	case s.queue <- op:
		return true
	default:
		s.l.open.Done()
		return false
	}
}

// finish records the outcome of a claim in the background, within a bound.
func (s *shard) finish(claimed *operation, o Outcome, force bool) {
	ctx, cancel := context.WithTimeout(context.Background(), s.l.o.BackgroundFor)
	op := &operation{
		ctx: ctx, cancel: cancel, name: claimed.name, rec: claimed.rec.with(o, s.l.o.Now()),
		final: true, force: force, done: make(chan error, 1),
	}
	if !s.enqueue(op) {
		cancel()
		s.l.o.count(countBackgroundMax)
	}
}

// run writes batch after batch until the context ends.
func (s *shard) run(ctx context.Context) {
	for {
		select {
		case op := <-s.queue:
			s.settle(ctx, s.gather(op))
		case <-ctx.Done():
			s.drain()
			return
		}
	}
}

// drain ends what still waits when the ledger is closed.
func (s *shard) drain() {
	for {
		select {
		case op := <-s.queue:
			s.deliver(op, errors.Wrap(ErrStoreUnavailable, "ledger closed"))
		default:
			return
		}
	}
}

// gather waits a window for more operations.
func (s *shard) gather(first *operation) []*operation {
	batch := []*operation{first}
	window := time.NewTimer(s.l.o.Window)
	defer window.Stop()
	for len(batch) < maxBatch {
		select {
		case op := <-s.queue:
			batch = append(batch, op)
		case <-window.C:
			return batch
		}
	}
	return batch
}

// settle repeats the batch until each operation is decided or given up.
func (s *shard) settle(ctx context.Context, batch []*operation) {
	retry := newBackOff(longestClaimRetry)
	for ctx.Err() == nil {
		batch = s.live(batch)
		if len(batch) == 0 || s.attempt(ctx, batch) {
			return
		}
		wait.For(ctx, retry.NextBackOff())
	}
	for _, op := range batch {
		s.deliver(op, errors.Wrap(ErrStoreUnavailable, "ledger closed"))
	}
}

// live drops the operations whose caller no longer waits.
func (s *shard) live(batch []*operation) []*operation {
	var out []*operation
	for _, op := range batch {
		if op.ctx.Err() != nil || op.settled.Load() {
			s.deliver(op, errors.Wrapf(ErrStoreUnavailable, "claim %s", op.name))
		} else {
			out = append(out, op)
		}
	}
	return out
}

// deliver ends an operation. A claim that was or may be written although its
// caller has given up is given back.
func (s *shard) deliver(op *operation, result error) {
	defer s.l.open.Done()
	if op.cancel != nil {
		op.cancel()
	}
	if op.final {
		if result != nil {
			s.l.o.count(countBackgroundOut)
		}
		return
	}
	told := op.settled.CompareAndSwap(false, true)
	if told {
		op.done <- result
	}
	written := result == nil && !told
	if written || op.attempted && errors.Is(result, ErrStoreUnavailable) {
		s.finish(op, Outcome{State: NotRun}, true)
	}
}

// attempt reads the group where it is not known, and writes it with the
// whole batch; true when all operations were decided.
func (s *shard) attempt(ctx context.Context, batch []*operation) bool {
	ctx, cancel := context.WithTimeout(ctx, s.l.o.CallTimeout)
	defer cancel()
	fresh := false
	if s.claims == nil {
		if !s.outage.mayCall() || !s.load(ctx) {
			return false
		}
		fresh = true
	}
	results, changed := make([]error, len(batch)), false
	for i, op := range batch {
		err, c := op.apply(s.l.o.Options, s.claims)
		results[i], changed = err, changed || c
	}
	if !changed && !fresh {
		s.claims = nil // decided on what may be old
		return s.attempt(ctx, batch)
	}
	if changed && !s.write(ctx, batch) {
		return false
	}
	for i, op := range batch {
		s.deliver(op, results[i])
	}
	return true
}

func (s *shard) load(ctx context.Context) bool {
	o, err := s.l.api.Get(ctx, GroupKind, s.name)
	s.outage.observe(errors.Is(err, objectstore.ErrUnavailable))
	if errors.Is(err, objectstore.ErrNotFound) {
		s.claims, s.version = map[string]record{}, 0
		return true
	}
	if err != nil || o.Version < s.version {
		return false // not known, or a stale read
	}
	claims, err := decodeGroup(o.Value)
	if err != nil {
		return false // never overwrite what can't be read
	}
	s.claims, s.version = claims, o.Version
	return true
}

// write stores the group. After any failure the group is read anew: the
// tokens in it tell which operations are in force.
func (s *shard) write(ctx context.Context, batch []*operation) bool {
	s.dropOld()
	value := encodeGroup(s.claims)
	if len(value) > maxGroupBytes {
		s.refuseFull(batch)
		return false
	}
	var v objectstore.Version
	var err error
	if s.version == 0 {
		v, err = s.l.api.Create(ctx, GroupKind, s.name, value)
	} else {
		v, err = s.l.api.Update(ctx, GroupKind, s.name, value, s.version)
	}
	s.l.o.count(countGroupWrites)
	if err == nil {
		s.version = v
		s.l.o.Metrics.Counter(metricGroup, countGroupClaims).Add(int64(len(batch)))
		return true
	}
	s.claims = nil
	if !errors.Is(err, objectstore.ErrUnavailable) && !errors.Is(err, objectstore.ErrConflict) {
		s.l.o.count(countRetryUnknown)
		for _, op := range batch {
			op.attempted = true
		}
	}
	return false
}

// dropOld drops claims past their retention, by the wall clocks with the
// collector's margin.
func (s *shard) dropOld() {
	oldest := s.l.o.Now().Add(-s.l.o.Retention - DefaultMargin).UnixMilli()
	for name, r := range s.claims {
		if r.At < oldest {
			delete(s.claims, name)
		}
	}
}

// refuseFull ends the batch's new claims; outcomes wait for room.
func (s *shard) refuseFull(batch []*operation) {
	s.claims = nil
	for _, op := range batch {
		if !op.final {
			s.l.o.count(countGroupFull)
			op.expire()
		}
	}
}

// expire makes the next round drop the operation and tell its caller.
func (op *operation) expire() {
	ended, cancel := context.WithCancel(op.ctx)
	cancel()
	op.ctx = ended
}
