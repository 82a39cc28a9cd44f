package revision

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/configwire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// answerPull is the transport handler for pulls.
func (s *Syncer) answerPull(_ context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	m := &configwire.Pull{}
	if err := proto.Unmarshal(payload, m); err != nil {
		s.counters.malformed.Add(1)
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(m.GetWanted()) == 0 {
		return marshal(toWireAnswer(s.set.ListDiffering(objectstore.Kind(m.GetKind()), m.GetBuckets()))), nil
	}
	answer := &configwire.PullAnswer{}
	for _, r := range s.set.Records(fromWireHeaders(m.GetWanted())) {
		answer.Records = append(answer.Records, toWireRecord(r))
	}
	return marshal(answer), nil
}

// sendPull sends a pull and returns the answer, or false if there was none.
func (s *Syncer) sendPull(ctx context.Context, to peer.Name, m *configwire.Pull) (*configwire.PullAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.Timing.CallTimeout)
	defer cancel()
	s.counters.pulls.Add(1)
	payload, err := s.opts.Transport.Call(ctx, to, peer.TypeConfigPull, marshal(m))
	if err != nil {
		s.counters.countRetry(err)
		return nil, false
	}
	answer := &configwire.PullAnswer{}
	if err := proto.Unmarshal(payload, answer); err != nil {
		s.counters.malformed.Add(1)
		return nil, false
	}
	return answer, true
}

// pullKind merges a peer's state of one kind and sends the peer the headers that
// are newer here. It returns false if the peer did not answer.
func (s *Syncer) pullKind(ctx context.Context, from peer.Name, kind objectstore.Kind) bool {
	buckets, started := s.startPull(kind)
	if !started {
		return true
	}
	defer s.endPull(kind)
	answer, ok := s.sendPull(ctx, from, &configwire.Pull{Kind: string(kind), Buckets: buckets})
	if !ok {
		return false
	}
	list := fromWireAnswer(answer)
	s.mu.Lock()
	deleted, wanted, newer := s.set.ApplyBuckets(list)
	s.notifyChanges(deleted)
	s.mu.Unlock()
	s.counters.fromPeers.Add(int64(len(deleted)))
	if len(newer) > 0 {
		s.sendDigest(from, &configwire.Digest{Changes: toWireHeaders(newer[:min(len(newer), maxPulledRecords)])})
	}
	s.fetch(ctx, from, wanted)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.MergeDigest([]KindDigest{list.KindDigest})
	s.notifyChanges(nil)
	return true
}

// startPull returns the kind's bucket hashes, or false if a pull of the kind is
// in progress.
func (s *Syncer) startPull(kind objectstore.Kind) ([]uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pulling[kind] {
		return nil, false
	}
	s.pulling[kind] = true
	return s.set.Buckets(kind), true
}

func (s *Syncer) endPull(kind objectstore.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pulling, kind)
}

// fetch requests records from a peer until it has no more of them.
func (s *Syncer) fetch(ctx context.Context, from peer.Name, wanted []Header) {
	wanted = s.startFetch(wanted)
	defer s.endFetch(wanted)
	for remaining := wanted; len(remaining) > 0; {
		batch := remaining[:min(len(remaining), maxPulledRecords)]
		answer, ok := s.sendPull(ctx, from, &configwire.Pull{Wanted: toWireHeaders(batch)})
		if !ok || len(answer.GetRecords()) == 0 {
			return
		}
		s.applyRecords(answer.GetRecords())
		// The peer answers in order and skips records that it no longer holds.
		last := answer.GetRecords()[len(answer.GetRecords())-1]
		remaining = remaining[nextIndex(batch, last):]
	}
}

// nextIndex returns the index after the header that a record answers. It returns
// the length of the batch if the record answers none, so that a fetch always
// terminates.
func nextIndex(batch []Header, r *configwire.Record) int {
	for i, h := range batch {
		if string(h.Kind) == r.GetKind() && h.Name == r.GetName() {
			return i + 1
		}
	}
	return len(batch)
}

// applyRecords applies records received from a peer.
func (s *Syncer) applyRecords(records []*configwire.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []Header
	for _, w := range records {
		if r := fromWireRecord(w); s.set.Apply(r) {
			changed = append(changed, r.header())
		}
	}
	s.counters.fromPeers.Add(int64(len(changed)))
	s.notifyChanges(changed)
}

// startFetch returns the headers that fewer than maxFetchPeers peers are being
// asked for. A second peer is asked at once, because the first may be
// unresponsive.
func (s *Syncer) startFetch(wanted []Header) []Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Header
	for _, h := range wanted {
		if s.fetching[h] < maxFetchPeers && s.set.IsNewer(h) {
			s.fetching[h]++
			out = append(out, h)
		}
	}
	return out
}

func (s *Syncer) endFetch(fetched []Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range fetched {
		if s.fetching[h]--; s.fetching[h] <= 0 {
			delete(s.fetching, h)
		}
	}
}
