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
	// fanout is to how many random members a member pushes a change that it
	// just learnt. With 4 a push alone reaches 98 in 100 members in about
	// log4(n) hops; the digests reach the rest.
	fanout = 4
	// maxPushedChanges bounds the changes in one push; a bulk change goes by digest.
	maxPushedChanges = 64
	// maxPulledRecords bounds the records asked for in one pull.
	maxPulledRecords = 256
	// maxFetchPeers is how many peers are asked for one record at a time.
	maxFetchPeers = 2
	// initialSyncPeers is how many peers a starting member asks.
	initialSyncPeers = 3
	// initialSyncPollInterval is between two looks for peers at the start.
	initialSyncPollInterval = 50 * time.Millisecond
)

// receivedDigest is a digest from a peer.
type receivedDigest struct {
	from   peer.Name
	digest *configwire.Digest
}

// jitter returns d, a quarter more or less.
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

// initialSync asks peers for what they know before anything is published, so that a
// member which restarts during an outage, or reads a stale listing, starts
// with the newest that any of its peers has.
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

// countAnswered counts the peers that answered.
func countAnswered(answered map[peer.Name]bool) int {
	n := 0
	for _, ok := range answered {
		if ok {
			n++
		}
	}
	return n
}

// pullAll brings every kind up to a peer's knowledge.
func (s *Syncer) pullAll(ctx context.Context, from peer.Name) bool {
	for _, kind := range s.opts.Kinds {
		if !s.pullKind(ctx, from, kind) {
			return false
		}
	}
	return true
}

// gossipDigests sends a digest to one random member at each interval.
func (s *Syncer) gossipDigests(ctx context.Context) {
	for wait.For(ctx, jitter(s.opts.Timing.GossipInterval)) {
		for _, to := range s.randomPeers(1) {
			s.sendDigest(to, s.digestMessage())
			s.counters.digestsSent.Add(1)
		}
	}
}

// digestMessage returns the message that sums up what is held.
func (s *Syncer) digestMessage() *configwire.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &configwire.Digest{ConfirmedAgeMs: toWireAge(s.opts.Now(), s.confirmedAt)}
	for _, d := range s.set.Digest() {
		m.Kinds = append(m.Kinds, toWireDigest(d))
	}
	return m
}

// sendDigest queues a digest; what is lost is made good by a later one.
func (s *Syncer) sendDigest(to peer.Name, m *configwire.Digest) {
	if err := s.opts.Transport.Send(to, peer.TypeConfigDigest, marshal(m)); err != nil {
		s.counters.countRetry(err)
	}
}

// pushChanges tells a few random members of each change as soon as it is known.
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
			message = s.digestMessage() // constant in size; the peers pull
		}
		for _, to := range s.randomPeers(fanout) {
			s.sendDigest(to, message)
			s.counters.pushes.Add(1)
		}
	}
}

// receiveDigest is the handler of digests.
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

// handleDigests handles received digests.
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

// handleDigest fetches what a peer knows newer.
func (s *Syncer) handleDigest(ctx context.Context, received receivedDigest) {
	if len(received.digest.GetChanges()) > 0 {
		s.fetch(ctx, received.from, s.applyHeaders(fromWireHeaders(received.digest.GetChanges())))
	}
	for _, kind := range s.mergeDigest(received.digest) {
		s.pullKind(ctx, received.from, kind)
	}
}

// applyHeaders applies the deletions among headers and returns what is to be fetched.
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

// mergeDigest returns the kinds in which a digest differs, and takes over how
// fresh the peer's knowledge is where it does not.
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
		s.notifyChanges(nil) // the set may be whole only now
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
