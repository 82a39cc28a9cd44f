package revision

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// WatchersPerRegion is the number of members per region that watch the object
// API. With two, the failure or partition of one causes no delay.
const WatchersPerRegion = 2

// watcherHashPrefix is the prefix of the names that are hashed to rank members as
// watchers.
const watcherHashPrefix = "config-watch\x00"

// Watchers returns the members selected to watch in a region: those with the
// highest rendezvous hash among its live members. A change of one member moves at
// most that member's watch.
func Watchers(view *member.View, regionMembers string) []string {
	var names []string
	for _, m := range view.Members {
		if m.Region == regionMembers && (m.State == member.Alive || m.State == member.Suspect) {
			names = append(names, m.Name)
		}
	}
	rank := func(name string) uint64 { return xxhash.Sum64String(watcherHashPrefix + name) }
	slices.SortFunc(names, func(a, b string) int {
		if ra, rb := rank(a), rank(b); ra != rb {
			if ra > rb {
				return -1
			}
			return 1
		}
		return 0
	})
	return names[:min(len(names), WatchersPerRegion)]
}

// watch keeps watching while this member is a selected or fallback watcher.
func (s *Syncer) watch(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = s.opts.Timing.RetryDelay, s.opts.Timing.MaxRetryDelay
	for ctx.Err() == nil {
		selected := s.isSelected()
		if !selected && !s.isFallback() {
			s.watching.Store(false)
			wait.For(ctx, jitter(s.opts.Timing.RoleCheckInterval))
			continue
		}
		err := s.watchOnce(ctx)
		s.watching.Store(err == nil)
		s.updateFallback(!selected && err == nil)
		switch {
		case err == nil:
			delays.Reset()
		case ctx.Err() != nil:
			return
		case selected:
			s.recordFailure(err)
			wait.For(ctx, delays.NextBackOff())
		default:
			s.recordFailure(err)
			wait.For(ctx, jitter(s.opts.Timing.RoleCheckInterval))
		}
	}
}

// recordFailure counts and logs a failed call to the object API.
func (s *Syncer) recordFailure(err error) {
	s.counters.countRetry(err)
	s.log.Debugf("object API call failed: %v", err)
}

// isSelected reports whether this member is one of its region's watchers. A
// member that is missing from its own view knows no others yet and watches.
func (s *Syncer) isSelected() bool {
	view := s.opts.View()
	self := string(s.opts.Transport.Self())
	me, ok := view.Get(self)
	return !ok || slices.Contains(Watchers(view, me.Region), self)
}

// isFallback reports whether this member watches although it is not selected.
//
// The selected watchers of a region may be partitioned from the object API while
// other members are not; without fallback watchers, the configuration of every
// member would then grow old. After FallbackDelay each member tries with a
// probability that gives two attempts per RoleCheckInterval and region. In an
// outage of the object API the number of attempts thus does not grow with the
// number of members. A member that succeeds goes on for FallbackDuration.
func (s *Syncer) isFallback() bool {
	s.mu.Lock()
	lastSuccess, until := s.lastWatchSuccess, s.fallbackUntil
	s.mu.Unlock()
	now := s.opts.Now()
	if now.Before(until) {
		return true
	}
	view := s.opts.View()
	if now.Sub(lastSuccess) < s.opts.Timing.FallbackDelay+gossipConvergenceTime(s.opts.Timing.GossipInterval, len(view.Members)) {
		return false
	}
	me, _ := view.Get(string(s.opts.Transport.Self()))
	regionMembers := 0
	for _, m := range view.Members {
		if m.Region == me.Region && m.State != member.Dead {
			regionMembers++
		}
	}
	return rand.IntN(max(1, regionMembers)) < WatchersPerRegion
}

// gossipConvergenceTime returns the time that digests at an interval need to
// reach nearly all of n members: about 1.7 log2(n) rounds when each member tells
// one other (Pittel's bound log2(n)+ln(n)), plus a margin for jitter.
func gossipConvergenceTime(interval time.Duration, n int) time.Duration {
	return 2 * interval * time.Duration(bits.Len(uint(n)))
}

// updateFallback starts or ends this member's period as a fallback watcher.
func (s *Syncer) updateFallback(succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Now()
	switch {
	case !succeeded:
		s.fallbackUntil = time.Time{}
	case now.After(s.fallbackUntil):
		s.fallbackUntil = now.Add(s.opts.Timing.FallbackDuration)
	}
}

// watchOnce makes one watch call, or lists all kinds if a watch cannot continue.
func (s *Syncer) watchOnce(ctx context.Context) error {
	s.mu.Lock()
	complete, after := s.set.Complete(), s.set.Floor()
	s.mu.Unlock()
	if !complete {
		return s.listAll(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.WatchWait+s.opts.Timing.CallTimeout)
	defer cancel()
	events, next, err := s.opts.API.Watch(ctx, s.opts.Kinds, after, s.opts.Timing.WatchWait)
	if errors.Is(err, objectstore.ErrCompacted) {
		s.counters.countRetry(err)
		return s.listAll(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "watch")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.set.ApplyEvents(events, after, next)
	s.counters.watchesReturned.Add(1)
	s.storeAnswered(changed)
	return nil
}

// listAll lists every kind.
func (s *Syncer) listAll(ctx context.Context) error {
	for _, kind := range s.opts.Kinds {
		if err := s.listKind(ctx, kind); err != nil {
			return errors.Wrapf(err, "list %s", kind)
		}
	}
	return nil
}

// listTimeout limits one listing.
const listTimeout = 10 * time.Second

// listKind lists one kind and merges the result.
func (s *Syncer) listKind(ctx context.Context, kind objectstore.Kind) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := s.opts.API.List(ctx, kind, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAnswered(s.set.ApplyList(kind, list))
	return nil
}

// storeAnswered records a successful answer of the object API and its changes.
// The caller holds s.mu.
func (s *Syncer) storeAnswered(changed []Header) {
	now := s.opts.Now()
	s.lastWatchSuccess = now
	if s.set.Complete() {
		s.confirmedAt = now
	}
	s.counters.fromStore.Add(int64(len(changed)))
	s.notifyChanges(changed)
}
