package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
)

const (
	// configReadInterval is how often the configuration is read although the watch
	// tells of no change. Three reads may fail before a proof is too old.
	configReadInterval = 1300 * time.Millisecond
	// serversListInterval is how often the servers are listed in spite of the watch: a
	// watch may keep silent over a server that leaves, and a leaving server
	// may get no new request after 2 s.
	serversListInterval = 1100 * time.Millisecond
	// storeRetryDelay is how soon a failed call is tried again; each is priced. A
	// daemon that is not one of the readers doubles it at each failure, up to
	// storeRetryMaxDelay: while the store is away it has nothing to find out that the
	// readers won't tell it at once.
	storeRetryDelay    = 250 * time.Millisecond
	storeRetryMaxDelay = 2 * time.Second
	// failuresToMaxDelay is a number of failures after which the delay is storeRetryMaxDelay.
	failuresToMaxDelay = 8
	// watchCoalesceDelay is how long changes gather before they are asked for again.
	// While a hundred servers register or are replaced, a watch returns for each of
	// them, and each return is a call.
	watchCoalesceDelay = 200 * time.Millisecond
	// watchTimeout is how long the store may hold a watch.
	watchTimeout = 20 * time.Second
)

// reflector keeps the state in step with the store. Only a few daemons read at
// their intervals; the others read a kind when what they have of it from a
// reader is too old.
type reflector struct {
	state         *state
	store         objectstore.ObjectAPI
	stale         objectstore.StaleReader
	isReader      func() bool // whether this daemon is one of the few
	readerAnswers func() bool // whether one of these answers this daemon
}

// kindLoop is how one kind of objects is kept in step.
type kindLoop struct {
	kind      objectstore.Kind
	interval  func() time.Duration
	freshness *revision.Freshness
	// maxPeerAge is the age up to which what a reader told will do. Beyond it the
	// daemon reads by itself, whatever the readers answer.
	//
	// What goes wrong where it waits on while they answer: the store turns the
	// readers and their substitutes away, a change is made, and the daemons
	// that the store would have told act by the older configuration for longer
	// than the 2 s that they may.
	maxPeerAge time.Duration
	// applyList takes a list, change one event with the revision after it.
	applyList  func(l objectstore.List) bool
	applyEvent func(e objectstore.Event, rev objectstore.Version)
	onFailure  func()
	// mayIdle tells whether a daemon that is not one of the readers needs nothing of its
	// own; nil: as enough says.
	mayIdle func() bool
	// wake cuts a wait short; nil: nothing does.
	wake <-chan struct{}

	watching  atomic.Bool
	lostSince time.Time // since when the store does not answer; zero: it does
	failures  int       // calls in a row without an answer
}

func (r *reflector) loops() []*kindLoop {
	s := r.state
	all := []*kindLoop{
		{
			kind: s.platform.ConfigurationKind, interval: fixed(configReadInterval), freshness: s.configFreshness, maxPeerAge: 1700 * time.Millisecond,
			applyList: r.applyConfigList, applyEvent: r.applyConfigEvent, onFailure: func() {},
		},
		{
			kind: s.platform.ServersKind, interval: fixed(serversListInterval), freshness: s.serversFreshness, maxPeerAge: 1500 * time.Millisecond,
			applyList: r.applyServerList, applyEvent: r.applyServerEvent, onFailure: s.storeUnavailable,
		},
	}
	if s.rollouts.enabled {
		all = append(all, &kindLoop{
			kind: s.platform.RolloutsKind, interval: r.rolloutsInterval, freshness: s.rolloutsFreshness,
			applyList: r.applyRolloutList, applyEvent: r.applyRolloutEvent, onFailure: func() {}, mayIdle: r.rolloutsMayIdle, wake: s.rollouts.readNow,
		})
	}
	return all
}

func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// run reads the kind until ctx ends.
func (r *reflector) run(ctx context.Context, k *kindLoop) {
	for ctx.Err() == nil {
		if left, ok := r.idleFor(k); ok {
			k.pause(ctx, left)
			continue
		}
		k.pause(ctx, r.refresh(ctx, k))
	}
}

// pause waits for d, or until the loop is woken.
func (k *kindLoop) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// idleFor tells for how long what a reader has told will do.
func (r *reflector) idleFor(k *kindLoop) (time.Duration, bool) {
	if k.mayIdle != nil {
		return idleCheckInterval, !r.isReader() && k.mayIdle()
	}
	age, ok := k.freshness.Age()
	if r.isReader() || !ok || !k.lostSince.IsZero() {
		return 0, false // it is also to be known when the store is back here
	}
	return k.maxPeerAge - age, age < k.maxPeerAge
}

// refresh lists the kind, sees to its watch, and returns when to read again.
func (r *reflector) refresh(ctx context.Context, k *kindLoop) time.Duration {
	mark := k.freshness.Mark()
	l, err := r.list(ctx, k)
	if err != nil {
		k.onFailure()
		r.markLost(k, err)
		k.failures++
		if _, known := k.freshness.Age(); known && r.readerAnswers() {
			return retryDelay(failuresToMaxDelay, r.isReader())
		}
		return retryDelay(k.failures, r.isReader())
	}
	r.markRegained(k)
	if k.applyList(l) {
		k.freshness.Prove(mark)
		r.state.notifyChanged()
	}
	if r.isReader() && k.watching.CompareAndSwap(false, true) {
		go r.watch(ctx, k, l.Version)
	}
	interval := k.interval()
	return interval - interval/10 + rand.N(interval/5)
}

// list lists the kind. A daemon that has known the kind before asks by a stale read
// first whether the store answers it at all, where that is in doubt: it is not one of
// the readers, or its last call failed.
//
// What goes wrong without that: while the store is away what the readers tell grows
// old, and each daemon lists both kinds again and again, the readers four times a
// second, all in vain; a stale read costs a tenth of a list.
func (r *reflector) list(ctx context.Context, k *kindLoop) (objectstore.List, error) {
	if _, known := k.freshness.Age(); known && (!r.isReader() || !k.lostSince.IsZero()) {
		if err := r.probe(ctx); err != nil {
			return objectstore.List{}, err
		}
	}
	mark := k.freshness.Mark()
	l, err := r.store.List(ctx, k.kind, "")
	r.state.latency.storeList.Observe(k.freshness.Mark() - mark)
	return l, err
}

// retryDelay returns how soon to call again after so many failures in a row, give
// or take a half, so that the daemons don't call together.
func retryDelay(failures int, isReader bool) time.Duration {
	delay := storeRetryDelay
	for i := 1; i < failures && !isReader && delay < storeRetryMaxDelay; i++ {
		delay *= 2
	}
	return delay/2 + rand.N(delay)
}

func (r *reflector) markLost(k *kindLoop, err error) {
	if k.lostSince.IsZero() {
		k.lostSince = time.Now()
		if k.kind == r.state.platform.ConfigurationKind {
			r.state.storeLostAt.Store(int64(k.freshness.Mark()))
		}
		r.state.log.WithField("kind", k.kind).WithError(err).Warn("Store lost.")
	}
}

func (r *reflector) markRegained(k *kindLoop) {
	k.failures = 0
	if !k.lostSince.IsZero() {
		r.state.log.WithField("kind", k.kind).WithField("away_ms", time.Since(k.lostSince).Milliseconds()).Info("Store regained.")
		k.lostSince = time.Time{}
		if k.kind == r.state.platform.ConfigurationKind {
			r.state.storeLostAt.Store(0)
		}
	}
}

// watch follows the changes after a version until a call fails or others read.
// The next list starts another watch.
func (r *reflector) watch(ctx context.Context, k *kindLoop, after objectstore.Version) {
	defer k.watching.Store(false)
	for ctx.Err() == nil && r.isReader() {
		events, next, err := r.store.Watch(ctx, []objectstore.Kind{k.kind}, after, watchTimeout)
		if err != nil {
			r.state.log.WithField("kind", k.kind).WithError(err).Debug("Watch ended.")
			return
		}
		for _, e := range events {
			k.applyEvent(e, next)
		}
		after = next
		wait.For(ctx, watchCoalesceDelay)
	}
}

// applyConfigList reports whether the list proves what is in force.
func (r *reflector) applyConfigList(l objectstore.List) bool {
	current := false
	for _, o := range l.Objects {
		if o.Name == r.state.platform.ConfigurationName {
			current = r.state.applyConfig(o)
		}
	}
	return current
}

func (r *reflector) applyConfigEvent(e objectstore.Event, _ objectstore.Version) {
	if !e.Deleted && e.Object.Name == r.state.platform.ConfigurationName {
		r.state.applyConfig(e.Object)
	}
}

func (r *reflector) applyServerList(l objectstore.List) bool {
	listed := make([]discovery.Server, 0, len(l.Objects))
	for _, o := range l.Objects {
		listed = append(listed, r.decodeServer(o))
	}
	r.state.replaceServers(listed, l.Version)
	return true
}

func (r *reflector) applyServerEvent(e objectstore.Event, rev objectstore.Version) {
	if e.Deleted {
		r.state.removeServer(e.Object.Name, e.Object.Version, rev)
		return
	}
	r.state.putServer(r.decodeServer(e.Object), rev)
}

// runExpiry ends the grace of missing servers in time until ctx ends.
func (r *reflector) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		delay := discovery.StoreRecoveryGrace / 4
		if in, ok := r.state.expireServers(); ok {
			delay = min(delay, in+time.Millisecond)
		}
		wait.For(ctx, delay)
	}
}

// decodeServer returns what an entry says. A malformed one takes the place of what its
// name stood for; the state logs it when that changes, not at each read.
func (r *reflector) decodeServer(o objectstore.Object) discovery.Server {
	server, err := r.state.platform.DecodeServer(o.Name, o.Value)
	if err != nil {
		server = discovery.Server{ID: o.Name, InvalidReason: err.Error()}
	}
	server.Revision = discovery.Revision(o.Version)
	return server
}
