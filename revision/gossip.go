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
	// maxRumors bounds the changes in one push; a bulk change goes by digest.
	maxRumors = 64
	// maxWanted bounds the records asked for in one pull.
	maxWanted = 256
	// maxFetches is how many peers are asked for one record at a time.
	maxFetches = 2
	// joinPeers is how many peers a starting member asks.
	joinPeers = 3
	// joinPoll is between two looks for peers at the start.
	joinPoll = 50 * time.Millisecond
)

// inbound is a digest from a peer.
type inbound struct {
	from   peer.Name
	digest *configwire.Digest
}

// jitter returns d, a quarter more or less.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}

// peers returns up to n random members that are not known to be dead.
func (s *Syncer) peers(n int) []peer.Name {
	view := s.o.View()
	var out []peer.Name
	for _, i := range rand.Perm(len(view.Members)) {
		m := view.Members[i]
		if len(out) == n {
			break
		}
		if m.State != member.Dead && peer.Name(m.Name) != s.o.Transport.Self() {
			out = append(out, peer.Name(m.Name))
		}
	}
	return out
}

// join asks peers for what they know before anything is published, so that a
// member which restarts during an outage, or reads a stale listing, starts
// with the newest that any of its peers has.
func (s *Syncer) join(ctx context.Context) {
	defer close(s.joined)
	until := s.o.Now().Add(s.o.Timing.PeerWait)
	asked := make(map[peer.Name]bool)
	for s.o.Now().Before(until) {
		peers := s.peers(joinPeers)
		for _, p := range peers {
			if !asked[p] && s.o.Now().Before(until) {
				asked[p] = s.pullAll(ctx, p)
			}
		}
		if answered(asked) >= joinPeers || (len(peers) > 0 && answered(asked) == len(peers)) {
			return
		}
		if !wait.For(ctx, joinPoll) {
			return
		}
	}
}

// answered counts the peers that answered.
func answered(asked map[peer.Name]bool) int {
	n := 0
	for _, ok := range asked {
		if ok {
			n++
		}
	}
	return n
}

// pullAll brings every kind up to a peer's knowledge.
func (s *Syncer) pullAll(ctx context.Context, from peer.Name) bool {
	for _, kind := range s.o.Kinds {
		if !s.pullKind(ctx, from, kind) {
			return false
		}
	}
	return true
}

// gossip sends a digest to one random member at each interval.
func (s *Syncer) gossip(ctx context.Context) {
	for wait.For(ctx, jitter(s.o.Timing.Gossip)) {
		for _, to := range s.peers(1) {
			s.send(to, s.digest())
			s.counters.digestsSent.Add(1)
		}
	}
}

// digest returns the message that sums up what is held.
func (s *Syncer) digest() *configwire.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &configwire.Digest{ConfirmedAgeMs: age(s.o.Now(), s.confirmed)}
	for _, d := range s.set.Digest() {
		m.Kinds = append(m.Kinds, toWireDigest(d))
	}
	return m
}

// send queues a digest; what is lost is made good by a later one.
func (s *Syncer) send(to peer.Name, m *configwire.Digest) {
	if err := s.o.Transport.Send(to, peer.TypeConfigDigest, marshal(m)); err != nil {
		s.counters.retry(err)
	}
}

// push tells a few random members of each change as soon as it is known.
func (s *Syncer) push(ctx context.Context) {
	for {
		select {
		case <-s.toPush:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, s.o.Timing.Settle) {
			return
		}
		s.mu.Lock()
		rumors := s.rumors
		s.rumors = nil
		s.mu.Unlock()
		message := &configwire.Digest{Changes: toWireHeaders(rumors)}
		if len(rumors) > maxRumors {
			message = s.digest() // constant in size; the peers pull
		}
		for _, to := range s.peers(fanout) {
			s.send(to, message)
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
	case s.inbox <- inbound{from, m}:
	default:
		s.counters.digestsDropped.Add(1)
	}
	return nil, nil
}

// work handles received digests.
func (s *Syncer) work(ctx context.Context) {
	for {
		select {
		case in := <-s.inbox:
			s.handleDigest(ctx, in)
		case <-ctx.Done():
			return
		}
	}
}

// handleDigest fetches what a peer knows newer.
func (s *Syncer) handleDigest(ctx context.Context, in inbound) {
	if len(in.digest.GetChanges()) > 0 {
		s.fetch(ctx, in.from, s.news(fromWireHeaders(in.digest.GetChanges())))
	}
	for _, kind := range s.compare(in.digest) {
		s.pullKind(ctx, in.from, kind)
	}
}

// news applies the deletions among headers and returns what is to be fetched.
func (s *Syncer) news(headers []Header) (wanted []Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var deleted []Header
	for _, h := range headers {
		switch {
		case !s.set.Wants(h):
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
		s.learned(deleted)
	}
	return wanted
}

// compare returns the kinds in which a digest differs, and takes over how
// fresh the peer's knowledge is where it does not.
func (s *Syncer) compare(m *configwire.Digest) []objectstore.Kind {
	if len(m.GetKinds()) == 0 {
		return nil
	}
	digests := make([]KindDigest, len(m.GetKinds()))
	for i, d := range m.GetKinds() {
		digests[i] = fromWireDigest(d)
	}
	at := fromAge(s.o.Now(), m.ConfirmedAgeMs)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchSeen = later(s.watchSeen, at)
	differ := s.set.Compare(digests)
	if len(differ) == 0 {
		s.confirmed = later(s.confirmed, at)
		s.learned(nil) // the set may be whole only now
	}
	return differ
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
