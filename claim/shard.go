package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// shard is the only writer of one group of claims in this process.
type shard struct {
	l     *GroupLedger
	name  string
	queue chan *operation

	// claims is the content of the group at version, or nil if it is not known.
	claims  map[string]record
	version objectstore.Version
	breaker circuitBreaker
}

// enqueue returns false if the queue is full.
func (s *shard) enqueue(op *operation) bool {
	s.l.undecided.Add(1)
	select {
	case s.queue <- op:
		return true
	default:
		s.l.undecided.Done()
		return false
	}
}

// enqueueOutcome records the outcome of a claim in the background, up to a bound.
func (s *shard) enqueueOutcome(claimed *operation, o Outcome, force bool) {
	ctx, cancel := context.WithTimeout(context.Background(), s.l.o.BackgroundTimeout)
	op := &operation{
		ctx: ctx, cancel: cancel, name: claimed.name, rec: claimed.rec.withOutcome(o, s.l.o.Now()),
		isOutcome: true, forceWrite: force, result: make(chan error, 1),
	}
	if !s.enqueue(op) {
		cancel()
		s.l.o.count(countBackgroundFull)
	}
}

// run commits batches until the context ends.
func (s *shard) run(ctx context.Context) {
	for {
		select {
		case op := <-s.queue:
			s.commit(ctx, s.collectBatch(op))
		case <-ctx.Done():
			s.drain()
			return
		}
	}
}

// drain completes the queued operations with an error when the ledger is closed.
func (s *shard) drain() {
	for {
		select {
		case op := <-s.queue:
			s.complete(op, errors.Wrap(ErrStoreUnavailable, "ledger closed"))
		default:
			return
		}
	}
}

// collectBatch waits for one window for more operations.
func (s *shard) collectBatch(first *operation) []*operation {
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

// commit retries the batch until each operation is complete.
func (s *shard) commit(ctx context.Context, batch []*operation) {
	retry := newBackOff(maxClaimRetryInterval)
	for ctx.Err() == nil {
		batch = s.dropExpired(batch)
		if len(batch) == 0 || s.tryCommit(ctx, batch) {
			return
		}
		wait.For(ctx, retry.NextBackOff())
	}
	for _, op := range batch {
		s.complete(op, errors.Wrap(ErrStoreUnavailable, "ledger closed"))
	}
}

// dropExpired completes the operations whose caller no longer waits and returns the
// others.
func (s *shard) dropExpired(batch []*operation) []*operation {
	var out []*operation
	for _, op := range batch {
		if op.ctx.Err() != nil || op.decided.Load() {
			s.complete(op, errors.Wrapf(ErrStoreUnavailable, "claim %s", op.name))
		} else {
			out = append(out, op)
		}
	}
	return out
}

// complete completes an operation with a result. A claim that was or may have been
// written after its caller has given up is released.
func (s *shard) complete(op *operation, result error) {
	defer s.l.undecided.Done()
	if op.cancel != nil {
		op.cancel()
	}
	if op.isOutcome {
		if result != nil {
			s.l.o.count(countBackgroundGaveUp)
		}
		return
	}
	delivered := op.decided.CompareAndSwap(false, true)
	if delivered {
		op.result <- result
	}
	written := result == nil && !delivered
	if written || op.maybeWritten && errors.Is(result, ErrStoreUnavailable) {
		s.enqueueOutcome(op, Outcome{State: NotRun}, true)
	}
}

// tryCommit reads the group if it is not known, and writes it with the whole batch. It
// returns true if all operations are complete.
func (s *shard) tryCommit(ctx context.Context, batch []*operation) bool {
	ctx, cancel := context.WithTimeout(ctx, s.l.o.CallTimeout)
	defer cancel()
	justLoaded := false
	if s.claims == nil {
		if !s.breaker.allow() || !s.load(ctx) {
			return false
		}
		justLoaded = true
	}
	results, changed := make([]error, len(batch)), false
	for i, op := range batch {
		err, c := op.apply(s.l.o.Options, s.claims)
		results[i], changed = err, changed || c
	}
	if !changed && !justLoaded {
		s.claims = nil // the results may follow from a stale copy: read the group again
		return s.tryCommit(ctx, batch)
	}
	if changed && !s.write(ctx, batch) {
		return false
	}
	for i, op := range batch {
		s.complete(op, results[i])
	}
	return true
}

func (s *shard) load(ctx context.Context) bool {
	o, err := s.l.api.Get(ctx, GroupKind, s.name)
	s.breaker.observe(errors.Is(err, objectstore.ErrUnavailable))
	if errors.Is(err, objectstore.ErrNotFound) {
		s.claims, s.version = map[string]record{}, 0
		return true
	}
	if err != nil || o.Version < s.version {
		return false // unknown, or a stale read
	}
	claims, err := decodeGroup(o.Value)
	if err != nil {
		return false // never overwrite a group that can't be decoded
	}
	s.claims, s.version = claims, o.Version
	return true
}

// write stores the group. After a failure the group is read again: the tokens in it
// show which operations took effect.
func (s *shard) write(ctx context.Context, batch []*operation) bool {
	s.dropOldClaims()
	value := encodeGroup(s.claims)
	if len(value) > maxGroupBytes {
		s.rejectNewClaims(batch)
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
			op.maybeWritten = true
		}
	}
	return false
}

// dropOldClaims drops claims past their retention. It compares wall clocks, with
// DefaultMargin.
func (s *shard) dropOldClaims() {
	oldest := s.l.o.Now().Add(-s.l.o.Retention - DefaultMargin).UnixMilli()
	for name, r := range s.claims {
		if r.At < oldest {
			delete(s.claims, name)
		}
	}
}

// rejectNewClaims ends the new claims of a batch that exceeds the group's size.
// Outcomes wait until there is space.
func (s *shard) rejectNewClaims(batch []*operation) {
	s.claims = nil
	for _, op := range batch {
		if !op.isOutcome {
			s.l.o.count(countGroupFull)
			op.expire()
		}
	}
}

// expire makes the next attempt drop the operation and return an error to its caller.
func (op *operation) expire() {
	ended, cancel := context.WithCancel(op.ctx)
	cancel()
	op.ctx = ended
}
