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

// Options configure a Syncer.
type Options struct {
	// Kinds are the object kinds to sync.
	Kinds []objectstore.Kind
	API   objectstore.ObjectAPI
	// Transport carries gossip and pulls. New registers the Syncer's handlers, so
	// the transport must not have started yet.
	Transport peer.Transport
	// View returns the current member view.
	View func() *member.View
	// Check reports whether an object on its own is valid; nil accepts every
	// object.
	Check func(objectstore.Object) bool
	// Publish makes a configuration active. It is called from one goroutine, with
	// every live object and the newest applied version.
	Publish func(objects []objectstore.Object, newest objectstore.Version)
	Metrics *metrics.Registry
	// Timing's zero fields default to those of DefaultTiming.
	Timing Timing
	// Now is the clock; nil means time.Now. Ages use its monotonic reading, so
	// wall-clock steps do not matter.
	Now func() time.Time
}

// Timing holds the intervals and timeouts of a Syncer.
type Timing struct {
	// GossipInterval is the time between two digests to random peers.
	GossipInterval time.Duration
	// BatchDelay is how long changes are collected before they are pushed and
	// published together.
	BatchDelay time.Duration
	// WatchWait is how long one watch call waits for a change.
	WatchWait time.Duration
	// FallbackDelay is the time without a successful watch on any member, beyond
	// the gossip convergence time, after which a member tries to watch itself.
	FallbackDelay time.Duration
	// FallbackDuration is how long a fallback watcher keeps watching.
	FallbackDuration time.Duration
	// InitialSyncTimeout is how long a starting member looks for peers before it
	// publishes what it has from the object API alone.
	InitialSyncTimeout time.Duration
	// CallTimeout limits a call to a peer, and the time that the object API may
	// take beyond WatchWait.
	CallTimeout time.Duration
	// RetryDelay and MaxRetryDelay are the initial and the maximum backoff of calls
	// to the object API. RoleCheckInterval is the time between two checks of
	// whether to watch.
	RetryDelay, MaxRetryDelay, RoleCheckInterval time.Duration
}

// DefaultTiming is sized to make a change active within 2 s at 9 members and 9 s
// at 390. WatchWait is short because a connection to the object API may hang: its
// watch then ends after WatchWait plus CallTimeout. This costs one call per
// watcher in each WatchWait.
var DefaultTiming = Timing{
	GossipInterval: time.Second, BatchDelay: 10 * time.Millisecond,
	WatchWait: 2 * time.Second, FallbackDelay: 4 * time.Second, FallbackDuration: 2 * time.Minute,
	InitialSyncTimeout: time.Second, CallTimeout: 1500 * time.Millisecond,
	RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 5 * time.Second, RoleCheckInterval: time.Second,
}

// Syncer keeps one member's Set up to date and publishes it. Its methods are safe
// for concurrent use.
type Syncer struct {
	opts     Options
	log      *logrus.Entry
	counters counters

	mu          sync.Mutex // guards the fields below up to fallbackUntil; never held during a call
	set         *Set
	pendingPush []Header
	fetching    map[Header]int
	pulling     map[objectstore.Kind]bool
	// confirmedAt is when the object API last confirmed this member's whole state;
	// lastWatchSuccess is the last known time of a successful watch on any member.
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

// digestQueueLength limits the digests that wait to be processed. Further ones
// are dropped and counted; later digests replace them.
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

// withDefaults sets the zero fields to their defaults.
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

// digestWorkers is the number of goroutines that process digests. With several,
// one unresponsive peer does not block the others' digests.
const digestWorkers = 4

// Run runs the Syncer until ctx ends.
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

// Ready returns a channel that is closed after the first complete configuration
// was published.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// notifyChanges schedules changes to be pushed and published. The caller holds
// s.mu.
func (s *Syncer) notifyChanges(changed []Header) {
	if len(changed) > 0 {
		s.pendingPush = append(s.pendingPush, changed...)
		wake(s.pushSignal)
	}
	wake(s.publishSignal)
}

// wake signals a loop, without blocking if a signal is pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// publish publishes the set whenever it has changed, once it is complete. With an
// incomplete set, callers of a workspace that is not known yet would be told that
// their key is invalid.
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

// After a publication the next one waits publishPauseFactor times its duration,
// so that a bulk change uses at most 1/40 of a core.
const (
	publishPauseFactor = 39
	maxPublishPause    = time.Second
)

// publishOnce publishes the set unless it is unchanged or incomplete.
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
		s.active.Store(next) // only Floor may have risen
		return
	}
	objects := s.set.Objects()
	s.mu.Unlock()
	s.opts.Publish(objects, next.Version)
	s.active.Store(next)
	s.counters.published.Add(1)
	if previous == nil {
		s.log.Infof("configuration version %d is active, %d objects", next.Version, len(objects))
		close(s.ready)
	}
}

// errorReason returns the metric name of an error of the object API or a peer.
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
