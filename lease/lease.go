// Package lease implements a lease with one holder at a time, by conditional updates
// of one object of an objectstore.ObjectAPI. Clocks need not be synchronized; their
// rates must differ by less than a bound.
//
// A holder calls Check right before each action and sends the Token with it. A
// receiver that checks tokens then refuses the action of a holder that was paused
// between the two. docs/design/leases.md compares this design to others.
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

// ErrLost reports that the lease is not held, or not any more.
var ErrLost = errors.New("lease lost")

// Token is the fencing token: the version of the write that acquired the lease.
// Versions order all writes of the object API, so tokens increase from holder to
// holder, even if the object was deleted in between.
type Token = objectstore.Version

// Lease is an acquired lease. It renews itself until it is lost or released, and is
// never held again after that. It is safe for concurrent use.
type Lease struct {
	e     *Elector
	token Token

	deadline atomic.Int64 // in Clock.HolderElapsed time
	lost     chan struct{}
	endOnce  sync.Once
	cancel   context.CancelFunc // stops the renewals

	// writeSlot is a semaphore of capacity one, held during each write and its
	// readBack. Unlike a mutex it can be acquired with a context.
	writeSlot  chan struct{}
	version    objectstore.Version
	unresolved map[string]time.Duration // nonce of a write with unknown outcome -> HolderElapsed before it was sent
}

// Token returns the fencing token, whether or not the lease is held.
func (l *Lease) Token() Token { return l.token }

// Lost returns a channel that is closed once the lease is lost or released.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// Check returns the token while the lease is held, else ErrLost. Call it right before
// each action: a process that was paused detects it here, by a clock that went on.
// The time between Check and the action's effect is covered by the token, and by the
// margin that a new holder waits.
func (l *Lease) Check() (Token, error) {
	if l.Remaining() > 0 {
		return l.token, nil
	}
	l.end(countExpired)
	return 0, errors.Wrapf(ErrLost, "lease %s, token %d", l.e.o.Name, l.token)
}

// Remaining returns how long the lease is held if no renewal succeeds, or zero if it
// is lost.
func (l *Lease) Remaining() time.Duration {
	select {
	case <-l.lost:
		return 0
	default:
		return max(0, time.Duration(l.deadline.Load())-l.e.o.Clock.HolderElapsed())
	}
}

// Release releases the lease, so that the next holder need not wait for it to expire.
// The lease counts as lost before the store is updated.
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
		return nil // expired: it can't be released, the next holder has to wait
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

// renewLoop renews the lease until it is lost.
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

// renew tries once to extend the deadline. It returns the time until the next
// attempt.
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

// readBack reads which write is in the store, after a response that did not prove it.
// Even a conflict does not: an earlier write of this holder, whose response was lost,
// may have changed the version. It returns true if the stored write is this holder's.
func (l *Lease) readBack(ctx context.Context) bool {
	l.e.count(countReadBack)
	o, err := l.e.api.Get(ctx, Kind, l.e.o.Name)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.end(countDeleted)
		return false
	}
	if err != nil || o.Version <= l.version {
		return false // still unknown: the write is not stored yet, or the read was stale
	}
	sent, ours := l.unresolved[decode(o.Value).Nonce]
	if !ours {
		l.end(countTakenOver)
		return false
	}
	l.extend(o.Version, sent)
	return true
}

// extend extends the deadline after a renewal. It counts from before the request was
// sent, since waiters can't have seen the write earlier.
func (l *Lease) extend(v objectstore.Version, sent time.Duration) {
	l.version = v
	maps.DeleteFunc(l.unresolved, func(string, time.Duration) bool { return true })
	l.deadline.Store(int64(sent + l.e.holderTTL()))
	l.e.count(countRenewed)
}
