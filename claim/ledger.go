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

// ObjectLedger keeps each claim in an object of its own: two writes a claim.
// It is the default; docs/design/claims.md says when GroupLedger pays.
type ObjectLedger struct {
	api    objectstore.ObjectAPI
	o      Options
	calls  chan struct{} // held during a claim's call
	hurry  hurry
	outage outage
	back   *background
}

var _ Ledger = (*ObjectLedger)(nil)

// NewLedger returns a ledger on the object API.
func NewLedger(api objectstore.ObjectAPI, o Options) *ObjectLedger {
	o = o.withDefaults()
	return &ObjectLedger{api: api, o: o, calls: make(chan struct{}, o.MaxInFlight), back: newBackground(o)}
}

// Close waits until every outcome is recorded or the context ends.
func (l *ObjectLedger) Close(ctx context.Context) error { return l.back.close(ctx) }

// write is one claimant's attempt at a key.
type write struct {
	name string
	rec  record
	// pending: some write of ours had an unknown outcome and may take effect
	// later; expected is the version that it would replace, zero for none.
	pending  bool
	expected objectstore.Version
	// seen is the newest version read: a read of an older one is stale.
	seen objectstore.Version
}

// errAgain means that nothing is decided yet.
var errAgain = errors.New("claim not settled yet")

// Claim implements Ledger.
func (l *ObjectLedger) Claim(ctx context.Context, k Key, h Hash, id request.ID) (Claim, error) {
	w := &write{name: objectName(k), rec: newRecord(h, id, l.o.Now())}
	retry := newBackOff(longestClaimRetry)
	for ctx.Err() == nil {
		c, err := l.attempt(ctx, w)
		if !errors.Is(err, errAgain) {
			return c, err
		}
		wait.For(ctx, retry.NextBackOff())
	}
	l.o.count(countUnavailable)
	if w.pending {
		l.back.run(w.name, func(ctx context.Context) bool { return l.abandon(ctx, w) })
	}
	return nil, errors.Wrapf(ErrStoreUnavailable, "claim %s", w.name)
}

// attempt creates the claim once, or finds out who has it.
func (l *ObjectLedger) attempt(ctx context.Context, w *write) (Claim, error) {
	if !take(ctx, l.calls) {
		return nil, errAgain
	}
	defer func() { <-l.calls }()
	if l.hurry.tooLate(ctx) {
		l.o.count(countTooLate)
		return nil, errAgain
	}
	if !l.outage.mayCall() {
		l.o.count(countHeldBack)
		return nil, errAgain
	}
	ctx, cancel := context.WithTimeout(ctx, l.o.CallTimeout)
	defer cancel()
	sent := time.Now()
	v, err := l.api.Create(ctx, Kind, w.name, w.rec.encode())
	l.hurry.observe(time.Since(sent))
	l.outage.observe(errors.Is(err, objectstore.ErrUnavailable))
	switch {
	case err == nil:
		return l.held(w, v, countClaimed), nil
	case errors.Is(err, objectstore.ErrUnavailable):
		l.o.count(countRetryDown)
		return nil, errAgain
	case !errors.Is(err, objectstore.ErrConflict):
		l.o.count(countRetryUnknown)
		w.pending = true
	}
	return l.inspect(ctx, w)
}

// inspect reads the claim and decides; a claim that was given back is taken
// over on condition that it did not change.
func (l *ObjectLedger) inspect(ctx context.Context, w *write) (Claim, error) {
	o, err := l.api.Get(ctx, Kind, w.name)
	if err != nil || o.Version < w.seen {
		return nil, errAgain
	}
	w.seen = o.Version
	found := decode(o.Value)
	switch {
	case found.Token == w.rec.Token:
		return l.held(w, o.Version, countSettledOurs), nil
	case found.State != NotRun || string(found.Hash) != string(w.rec.Hash):
		return nil, l.o.refusal(w.name, w.rec, found)
	}
	w.expected = o.Version
	v, err := l.api.Update(ctx, Kind, w.name, w.rec.encode(), o.Version)
	switch {
	case err == nil:
		return l.held(w, v, countReclaimed), nil
	case !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrUnavailable):
		l.o.count(countRetryUnknown)
		w.pending = true
	}
	return nil, errAgain
}

// abandon makes sure that a claim which was not settled in time does not come
// into force later: it leaves a claim marked NotRun, or another's. It returns
// true when that is certain.
//
// What goes wrong otherwise: the store applies the lost write after the caller
// was refused, and every resend is told "claimed" for a day.
func (l *ObjectLedger) abandon(ctx context.Context, w *write) bool {
	rec := w.rec.with(Outcome{State: NotRun}, l.o.Now())
	o, err := l.api.Get(ctx, Kind, w.name)
	if errors.Is(err, objectstore.ErrNotFound) {
		_, err = l.api.Create(ctx, Kind, w.name, rec.encode())
		return err == nil
	}
	if err != nil || o.Version < w.seen {
		return false
	}
	w.seen = o.Version
	found := decode(o.Value)
	ours := found.Token == w.rec.Token
	if ours && found.State == NotRun || !ours && o.Version != w.expected {
		return true
	}
	_, err = l.api.Update(ctx, Kind, w.name, rec.encode(), o.Version)
	return err == nil
}

func (l *ObjectLedger) held(w *write, v objectstore.Version, why string) Claim {
	l.o.count(why)
	return &held{l: l, name: w.name, rec: w.rec, version: v}
}

// held is a Claim of this process.
type held struct {
	l       *ObjectLedger
	name    string
	rec     record
	version objectstore.Version
	once    sync.Once
}

// Finish implements Claim.
func (c *held) Finish(o Outcome) {
	c.once.Do(func() {
		rec := c.rec.with(o, c.l.o.Now())
		c.l.back.run(c.name, func(ctx context.Context) bool { return c.record(ctx, rec) })
	})
}

// GiveBack implements Claim.
func (c *held) GiveBack() { c.Finish(Outcome{State: NotRun}) }

// record writes the outcome once, only over this claimant's own claim; true
// when nothing is left to do.
func (c *held) record(ctx context.Context, rec record) bool {
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
