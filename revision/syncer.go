package revision

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Options set up a Syncer.
type Options struct {
	// Kinds are what is kept and spread.
	Kinds []objectstore.Kind
	API   objectstore.ObjectAPI
	// Transport carries gossip and pulls. The Syncer registers its handlers,
	// so make it before the transport starts.
	Transport peer.Transport
	// View returns the members in force.
	View func() *member.View
	// Check tells whether an object by itself may go in force; nil takes all.
	Check func(objectstore.Object) bool
	// Publish puts a configuration in force; it is called from one goroutine,
	// with every live object and the newest version applied.
	Publish func(objects []objectstore.Object, newest objectstore.Version)
	Metrics *metrics.Registry
	// Timing's zero fields take DefaultTiming's.
	Timing Timing
	// Now is the clock; nil is time.Now. Ages are counted on its monotonic
	// reading, so a step of the wall clock does not matter.
	Now func() time.Time
}

// Timing holds the intervals of a Syncer.
type Timing struct {
	// Gossip is between two digests to a random peer.
	Gossip time.Duration
	// Settle is how long changes are gathered before they are pushed and
	// published together.
	Settle time.Duration
	// WatchWait is how long one watch call waits for a change.
	WatchWait time.Duration
	// Stale is after how long without any member's watch working a member
	// tries one itself, besides the time that gossip needs to tell of it.
	Stale time.Duration
	// Volunteer is how long such a member goes on.
	Volunteer time.Duration
	// PeerWait is how long a starting member looks for peers before it
	// publishes what the object API alone told it.
	PeerWait time.Duration
	// Call bounds a call to a peer, and what the object API may take beyond
	// WatchWait.
	Call time.Duration
	// Retry and MaxRetry are the first and the longest delay between
	// attempts at the object API; Tick is between looks at whether to watch.
	Retry, MaxRetry, Tick time.Duration
}

// DefaultTiming is sized for a change in force within 2 s at 9 members and 9 s
// at 390. WatchWait is short because a connection to the object API can go
// silent: the watch on it then ends after WatchWait and Call, at the cost of
// one call for each watcher in WatchWait.
var DefaultTiming = Timing{
	Gossip: time.Second, Settle: 10 * time.Millisecond,
	WatchWait: 2 * time.Second, Stale: 4 * time.Second, Volunteer: 2 * time.Minute,
	PeerWait: time.Second, Call: 1500 * time.Millisecond,
	Retry: 200 * time.Millisecond, MaxRetry: 5 * time.Second, Tick: time.Second,
}

// Syncer keeps one member's Set up to date and publishes it. Its methods are
// safe for concurrent use.
type Syncer struct {
	o        Options
	log      *logrus.Entry
	counters counters

	mu       sync.Mutex // guards what follows; never held over a call
	set      *Set
	rumors   []Header
	fetching map[Header]int
	pulling  map[objectstore.Kind]bool
	// confirmed is when the object API last confirmed all that is held here;
	// watchSeen is when any member's watch last worked, as far as is known.
	confirmed, watchSeen time.Time
	volunteerUntil       time.Time

	inbox     chan inbound
	toPush    chan struct{}
	toPublish chan struct{}
	joined    chan struct{}
	ready     chan struct{}
	inForce   atomic.Pointer[InForce]
	watching  atomic.Bool
}

// inboxLength bounds the digests that wait to be handled; more are dropped
// and counted, which the next digest makes good.
const inboxLength = 256

// New returns a Syncer and registers its handlers at the transport.
func New(o Options) *Syncer {
	if o.Now == nil {
		o.Now = time.Now
	}
	o.Timing = o.Timing.withDefaults()
	s := &Syncer{
		o: o, log: logs.For("config"), counters: newCounters(o.Metrics),
		set: NewSet(o.Kinds, o.Check), fetching: map[Header]int{}, pulling: map[objectstore.Kind]bool{},
		watchSeen: o.Now(),
		inbox:     make(chan inbound, inboxLength),
		toPush:    make(chan struct{}, 1), toPublish: make(chan struct{}, 1),
		joined: make(chan struct{}), ready: make(chan struct{}),
	}
	o.Transport.Handle(peer.TypeConfigDigest, s.receiveDigest)
	o.Transport.Handle(peer.TypeConfigPull, s.answerPull)
	return s
}

// withDefaults fills in the zero fields.
func (t Timing) withDefaults() Timing {
	d := DefaultTiming
	for _, f := range []struct{ v, def *time.Duration }{
		{&t.Gossip, &d.Gossip}, {&t.Settle, &d.Settle}, {&t.WatchWait, &d.WatchWait}, {&t.Stale, &d.Stale},
		{&t.Volunteer, &d.Volunteer}, {&t.PeerWait, &d.PeerWait}, {&t.Call, &d.Call},
		{&t.Retry, &d.Retry}, {&t.MaxRetry, &d.MaxRetry}, {&t.Tick, &d.Tick},
	} {
		if *f.v == 0 {
			*f.v = *f.def
		}
	}
	return t
}

// digestWorkers handle received digests, so that one silent peer does not
// hold up the others.
const digestWorkers = 4

// Run works until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(func() { s.join(ctx) })
	wg.Go(func() { s.gossip(ctx) })
	wg.Go(func() { s.push(ctx) })
	wg.Go(func() { s.publish(ctx) })
	wg.Go(func() { s.watch(ctx) })
	for range digestWorkers {
		wg.Go(func() { s.work(ctx) })
	}
	wg.Wait()
}

// Ready is closed once a whole configuration has been published.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// learned notes changes that are to be pushed and published. Call it with mu
// held.
func (s *Syncer) learned(changed []Header) {
	if len(changed) > 0 {
		s.rumors = append(s.rumors, changed...)
		signal(s.toPush)
	}
	signal(s.toPublish)
}

// signal wakes a loop that is not awake already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publish puts in force what is held, once it is whole. What goes wrong with
// a part of it: callers whose workspace is not known yet would be told that
// their key is wrong.
func (s *Syncer) publish(ctx context.Context) {
	select {
	case <-s.joined:
	case <-ctx.Done():
		return
	}
	for {
		select {
		case <-s.toPublish:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, s.o.Timing.Settle) {
			return
		}
		start := time.Now()
		s.publishOnce()
		if !wait.For(ctx, min(publishRest*time.Since(start), maxPublishRest)) {
			return
		}
	}
}

// After a publication the next one waits publishRest times as long as it took,
// so that a bulk change costs at most 1 in 40 of a core.
const (
	publishRest    = 39
	maxPublishRest = time.Second
)

// publishOnce publishes, unless nothing changed or the set is not whole yet.
func (s *Syncer) publishOnce() {
	s.mu.Lock()
	next := &InForce{
		Version: s.set.Newest(), Hash: s.set.Hash(), Through: s.set.Floor(), changes: s.set.Changes(),
	}
	before := s.inForce.Load()
	if !s.set.Complete() {
		s.mu.Unlock()
		return
	}
	if before != nil && before.changes == next.changes {
		s.mu.Unlock()
		s.inForce.Store(next) // only Through may have risen
		return
	}
	objects := s.set.Objects()
	s.mu.Unlock()
	s.o.Publish(objects, next.Version)
	s.inForce.Store(next)
	s.counters.published.Add(1)
	if before == nil {
		s.log.Infof("configuration of version %d in force, %d objects", next.Version, len(objects))
		close(s.ready)
	}
}

// errorReason names an error of the object API or a peer for its counter.
func errorReason(err error) string {
	for _, r := range []struct {
		err  error
		name string
	}{
		{objectstore.ErrCompacted, "compacted"}, {objectstore.ErrUnavailable, "store_unavailable"},
		{objectstore.ErrUnknownOutcome, "store_silent"}, {context.DeadlineExceeded, "store_silent"},
		{peer.ErrNotConnected, "peer_not_connected"}, {peer.ErrOverloaded, "peer_overloaded"},
		{peer.ErrUnknownOutcome, "peer_silent"}, {peer.ErrUnknownType, "peer_unknown_type"},
	} {
		if errors.Is(err, r.err) {
			return r.name
		}
	}
	return "other"
}
