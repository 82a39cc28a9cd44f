package revision

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/configwire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

const (
	// fanout is the number of random members to which a member pushes a new change.
	// With 4, pushes alone reach 98% of the members in about log4(n) hops; digests
	// reach the rest.
	fanout = 4
	// maxPushedChanges limits the changes in one push; for a larger batch a digest
	// is sent.
	maxPushedChanges = 64
	// maxPulledRecords limits the records requested in one pull.
	maxPulledRecords = 256
	// maxFetchPeers is the number of peers that are asked for one record
	// concurrently.
	maxFetchPeers = 2
	// initialSyncPeers is the number of peers that a starting member syncs with.
	initialSyncPeers = 3
	// initialSyncPollInterval is the time between two attempts to find peers at
	// startup.
	initialSyncPollInterval = 50 * time.Millisecond
)

// receivedDigest is a digest from a peer.
type receivedDigest struct {
	from   peer.Name
	digest *configwire.Digest
}

// jitter returns d varied at random by up to 25%.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// randomPeers returns up to n random members that are not known to be dead.
func (s *Syncer) randomPeers(n int) []peer.Name {
	view := s.opts.View()
	var out []peer.Name
	for _, i := range rand.Perm(len(view.Members)) {
		m := view.Members[i]
		if len(out) == n {
			break
		}
		if m.State != member.Dead && peer.Name(m.Name) != s.opts.Transport.Self() {
			out = append(out, peer.Name(m.Name))
		}
	}
	return out
}

// initialSync pulls from peers before anything is published. A member that
// restarts during a store outage, or reads a stale listing, thus starts with the
// newest version that any of these peers has.
func (s *Syncer) initialSync(ctx context.Context) {
	defer close(s.initialSyncDone)
	deadline := s.opts.Now().Add(s.opts.Timing.InitialSyncTimeout)
	answered := make(map[peer.Name]bool)
	for s.opts.Now().Before(deadline) {
		peers := s.randomPeers(initialSyncPeers)
		for _, p := range peers {
			if !answered[p] && s.opts.Now().Before(deadline) {
				answered[p] = s.pullAll(ctx, p)
			}
		}
		if countAnswered(answered) >= initialSyncPeers || (len(peers) > 0 && countAnswered(answered) == len(peers)) {
			return
		}
		if !wait.For(ctx, initialSyncPollInterval) {
			return
		}
	}
}

// countAnswered returns the number of peers that answered.
func countAnswered(answered map[peer.Name]bool) int {
	n := 0
	for _, ok := range answered {
		if ok {
			n++
		}
	}
	return n
}

// pullAll pulls every kind from a peer. It returns false if the peer did not
// answer.
func (s *Syncer) pullAll(ctx context.Context, from peer.Name) bool {
	for _, kind := range s.opts.Kinds {
		if !s.pullKind(ctx, from, kind) {
			return false
		}
	}
	return true
}

// gossipDigests sends a digest to one random member per interval.
func (s *Syncer) gossipDigests(ctx context.Context) {
	for wait.For(ctx, jitter(s.opts.Timing.GossipInterval)) {
		for _, to := range s.randomPeers(1) {
			s.sendDigest(to, s.digestMessage())
			s.counters.digestsSent.Add(1)
		}
	}
}

// digestMessage returns the digest of this member's state.
func (s *Syncer) digestMessage() *configwire.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &configwire.Digest{ConfirmedAgeMs: toWireAge(s.opts.Now(), s.confirmedAt)}
	for _, d := range s.set.Digest() {
		m.Kinds = append(m.Kinds, toWireDigest(d))
	}
	return m
}

// sendDigest queues a digest. A lost digest needs no retry: a later one replaces
// it.
func (s *Syncer) sendDigest(to peer.Name, m *configwire.Digest) {
	if err := s.opts.Transport.Send(to, peer.TypeConfigDigest, marshal(m)); err != nil {
		s.counters.countRetry(err)
	}
}

// pushChanges sends each batch of new changes to a few random members.
func (s *Syncer) pushChanges(ctx context.Context) {
	for {
		select {
		case <-s.pushSignal:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, s.opts.Timing.BatchDelay) {
			return
		}
		s.mu.Lock()
		changes := s.pendingPush
		s.pendingPush = nil
		s.mu.Unlock()
		message := &configwire.Digest{Changes: toWireHeaders(changes)}
		if len(changes) > maxPushedChanges {
			message = s.digestMessage() // constant in size; the peers pull what differs
		}
		for _, to := range s.randomPeers(fanout) {
			s.sendDigest(to, message)
			s.counters.pushes.Add(1)
		}
	}
}

// receiveDigest is the transport handler for digests.
func (s *Syncer) receiveDigest(_ context.Context, from peer.Name, payload []byte) ([]byte, error) {
	m := &configwire.Digest{}
	if err := proto.Unmarshal(payload, m); err != nil {
		s.counters.malformed.Add(1)
		return nil, err
	}
	select {
	case s.digestQueue <- receivedDigest{from, m}:
	default:
		s.counters.digestsDropped.Add(1)
	}
	return nil, nil
}

// handleDigests processes queued digests until ctx ends.
func (s *Syncer) handleDigests(ctx context.Context) {
	for {
		select {
		case received := <-s.digestQueue:
			s.handleDigest(ctx, received)
		case <-ctx.Done():
			return
		}
	}
}

// handleDigest fetches what is newer at the peer.
func (s *Syncer) handleDigest(ctx context.Context, received receivedDigest) {
	if len(received.digest.GetChanges()) > 0 {
		s.fetch(ctx, received.from, s.applyHeaders(fromWireHeaders(received.digest.GetChanges())))
	}
	for _, kind := range s.mergeDigest(received.digest) {
		s.pullKind(ctx, received.from, kind)
	}
}

// applyHeaders applies the deletions among the headers and returns the headers to
// fetch.
func (s *Syncer) applyHeaders(headers []Header) (wanted []Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var deleted []Header
	for _, h := range headers {
		switch {
		case !s.set.IsNewer(h):
		case h.Deleted:
			if s.set.Apply(deletion(h)) {
				deleted = append(deleted, h)
			}
		default:
			wanted = append(wanted, h)
		}
	}
	if len(deleted) > 0 {
		s.counters.fromPeers.Add(int64(len(deleted)))
		s.notifyChanges(deleted)
	}
	return wanted
}

// mergeDigest returns the kinds that differ from a peer's digest. If none differ,
// the time at which the store last confirmed the peer's state is adopted.
func (s *Syncer) mergeDigest(m *configwire.Digest) []objectstore.Kind {
	if len(m.GetKinds()) == 0 {
		return nil
	}
	digests := make([]KindDigest, len(m.GetKinds()))
	for i, d := range m.GetKinds() {
		digests[i] = fromWireDigest(d)
	}
	confirmedAt := fromWireAge(s.opts.Now(), m.ConfirmedAgeMs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWatchSuccess = later(s.lastWatchSuccess, confirmedAt)
	differing := s.set.MergeDigest(digests)
	if len(differing) == 0 {
		s.confirmedAt = later(s.confirmedAt, confirmedAt)
		s.notifyChanges(nil) // the set may have become complete
	}
	return differing
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
