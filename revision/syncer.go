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
	// GossipInterval is between two digests to a random peer.
	GossipInterval time.Duration
	// BatchDelay is how long changes are gathered before they are pushed and
	// published together.
	BatchDelay time.Duration
	// WatchWait is how long one watch call waits for a change.
	WatchWait time.Duration
	// FallbackDelay is after how long without any member's watch working a member
	// tries one itself, besides the time that gossip needs to tell of it.
	FallbackDelay time.Duration
	// FallbackDuration is how long such a member goes on.
	FallbackDuration time.Duration
	// InitialSyncTimeout is how long a starting member looks for peers before it
	// publishes what the object API alone told it.
	InitialSyncTimeout time.Duration
	// CallTimeout bounds a call to a peer, and what the object API may take beyond
	// WatchWait.
	CallTimeout time.Duration
	// RetryDelay and MaxRetryDelay are the first and the longest delay between
	// attempts at the object API; Tick is between looks at whether to watch.
	RetryDelay, MaxRetryDelay, RoleCheckInterval time.Duration
}

// DefaultTiming is sized for a change in force within 2 s at 9 members and 9 s
// at 390. WatchWait is short because a connection to the object API can go
// silent: the watch on it then ends after WatchWait and Call, at the cost of
// one call for each watcher in WatchWait.
var DefaultTiming = Timing{
	GossipInterval: time.Second, BatchDelay: 10 * time.Millisecond,
	WatchWait: 2 * time.Second, FallbackDelay: 4 * time.Second, FallbackDuration: 2 * time.Minute,
	InitialSyncTimeout: time.Second, CallTimeout: 1500 * time.Millisecond,
	RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 5 * time.Second, RoleCheckInterval: time.Second,
}

// Syncer keeps one member's Set up to date and publishes it. Its methods are
// safe for concurrent use.
type Syncer struct {
	opts     Options
	log      *logrus.Entry
	counters counters

	mu          sync.Mutex // guards what follows; never held over a call
	set         *Set
	pendingPush []Header
	fetching    map[Header]int
	pulling     map[objectstore.Kind]bool
	// confirmedAt is when the object API last confirmed all that is held here;
	// lastWatchSuccess is when any member's watch last worked, as far as is known.
	confirmedAt, lastWatchSuccess time.Time
	fallbackUntil                 time.Time

	digestQueue     chan receivedDigest
	pushSignal      chan struct{}
	publishSignal   chan struct{}
	initialSyncDone chan struct{}
	ready           chan struct{}
	active          atomic.Pointer[ActiveConfig]
	watching        atomic.Bool
}

// digestQueueLength bounds the digests that wait to be handled; more are dropped
// and counted, which the next digest makes good.
const digestQueueLength = 256

// New returns a Syncer and registers its handlers at the transport.
func New(opts Options) *Syncer {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	opts.Timing = opts.Timing.withDefaults()
	s := &Syncer{
		opts: opts, log: logs.For("config"), counters: newCounters(opts.Metrics),
		set: NewSet(opts.Kinds, opts.Check), fetching: map[Header]int{}, pulling: map[objectstore.Kind]bool{},
		lastWatchSuccess: opts.Now(),
		digestQueue:      make(chan receivedDigest, digestQueueLength),
		pushSignal:       make(chan struct{}, 1), publishSignal: make(chan struct{}, 1),
		initialSyncDone: make(chan struct{}), ready: make(chan struct{}),
	}
	opts.Transport.Handle(peer.TypeConfigDigest, s.receiveDigest)
	opts.Transport.Handle(peer.TypeConfigPull, s.answerPull)
	return s
}

// withDefaults fills in the zero fields.
func (t Timing) withDefaults() Timing {
	d := DefaultTiming
	for _, f := range []struct{ v, def *time.Duration }{
		{&t.GossipInterval, &d.GossipInterval}, {&t.BatchDelay, &d.BatchDelay}, {&t.WatchWait, &d.WatchWait}, {&t.FallbackDelay, &d.FallbackDelay},
		{&t.FallbackDuration, &d.FallbackDuration}, {&t.InitialSyncTimeout, &d.InitialSyncTimeout}, {&t.CallTimeout, &d.CallTimeout},
		{&t.RetryDelay, &d.RetryDelay}, {&t.MaxRetryDelay, &d.MaxRetryDelay}, {&t.RoleCheckInterval, &d.RoleCheckInterval},
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
	wg.Go(func() { s.initialSync(ctx) })
	wg.Go(func() { s.gossipDigests(ctx) })
	wg.Go(func() { s.pushChanges(ctx) })
	wg.Go(func() { s.publish(ctx) })
	wg.Go(func() { s.watch(ctx) })
	for range digestWorkers {
		wg.Go(func() { s.handleDigests(ctx) })
	}
	wg.Wait()
}

// Ready is closed once a whole configuration has been published.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// notifyChanges notes changes that are to be pushed and published. Call it with mu
// held.
func (s *Syncer) notifyChanges(changed []Header) {
	if len(changed) > 0 {
		s.pendingPush = append(s.pendingPush, changed...)
		wake(s.pushSignal)
	}
	wake(s.publishSignal)
}

// wake wakes a loop that is not awake already.
func wake(c chan struct{}) {
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
	case <-s.initialSyncDone:
	case <-ctx.Done():
		return
	}
	for {
		select {
		case <-s.publishSignal:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, s.opts.Timing.BatchDelay) {
			return
		}
		start := time.Now()
		s.publishOnce()
		if !wait.For(ctx, min(publishPauseFactor*time.Since(start), maxPublishPause)) {
			return
		}
	}
}

// After a publication the next one waits publishPauseFactor times as long as it took,
// so that a bulk change costs at most 1 in 40 of a core.
const (
	publishPauseFactor = 39
	maxPublishPause    = time.Second
)

// publishOnce publishes, unless nothing changed or the set is not whole yet.
func (s *Syncer) publishOnce() {
	s.mu.Lock()
	next := &ActiveConfig{
		Version: s.set.Newest(), Hash: s.set.Hash(), Floor: s.set.Floor(), changes: s.set.Changes(),
	}
	previous := s.active.Load()
	if !s.set.Complete() {
		s.mu.Unlock()
		return
	}
	if previous != nil && previous.changes == next.changes {
		s.mu.Unlock()
		s.active.Store(next) // only Through may have risen
		return
	}
	objects := s.set.Objects()
	s.mu.Unlock()
	s.opts.Publish(objects, next.Version)
	s.active.Store(next)
	s.counters.published.Add(1)
	if previous == nil {
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
