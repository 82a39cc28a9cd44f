package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
)

const (
	// configReadInterval is how often the configuration is read in addition to the
	// watch. Three reads may fail before the proof of freshness is too old.
	configReadInterval = 1300 * time.Millisecond
	// serversListInterval is how often the servers are listed in addition to the watch.
	// A watch may miss a server that starts to leave, and such a server must get no
	// new request after 2 s.
	serversListInterval = 1100 * time.Millisecond
	// storeRetryDelay is the delay before a failed call is repeated; each call costs
	// part of the store's rate. Readers keep this delay. The other daemons double it at
	// each failure up to storeRetryMaxDelay, since the readers inform them when an outage
	// of the store ends.
	storeRetryDelay    = 250 * time.Millisecond
	storeRetryMaxDelay = 2 * time.Second
	// failuresToMaxDelay is a number of failures that leads to storeRetryMaxDelay.
	failuresToMaxDelay = 8
	// minDemandInterval and demandedPerSecond bound the lists for those that wait for a proof: of
	// one daemon, and of all together.
	minDemandInterval = 500 * time.Millisecond
	demandedPerSecond = 12
	// watchCoalesceDelay is the pause between two calls of a watch, in which changes
	// accumulate. When a hundred servers register or are replaced, a watch would
	// otherwise return for each of them, and each return costs a call.
	watchCoalesceDelay = 200 * time.Millisecond
	// watchTimeout is how long the store may hold a watch.
	watchTimeout = 20 * time.Second
)

// reflector keeps the local state in step with the store by list and watch. Readers
// list at fixed intervals and watch. The other daemons list a kind only when what
// the readers sent them is too old.
type reflector struct {
	state         *state
	store         objectstore.ObjectAPI
	stale         objectstore.StaleReader
	isReader      func() bool // whether this daemon is a reader
	readerAnswers func() bool // whether a reader answers this daemon
	tasks         *tasks
	daemons       func() int // the number of daemons
}

// kindLoop is the list and watch loop of one kind of object.
type kindLoop struct {
	kind      objectstore.Kind
	interval  func() time.Duration
	freshness *revision.Freshness
	// maxPeerAge is the age up to which the state that a reader sent is sufficient.
	// Beyond it the daemon lists the kind itself even if readers answer. Otherwise,
	// when the store refuses the readers' and standbys' calls, the daemons that it
	// would still answer could miss a change for longer than the 2 s allowed.
	maxPeerAge time.Duration
	// applyList applies a list and reports whether it proves freshness; applyEvents
	// applies the events of an answer to a watch, rev being the revision after them.
	applyList   func(l objectstore.List) bool
	applyEvents func(events []objectstore.Event, rev objectstore.Version)
	onFailure   func()
	// mayIdle reports whether a daemon that is not a reader may skip listing the kind;
	// nil: maxPeerAge decides.
	mayIdle func() bool
	// wake ends a pause early; nil: nothing does.
	wake <-chan struct{}
	// wanted reports whether a newer proof is waited for; nil: none ever is.
	wanted func() bool
	// confirm records a proof as of when its read was sent; nil: by freshness alone.
	confirm func(at time.Duration)
	// demandedAt is when a list was last made for those that wait for a proof.
	demandedAt time.Duration

	watching  atomic.Bool
	lostSince time.Time // since when the store has not answered; zero: it answers
	failures  int       // consecutive calls without an answer
	unnamed   int       // objects of the last list that have no readable name
}

func (r *reflector) loops() []*kindLoop {
	s := r.state
	all := []*kindLoop{
		{
			kind: s.platform.ConfigurationKind, interval: fixed(configReadInterval), freshness: s.configFreshness, maxPeerAge: 1700 * time.Millisecond,
			applyList: r.applyConfigList, applyEvents: each(r.applyConfigEvent), onFailure: func() {},
		},
		{
			kind: s.platform.ServersKind, interval: fixed(serversListInterval), freshness: s.serversFreshness, maxPeerAge: 1500 * time.Millisecond,
			applyList: r.applyServerList, applyEvents: r.applyServerEvents, onFailure: s.storeUnavailable,
			wake: s.readServers, wanted: s.wantsServersProof, confirm: s.proveServers,
		},
	}
	if s.rollouts.enabled {
		all = append(all, &kindLoop{
			kind: s.platform.RolloutsKind, interval: r.rolloutsInterval, freshness: s.rolloutsFreshness,
			applyList: r.applyRolloutList, applyEvents: each(r.applyRolloutEvent), onFailure: func() {}, mayIdle: r.rolloutsMayIdle, wake: s.rollouts.readNow,
		})
	}
	return all
}

// each applies events one by one.
func each(apply func(e objectstore.Event, rev objectstore.Version)) func([]objectstore.Event, objectstore.Version) {
	return func(events []objectstore.Event, rev objectstore.Version) {
		for _, e := range events {
			apply(e, rev)
		}
	}
}

func fixed(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// run keeps the kind in step until ctx ends.
func (r *reflector) run(ctx context.Context, k *kindLoop) {
	for ctx.Err() == nil {
		delay, idle := r.idleFor(k)
		if !idle {
			delay = r.refresh(ctx, k)
		}
		for r.pauseOrDemand(ctx, k, delay) {
			delay = r.refresh(ctx, k)
		}
	}
}

// pauseOrDemand waits like pause, and reports whether a list is to be made for those that wait
// for a proof. Without such lists they would wait for the next one, and together the daemons
// make demandedPerSecond at most.
func (r *reflector) pauseOrDemand(ctx context.Context, k *kindLoop, d time.Duration) bool {
	if k.wanted == nil {
		k.pause(ctx, d)
		return false
	}
	until := k.freshness.Now() + d
	for left := d; left > 0 && ctx.Err() == nil; left = until - k.freshness.Now() {
		k.pause(ctx, left)
		if !k.lostSince.IsZero() || !k.wanted() {
			continue
		}
		interval := max(minDemandInterval, time.Second*time.Duration(r.daemons())/demandedPerSecond)
		next := min(k.demandedAt+interval, until)
		wait.For(ctx, next-k.freshness.Now())
		if next < until && ctx.Err() == nil && k.wanted() {
			k.demandedAt = k.freshness.Now()
			return true
		}
	}
	return false
}

// pause waits for d, for wake or for the end of ctx.
func (k *kindLoop) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-k.wake:
	case <-ctx.Done():
	}
}

// idleFor returns for how long the state that a reader sent is sufficient; false: it
// is not.
func (r *reflector) idleFor(k *kindLoop) (time.Duration, bool) {
	if k.mayIdle != nil {
		return idleCheckInterval, !r.isReader() && k.mayIdle()
	}
	age, ok := k.freshness.Age()
	if r.isReader() || !ok || !k.lostSince.IsZero() {
		return 0, false // after a loss it keeps listing, to notice that the store answers again
	}
	return k.maxPeerAge - age, age < k.maxPeerAge
}

// refresh lists the kind, starts its watch if needed, and returns the delay before
// the next list.
func (r *reflector) refresh(ctx context.Context, k *kindLoop) time.Duration {
	mark := k.freshness.Now()
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
	r.recordUnnamed(k, l.Unnamed)
	if k.applyList(l) {
		if k.confirm != nil {
			k.confirm(mark)
		} else {
			k.freshness.Confirm(mark)
		}
		r.state.notifyChanged()
	}
	if r.isReader() && k.watching.CompareAndSwap(false, true) {
		go r.tasks.try("watch of "+string(k.kind), func() { r.watch(ctx, k, l.Version) }) // the next list starts it anew
	}
	interval := k.interval()
	return interval - interval/10 + rand.N(interval/5)
}

// list lists the kind. A daemon that has state already, and is not a reader or had
// its last call fail, first checks by a stale read that the store answers at all.
// Otherwise, in an outage of the store, each daemon would list two kinds repeatedly
// in vain once the readers' state is too old, and readers four times a second. A
// stale read costs a tenth of a list.
func (r *reflector) list(ctx context.Context, k *kindLoop) (objectstore.List, error) {
	if _, known := k.freshness.Age(); known && (!r.isReader() || !k.lostSince.IsZero()) {
		if err := r.probe(ctx); err != nil {
			return objectstore.List{}, err
		}
	}
	mark := k.freshness.Now()
	l, err := r.store.List(ctx, k.kind, "")
	r.state.latency.storeList.Observe(k.freshness.Now() - mark)
	return l, err
}

// retryDelay returns the delay before the next call after that many consecutive
// failures. It is spread by ±50 % so that the daemons don't call at the same time.
func retryDelay(failures int, isReader bool) time.Duration {
	delay := storeRetryDelay
	for i := 1; i < failures && !isReader && delay < storeRetryMaxDelay; i++ {
		delay *= 2
	}
	return delay/2 + rand.N(delay)
}

// markLost records and logs the first failure of a kind's calls.
func (r *reflector) markLost(k *kindLoop, err error) {
	if k.lostSince.IsZero() {
		k.lostSince = time.Now()
		if k.kind == r.state.platform.ConfigurationKind {
			r.state.storeLostAt.Store(int64(k.freshness.Now()))
		}
		r.state.log.WithField("kind", k.kind).WithError(err).Warn("Store lost.")
	}
}

// markRegained records an answered call, and logs it after a loss.
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

// recordUnnamed logs when the number of objects changes that no list can name.
func (r *reflector) recordUnnamed(k *kindLoop, n int) {
	if n == k.unnamed {
		return
	}
	k.unnamed = n
	r.state.log.WithFields(logrus.Fields{"kind": k.kind, "objects": n}).Warn("Objects without a readable name are left out.")
}

// watch applies the changes after a revision until a call fails or this daemon is no
// longer a reader. The next list starts another watch.
func (r *reflector) watch(ctx context.Context, k *kindLoop, after objectstore.Version) {
	defer k.watching.Store(false)
	for ctx.Err() == nil && r.isReader() {
		events, next, err := r.store.Watch(ctx, []objectstore.Kind{k.kind}, after, watchTimeout)
		if err != nil {
			r.state.log.WithField("kind", k.kind).WithError(err).Debug("Watch ended.")
			return
		}
		k.applyEvents(events, next)
		after = next
		wait.For(ctx, watchCoalesceDelay)
	}
}

// applyConfigList reports whether the list proves that the active configuration is
// current.
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

// applyServerEvents applies all events at once, so that the daemons that poll this one are
// sent them in one answer.
func (r *reflector) applyServerEvents(events []objectstore.Event, rev objectstore.Version) {
	all := make([]serverEvent, 0, len(events))
	for _, e := range events {
		if e.Deleted {
			all = append(all, serverEvent{server: discovery.Server{ID: e.Object.Name, Revision: discovery.Revision(e.Object.Version)}, removed: true})
		} else {
			all = append(all, serverEvent{server: r.decodeServer(e.Object)})
		}
	}
	r.state.applyServerEvents(all, rev)
}

// runExpiry removes missing servers when their grace period ends, until ctx ends.
func (r *reflector) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		delay := discovery.StoreRecoveryGrace / 4
		if in, ok := r.state.expireServers(); ok {
			delay = min(delay, in+time.Millisecond)
		}
		wait.For(ctx, delay)
	}
}

// decodeServer decodes a server's entry. A malformed entry replaces the server of the
// same name; the state logs this when it changes, not at each read.
func (r *reflector) decodeServer(o objectstore.Object) discovery.Server {
	server, err := r.state.platform.DecodeServer(o.Name, o.Value)
	if err != nil {
		server = discovery.Server{ID: o.Name, InvalidReason: err.Error()}
	}
	server.Revision = discovery.Revision(o.Version)
	return server
}
