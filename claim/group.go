package claim

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

// GroupKind is the kind of the objects that hold many claims each.
const GroupKind = objectstore.Kind("ClaimGroup")

// Defaults of GroupOptions, and bounds of a batch.
const (
	DefaultShards = 16
	DefaultWindow = 5 * time.Millisecond
	maxBatch      = 512
	// maxGroupBytes leaves room below objectstore.MaxValueBytes.
	maxGroupBytes = objectstore.MaxValueBytes - 64<<10
	queueLength   = 4096
)

// GroupOptions configures a GroupLedger; the zero value is usable. All processes must
// use the same Shards. Change Shards only while no claim is within its retention.
type GroupOptions struct {
	Shards int
	// Window is how long a shard collects claims before it writes.
	Window time.Duration
	// Retention is how long a claim is kept for retries. Older claims are dropped
	// when their group is written. A full group refuses new claims.
	Retention time.Duration
	Options
}

// GroupLedger writes many claims with one conditional update of a shard's object. It
// is cheaper than ObjectLedger only if one process gets many claims of one shard
// within the time of a write; see docs/design/claims.md.
type GroupLedger struct {
	api       objectstore.ObjectAPI
	o         GroupOptions
	shards    []*shard
	stop      context.CancelFunc
	wg        conc.WaitGroup
	undecided sync.WaitGroup // operations that are not complete
}

var _ Ledger = (*GroupLedger)(nil)

// NewGroupLedger starts a ledger; Close stops it.
func NewGroupLedger(api objectstore.ObjectAPI, o GroupOptions) *GroupLedger {
	if o.Shards == 0 {
		o.Shards = DefaultShards
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	o.Options = o.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	l := &GroupLedger{api: api, o: o, stop: stop}
	for i := range o.Shards {
		s := &shard{l: l, name: fmt.Sprintf("%04d", i), queue: make(chan *operation, queueLength)}
		l.shards = append(l.shards, s)
		l.wg.Go(func() { s.run(ctx) })
	}
	return l
}

// Close waits until every outcome is recorded or the context ends.
func (l *GroupLedger) Close(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		l.undecided.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "not all outcomes recorded")
	}
	l.stop()
	l.wg.Wait()
	return err
}

// Claim implements Ledger.
func (l *GroupLedger) Claim(ctx context.Context, k Key, h Hash, id request.ID) (Claim, error) {
	op := &operation{ctx: ctx, name: objectName(k), rec: newRecord(h, id, l.o.Now()), result: make(chan error, 1)}
	s := l.shards[xxhash.Sum64String(op.name)%uint64(len(l.shards))]
	if !s.enqueue(op) {
		l.o.count(countUnavailable)
		return nil, errors.Wrap(ErrStoreUnavailable, "too many claims are waiting")
	}
	var err error
	select {
	case err = <-op.result:
	case <-ctx.Done():
		if op.decided.CompareAndSwap(false, true) {
			err = errors.Wrapf(ErrStoreUnavailable, "claim %s", op.name)
		} else {
			err = <-op.result // the shard decided it at the same time
		}
	}
	if err != nil {
		if errors.Is(err, ErrStoreUnavailable) {
			l.o.count(countUnavailable)
		}
		return nil, err
	}
	return &groupClaim{shard: s, op: op}, nil
}

// groupClaim implements Claim.
type groupClaim struct {
	shard *shard
	op    *operation
	once  sync.Once
}

// Finish implements Claim.
func (c *groupClaim) Finish(o Outcome) {
	c.once.Do(func() { c.shard.enqueueOutcome(c.op, o, false) })
}

// Release implements Claim.
func (c *groupClaim) Release() { c.Finish(Outcome{State: NotRun}) }

// operation is one change of one claim.
type operation struct {
	ctx  context.Context
	name string
	rec  record
	// isOutcome is set if rec replaces the Claimed record with the same token.
	isOutcome bool
	// forceWrite is set if the group must be written even without a change, so that
	// an earlier write whose response was lost can't take effect any more.
	forceWrite bool
	// maybeWritten is set if a write of the operation may have taken effect.
	maybeWritten bool
	// decided is set by whichever decides the operation first: the shard, or its
	// caller by giving up.
	decided atomic.Bool
	result  chan error
	cancel  context.CancelFunc
}

// apply applies the operation to the claims. It returns the operation's result and
// whether the group must be written.
func (op *operation) apply(o Options, claims map[string]record) (error, bool) {
	cur, exists := claims[op.name]
	ours := exists && cur.Token == op.rec.Token
	switch {
	case op.isOutcome && ours && cur.State == Claimed:
		claims[op.name] = op.rec
		return nil, true
	case op.isOutcome:
		return nil, op.forceWrite
	case ours:
		return nil, false
	case !exists, cur.State == NotRun && string(cur.Hash) == string(op.rec.Hash):
		claims[op.name] = op.rec
		return nil, true
	}
	return o.existingError(op.name, op.rec, cur), false
}

// groupValue is the stored form of a group.
type groupValue struct {
	Claims map[string]record `json:"claims"`
}

func decodeGroup(b []byte) (map[string]record, error) {
	g := groupValue{Claims: map[string]record{}}
	if err := json.Unmarshal(b, &g); err != nil {
		return nil, errors.Wrap(err, "decode claim group")
	}
	return g.Claims, nil
}

func encodeGroup(claims map[string]record) []byte {
	b, err := json.Marshal(groupValue{claims})
	if err != nil {
		panic(err) // strings, numbers and bytes always marshal
	}
	return b
}
