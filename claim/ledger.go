package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/request"
)

// ObjectLedger keeps each claim in an object of its own, which costs two writes per
// claim. It is the default; docs/design/claims.md tells when GroupLedger is cheaper.
type ObjectLedger struct {
	api        objectstore.ObjectAPI
	o          Options
	callSlots  chan struct{} // semaphore of the calls that claim
	latency    latencyTracker
	breaker    circuitBreaker
	background *background
}

var _ Ledger = (*ObjectLedger)(nil)

// NewLedger returns a ledger that stores its claims in the object API.
func NewLedger(api objectstore.ObjectAPI, o Options) *ObjectLedger {
	o = o.withDefaults()
	return &ObjectLedger{api: api, o: o, callSlots: make(chan struct{}, o.MaxInFlight), background: newBackground(o)}
}

// Close waits until every outcome is recorded or the context ends.
func (l *ObjectLedger) Close(ctx context.Context) error { return l.background.close(ctx) }

// claimAttempt is the attempt of one claimant to claim a key.
type claimAttempt struct {
	name string
	rec  record
	// unresolved is set after a write of this attempt had an unknown outcome: it may
	// take effect later. expected is the version that it would replace, zero for
	// none.
	unresolved bool
	expected   objectstore.Version
	// newestSeen is the newest version read; a read of an older one is stale.
	newestSeen objectstore.Version
}

// errUndecided reports that the attempt must be repeated.
var errUndecided = errors.New("claim not decided yet")

// Claim implements Ledger.
func (l *ObjectLedger) Claim(ctx context.Context, k Key, h Hash, id request.ID) (Claim, error) {
	a := &claimAttempt{name: objectName(k), rec: newRecord(h, id, l.o.Now())}
	retry := newBackOff(maxClaimRetryInterval)
	for ctx.Err() == nil {
		c, err := l.tryClaim(ctx, a)
		if !errors.Is(err, errUndecided) {
			return c, err
		}
		wait.For(ctx, retry.NextBackOff())
	}
	l.o.count(countUnavailable)
	if a.unresolved {
		l.background.run(a.name, func(ctx context.Context) bool { return l.abandon(ctx, a) })
	}
	return nil, errors.Wrapf(ErrStoreUnavailable, "claim %s", a.name)
}

// tryClaim tries once to create the claim, and resolves it if that is not certain.
func (l *ObjectLedger) tryClaim(ctx context.Context, a *claimAttempt) (Claim, error) {
	if !acquireSlot(ctx, l.callSlots) {
		return nil, errUndecided
	}
	defer func() { <-l.callSlots }()
	if l.latency.tooLate(ctx) {
		l.o.count(countTooLate)
		return nil, errUndecided
	}
	if !l.breaker.allow() {
		l.o.count(countBreakerOpen)
		return nil, errUndecided
	}
	ctx, cancel := context.WithTimeout(ctx, l.o.CallTimeout)
	defer cancel()
	sent := time.Now()
	v, err := l.api.Create(ctx, Kind, a.name, a.rec.encode())
	l.latency.observe(time.Since(sent))
	l.breaker.observe(errors.Is(err, objectstore.ErrUnavailable))
	switch {
	case err == nil:
		return l.newHeldClaim(a, v, countClaimed), nil
	case errors.Is(err, objectstore.ErrUnavailable):
		l.o.count(countRetryUnavailable)
		return nil, errUndecided
	case !errors.Is(err, objectstore.ErrConflict):
		l.o.count(countRetryUnknown)
		a.unresolved = true
	}
	return l.resolve(ctx, a)
}

// resolve reads the claim and decides the attempt. A claim that was released is taken
// over by a conditional update.
func (l *ObjectLedger) resolve(ctx context.Context, a *claimAttempt) (Claim, error) {
	o, err := l.api.Get(ctx, Kind, a.name)
	if err != nil || o.Version < a.newestSeen {
		return nil, errUndecided
	}
	a.newestSeen = o.Version
	found := decode(o.Value)
	switch {
	case found.Token == a.rec.Token:
		return l.newHeldClaim(a, o.Version, countOwnTokenFound), nil
	case found.State != NotRun || string(found.Hash) != string(a.rec.Hash):
		return nil, l.o.existingError(a.name, a.rec, found)
	}
	a.expected = o.Version
	v, err := l.api.Update(ctx, Kind, a.name, a.rec.encode(), o.Version)
	switch {
	case err == nil:
		return l.newHeldClaim(a, v, countReclaimed), nil
	case !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrUnavailable):
		l.o.count(countRetryUnknown)
		a.unresolved = true
	}
	return nil, errUndecided
}

// abandon makes sure that a claim which was not decided in time does not take effect
// later: it leaves a claim in state NotRun, or another claimant's. It returns true
// once that is certain.
//
// Otherwise the store may apply the lost write after the caller was refused, and
// every retry would find the key claimed for a day.
func (l *ObjectLedger) abandon(ctx context.Context, a *claimAttempt) bool {
	rec := a.rec.withOutcome(Outcome{State: NotRun}, l.o.Now())
	o, err := l.api.Get(ctx, Kind, a.name)
	if errors.Is(err, objectstore.ErrNotFound) {
		_, err = l.api.Create(ctx, Kind, a.name, rec.encode())
		return err == nil
	}
	if err != nil || o.Version < a.newestSeen {
		return false
	}
	a.newestSeen = o.Version
	found := decode(o.Value)
	ours := found.Token == a.rec.Token
	if ours && found.State == NotRun || !ours && o.Version != a.expected {
		return true
	}
	_, err = l.api.Update(ctx, Kind, a.name, rec.encode(), o.Version)
	return err == nil
}

func (l *ObjectLedger) newHeldClaim(a *claimAttempt, v objectstore.Version, why string) Claim {
	l.o.count(why)
	return &heldClaim{l: l, name: a.name, rec: a.rec, version: v}
}

// heldClaim implements Claim.
type heldClaim struct {
	l       *ObjectLedger
	name    string
	rec     record
	version objectstore.Version
	once    sync.Once
}

// Finish implements Claim.
func (c *heldClaim) Finish(o Outcome) {
	c.once.Do(func() {
		rec := c.rec.withOutcome(o, c.l.o.Now())
		c.l.background.run(c.name, func(ctx context.Context) bool { return c.writeOutcome(ctx, rec) })
	})
}

// Release implements Claim.
func (c *heldClaim) Release() { c.Finish(Outcome{State: NotRun}) }

// writeOutcome tries once to write the outcome, over this claimant's own claim only.
// It returns true if nothing is left to do.
func (c *heldClaim) writeOutcome(ctx context.Context, rec record) bool {
	_, err := c.l.api.Update(ctx, Kind, c.name, rec.encode(), c.version)
	if err == nil {
		return true
	}
	if errors.Is(err, objectstore.ErrUnavailable) {
		return false
	}
	o, err := c.l.api.Get(ctx, Kind, c.name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return true
	}
	if err != nil || o.Version < c.version {
		return false
	}
	c.version = o.Version
	found := decode(o.Value)
	return found.Token != c.rec.Token || found.State != Claimed
}
