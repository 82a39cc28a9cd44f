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
	// proofEvery is how often the configuration is read although the watch
	// tells of no change. Three reads may fail before a proof is too old.
	proofEvery = 1300 * time.Millisecond
	// listEvery is how often the servers are listed in spite of the watch: a
	// watch may keep silent over a server that leaves, and a leaving server
	// may get no new request after 2 s.
	listEvery = 1100 * time.Millisecond
	// retryEvery is how soon a failed call is tried again; each is priced. A
	// daemon that is not one of the readers doubles it at each failure, up to
	// retryMost: while the store is away it has nothing to find out that the
	// readers won't tell it at once.
	retryEvery = 250 * time.Millisecond
	retryMost  = 2 * time.Second
	// retryFar is a number of failures after which the delay is retryMost.
	retryFar = 8
	// watchPause is how long changes gather before they are asked for again.
	// While a hundred servers register or are replaced, a watch returns for each of
	// them, and each return is a call.
	watchPause = 200 * time.Millisecond
	// watchWait is how long the store may hold a watch.
	watchWait = 20 * time.Second
)

// reader keeps the state in step with the store. Only a few daemons read at
// their intervals; the others read a kind when what they have of it from a
// reader is too old.
type reader struct {
	state   *state
	store   objectstore.ObjectAPI
	stale   objectstore.StaleReader
	reading func() bool // whether this daemon is one of the few
	told    func() bool // whether one of these answers this daemon
}

// kindLoop is how one kind of objects is kept in step.
type kindLoop struct {
	kind  objectstore.Kind
	every func() time.Duration
	fresh *revision.Freshness
	// enough is the age up to which what a reader told will do. Beyond it the
	// daemon reads by itself, whatever the readers answer.
	//
	// What goes wrong where it waits on while they answer: the store turns the
	// readers and their substitutes away, a change is made, and the daemons
	// that the store would have told act by the older configuration for longer
	// than the 2 s that they may.
	enough time.Duration
	// replace takes a list, change one event with the revision after it.
	replace func(l objectstore.List) bool
	change  func(e objectstore.Event, as objectstore.Version)
	failed  func()
	// rests tells whether a daemon that is not one of the readers needs nothing of its
	// own; nil: as enough says.
	rests func() bool
	// wake cuts a wait short; nil: nothing does.
	wake <-chan struct{}

	watching atomic.Bool
	away     time.Time // since when the store does not answer; zero: it does
	failures int       // calls in a row without an answer
}

func (r *reader) loops() []*kindLoop {
	s := r.state
	all := []*kindLoop{
		{
			kind: s.platform.ConfigurationKind, every: always(proofEvery), fresh: s.configFresh, enough: 1700 * time.Millisecond,
			replace: r.replaceConfiguration, change: r.changeConfiguration, failed: func() {},
		},
		{
			kind: s.platform.ServersKind, every: always(listEvery), fresh: s.serversFresh, enough: 1500 * time.Millisecond,
			replace: r.replaceServers, change: r.changeServer, failed: s.storeAway,
		},
	}
	if s.rollouts.enabled {
		all = append(all, &kindLoop{
			kind: s.platform.RolloutsKind, every: r.rolloutsEvery, fresh: s.rolloutsFresh,
			replace: r.replaceRollouts, change: r.changeRollout, failed: func() {}, rests: r.restsFromRollouts, wake: s.rollouts.wanted,
		})
	}
	return all
}

func always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// run reads the kind until ctx ends.
func (r *reader) run(ctx context.Context, k *kindLoop) {
	for ctx.Err() == nil {
		if left, ok := r.mayRest(k); ok {
			k.pause(ctx, left)
			continue
		}
		k.pause(ctx, r.read(ctx, k))
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

// mayRest tells for how long what a reader has told will do.
func (r *reader) mayRest(k *kindLoop) (time.Duration, bool) {
	if k.rests != nil {
		return restsFor, !r.reading() && k.rests()
	}
	age, ok := k.fresh.Age()
	if r.reading() || !ok || !k.away.IsZero() {
		return 0, false // it is also to be known when the store is back here
	}
	return k.enough - age, age < k.enough
}

// read lists the kind, sees to its watch, and returns when to read again.
func (r *reader) read(ctx context.Context, k *kindLoop) time.Duration {
	mark := k.fresh.Mark()
	l, err := r.list(ctx, k)
	if err != nil {
		k.failed()
		r.lost(k, err)
		k.failures++
		if _, known := k.fresh.Age(); known && r.told() {
			return retryIn(retryFar, r.reading())
		}
		return retryIn(k.failures, r.reading())
	}
	r.regained(k)
	if k.replace(l) {
		k.fresh.Prove(mark)
		r.state.proved()
	}
	if r.reading() && k.watching.CompareAndSwap(false, true) {
		go r.watch(ctx, k, l.Version)
	}
	every := k.every()
	return every - every/10 + rand.N(every/5)
}

// list lists the kind. A daemon that has known the kind before asks by a stale read
// first whether the store answers it at all, where that is in doubt: it is not one of
// the readers, or its last call failed.
//
// What goes wrong without that: while the store is away what the readers tell grows
// old, and each daemon lists both kinds again and again, the readers four times a
// second, all in vain; a stale read costs a tenth of a list.
func (r *reader) list(ctx context.Context, k *kindLoop) (objectstore.List, error) {
	if _, known := k.fresh.Age(); known && (!r.reading() || !k.away.IsZero()) {
		if err := r.reach(ctx); err != nil {
			return objectstore.List{}, err
		}
	}
	mark := k.fresh.Mark()
	l, err := r.store.List(ctx, k.kind, "")
	r.state.latency.list.Observe(k.fresh.Mark() - mark)
	return l, err
}

// retryIn returns how soon to call again after so many failures in a row, give
// or take a half, so that the daemons don't call together.
func retryIn(failures int, reading bool) time.Duration {
	delay := retryEvery
	for i := 1; i < failures && !reading && delay < retryMost; i++ {
		delay *= 2
	}
	return delay/2 + rand.N(delay)
}

func (r *reader) lost(k *kindLoop, err error) {
	if k.away.IsZero() {
		k.away = time.Now()
		if k.kind == r.state.platform.ConfigurationKind {
			r.state.storeLost.Store(int64(k.fresh.Mark()))
		}
		r.state.log.WithField("kind", k.kind).WithError(err).Warn("Store lost.")
	}
}

func (r *reader) regained(k *kindLoop) {
	k.failures = 0
	if !k.away.IsZero() {
		r.state.log.WithField("kind", k.kind).WithField("away_ms", time.Since(k.away).Milliseconds()).Info("Store regained.")
		k.away = time.Time{}
		if k.kind == r.state.platform.ConfigurationKind {
			r.state.storeLost.Store(0)
		}
	}
}

// watch follows the changes after a version until a call fails or others read.
// The next list starts another watch.
func (r *reader) watch(ctx context.Context, k *kindLoop, after objectstore.Version) {
	defer k.watching.Store(false)
	for ctx.Err() == nil && r.reading() {
		events, next, err := r.store.Watch(ctx, []objectstore.Kind{k.kind}, after, watchWait)
		if err != nil {
			r.state.log.WithField("kind", k.kind).WithError(err).Debug("Watch ended.")
			return
		}
		for _, e := range events {
			k.change(e, next)
		}
		after = next
		wait.For(ctx, watchPause)
	}
}

// replaceConfiguration reports whether the list proves what is in force.
func (r *reader) replaceConfiguration(l objectstore.List) bool {
	proved := false
	for _, o := range l.Objects {
		if o.Name == r.state.platform.ConfigurationName {
			proved = r.state.offerConfig(o)
		}
	}
	return proved
}

func (r *reader) changeConfiguration(e objectstore.Event, _ objectstore.Version) {
	if !e.Deleted && e.Object.Name == r.state.platform.ConfigurationName {
		r.state.offerConfig(e.Object)
	}
}

func (r *reader) replaceServers(l objectstore.List) bool {
	listed := make([]discovery.Server, 0, len(l.Objects))
	for _, o := range l.Objects {
		listed = append(listed, r.decode(o))
	}
	r.state.replaceServers(listed, l.Version)
	return true
}

func (r *reader) changeServer(e objectstore.Event, as objectstore.Version) {
	if e.Deleted {
		r.state.removeServer(e.Object.Name, e.Object.Version, as)
		return
	}
	r.state.putServer(r.decode(e.Object), as)
}

// runExpiry ends the grace of missing servers in time until ctx ends.
func (r *reader) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		delay := discovery.StoreRecoveryGrace / 4
		if in, ok := r.state.expireServers(); ok {
			delay = min(delay, in+time.Millisecond)
		}
		wait.For(ctx, delay)
	}
}

// decode returns what an entry says. A malformed one takes the place of what its
// name stood for; the state logs it when that changes, not at each read.
func (r *reader) decode(o objectstore.Object) discovery.Server {
	server, err := r.state.platform.DecodeServer(o.Name, o.Value)
	if err != nil {
		server = discovery.Server{ID: o.Name, InvalidReason: err.Error()}
	}
	server.Revision = discovery.Revision(o.Version)
	return server
}
