// Package lease gives one holder at a time an exclusive right, on conditional
// updates of one object of a objectstore.ObjectAPI. It needs no clocks that
// agree, only clocks whose rates differ by less than a bound.
//
// A holder asks Check right before each act and sends the Token along, so
// that a receiver that checks tokens refuses the act of a holder that was
// paused between the two. docs/design/leases.md has the ways that were weighed.
package lease

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// ErrLost reports that the lease is not held, or no longer.
var ErrLost = errors.New("lease lost")

// Token is the fencing token: the version of the write that acquired the
// lease. Versions order all writes of the object API, so tokens grow from
// holder to holder, also when the object was deleted in between.
type Token = objectstore.Version

// Lease is a lease that was acquired. It renews itself until it is lost or
// released; once lost it stays lost. It is safe for concurrent use.
type Lease struct {
	e     *Elector
	token Token

	deadline atomic.Int64 // reading of Clock.Held
	lost     chan struct{}
	endOnce  sync.Once
	cancel   context.CancelFunc // ends the renewals

	// writeSlot is a lock of capacity one, held over each write and its
	// settling; unlike a mutex it can be waited for under a context.
	writeSlot  chan struct{}
	version    objectstore.Version
	unresolved map[string]time.Duration // nonce of an unsettled write -> Held before it was sent
}

// Token returns the fencing token. It does not say that the lease is held.
func (l *Lease) Token() Token { return l.token }

// Lost is closed once the lease is lost or released.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Check returns the token while the lease is held, else ErrLost. Call it
// right before each act: a process that was paused finds out here, by a clock
// that went on. The time between Check and the act's effect is covered by the
// token, and by the margin that a new holder waits.
func (l *Lease) Check() (Token, error) {
	if l.Remaining() > 0 {
		return l.token, nil
	}
	l.end(countExpired)
	return 0, errors.Wrapf(ErrLost, "lease %s, token %d", l.e.o.Name, l.token)
}

// Remaining returns how long the lease is held if no renewal succeeds; zero
// when it is lost.
func (l *Lease) Remaining() time.Duration {
	select {
	case <-l.lost:
		return 0
	default:
		return max(0, time.Duration(l.deadline.Load())-l.e.o.Clock.HolderElapsed())
	}
}

// Release gives the lease up; the next holder needn't wait. The lease counts
// as lost before the store is told.
func (l *Lease) Release(ctx context.Context) error {
	held := l.Remaining() > 0
	l.end(countReleased)
	ctx, cancel := context.WithTimeout(ctx, l.e.o.CallTimeout)
	defer cancel()
	select {
	case l.writeSlot <- struct{}{}:
		defer func() { <-l.writeSlot }()
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "release lease %s", l.e.o.Name)
	}
	if !held {
		return nil // who takes over has to wait
	}
	_, err := l.e.api.Update(ctx, Kind, l.e.o.Name, l.e.record(newNonce(), l.token, true), l.version)
	return errors.Wrapf(err, "release lease %s", l.e.o.Name)
}

func (l *Lease) end(why string) {
	l.endOnce.Do(func() {
		close(l.lost)
		l.cancel()
		l.e.count(why)
		l.e.log.WithField("token", l.token).WithField("why", why).Info("Lease ended.")
	})
}

// renewLoop renews until the lease is lost.
func (l *Lease) renewLoop(ctx context.Context) {
	next := l.e.jittered(l.e.o.Duration / renewalsPerDuration)
	for {
		l.e.o.Clock.Sleep(ctx, min(next, l.Remaining()))
		if _, err := l.Check(); err != nil {
			return
		}
		next = l.renew(ctx)
	}
}

// renew extends the deadline and returns when to try again.
func (l *Lease) renew(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, min(l.e.o.CallTimeout, l.Remaining()))
	defer cancel()
	l.writeSlot <- struct{}{}
	defer func() { <-l.writeSlot }()
	nonce, sent := newNonce(), l.e.o.Clock.HolderElapsed()
	v, err := l.e.api.Update(ctx, Kind, l.e.o.Name, l.e.record(nonce, l.token, false), l.version)
	switch {
	case err == nil:
		l.extend(v, sent)
		return l.e.jittered(l.e.o.Duration / renewalsPerDuration)
	case errors.Is(err, objectstore.ErrUnavailable):
		l.e.count(countUnavailable)
	default:
		l.unresolved[nonce] = sent
		if l.readBack(ctx) {
			return l.e.jittered(l.e.o.Duration / renewalsPerDuration)
		}
	}
	return l.e.jittered(l.e.o.Duration / retriesPerDuration)
}

// readBack reads back which write is in force, after an answer that did not
// prove it. Even a conflict doesn't: an earlier write of our own, whose answer
// was lost, may have moved the version. It returns true when a write of our
// own is in force.
func (l *Lease) readBack(ctx context.Context) bool {
	l.e.count(countReadBack)
	o, err := l.e.api.Get(ctx, Kind, l.e.o.Name)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.end(countDeleted)
		return false
	}
	if err != nil || o.Version <= l.version {
		return false // not known yet: not in force, or a stale read
	}
	sent, ours := l.unresolved[decode(o.Value).Nonce]
	if !ours {
		l.end(countTakenOver)
		return false
	}
	l.extend(o.Version, sent)
	return true
}

// extend counts the new deadline from before the request was sent: the
// waiters' clocks can't have started earlier.
func (l *Lease) extend(v objectstore.Version, sent time.Duration) {
	l.version = v
	maps.DeleteFunc(l.unresolved, func(string, time.Duration) bool { return true })
	l.deadline.Store(int64(sent + l.e.holderTTL()))
	l.e.count(countRenewed)
}
