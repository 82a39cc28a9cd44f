package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// minProofGain is how much newer a reader's proof must be than the caller's for a
// poll to be answered immediately.
const minProofGain = 500 * time.Millisecond

// handlePoll answers another daemon's poll. It answers immediately if it has something
// newer or its own reads are stale, else at the next change or proof of freshness, or when
// the hold time is over.
func (p *peerSync) handlePoll(ctx context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var req wire.SyncAsk
	if err := proto.Unmarshal(payload, &req); err != nil {
		return nil, err
	}
	received := p.state.serversFreshness.Now()
	resp, changed := p.buildAnswer(&req, received)
	if len(resp.Config) > 0 || resp.ServersTold || resp.RolloutsTold || req.Changes && (isStale(resp) || isFresher(resp, &req)) {
		return proto.Marshal(resp)
	}
	timer := time.NewTimer(p.maxHold(&req, resp))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	resp, _ = p.buildAnswer(&req, received)
	return proto.Marshal(resp)
}

// maxHold returns how long a poll may be held: at most until the reads of this
// daemon become stale, so that the caller goes to another reader then.
func (p *peerSync) maxHold(req *wire.SyncAsk, resp *wire.SyncAnswer) time.Duration {
	hold := min(time.Duration(req.HoldMs)*time.Millisecond, pollHold)
	if !req.Changes {
		return hold
	}
	return min(hold, staleAfter+time.Millisecond-milliseconds(max(resp.ConfigAgeMs, resp.ServersAgeMs)))
}

// buildAnswer returns the answer as of now, and the channel that is closed at the
// next change. received is when the poll arrived, by the clock of serversFreshness.
func (p *peerSync) buildAnswer(req *wire.SyncAsk, received time.Duration) (*wire.SyncAnswer, <-chan struct{}) {
	s := p.state
	held := s.serversFreshness.Now() - received // before the ages are read
	resp := &wire.SyncAnswer{HeldMs: float64(held) / float64(time.Millisecond), ConfigAgeMs: ageMs(s.configFreshness.Age()), ServersAgeMs: ageMs(s.serversFreshness.Age())}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasNewerConfig(req) {
		resp.ConfigRevision, resp.Config = uint64(s.config.Version), s.config.Value
	}
	s.answerServers(req, resp)
	if uint64(s.rollouts.revision) > req.RolloutsRevision {
		resp.RolloutsTold, resp.RolloutsRevision, resp.Rollouts = true, uint64(s.rollouts.revision), rolloutsToWire(s.rollouts.all)
		resp.Unfit = s.rollouts.rejectedVersions()
	}
	return resp, s.changed
}

// answerServers adds to an answer what has changed in the list of servers since what the caller
// of the poll was told by this process; the mutex is held.
func (s *state) answerServers(req *wire.SyncAsk, resp *wire.SyncAnswer) {
	resp.ServersRevision, resp.ServersSource, resp.ServersNumber = uint64(s.serversRevision), s.source, uint64(s.changes.Newest())
	told := req.ServersSource == s.source
	askedEra := objectstore.Version(req.ServersRevision).Era()
	newEra := askedEra < s.serversRevision.Era() // which changes no server, but what is old
	resp.ServersTold = resp.ServersNumber > 0 && (!told || req.ServersNumber != resp.ServersNumber || newEra)
	if !req.Numbers {
		resp.ServersTold = resp.ServersRevision > req.ServersRevision
	}
	if !resp.ServersTold {
		return
	}
	sameEra := askedEra == s.serversRevision.Era()
	if d, ok := s.changes.Since(discovery.ChangeNumber(req.ServersNumber)); ok && told && sameEra && !req.ServersWhole {
		resp.ServersSince, resp.Servers, resp.Removed = req.ServersNumber, serversToWire(d.Changed), d.Removed
		return
	}
	resp.Servers = serversToWire(s.directory.Listed())
}

// configVersion returns the own version of the active configuration; 0: there is none.
func (s *state) configVersion() uint64 {
	if table := s.routes.Load(); table != nil {
		return table.Version
	}
	return 0
}

// hasNewerConfig reports whether this daemon's configuration is newer than that of the caller
// of a poll; the mutex is held.
func (s *state) hasNewerConfig(req *wire.SyncAsk) bool {
	if req.ConfigVersion != 0 && req.ConfigVersion != s.configVersion() {
		return req.ConfigVersion < s.configVersion()
	}
	return uint64(s.config.Version) > req.ConfigRevision
}

func serversToWire(servers []discovery.Server) []*wire.Server {
	out := make([]*wire.Server, 0, len(servers))
	for _, x := range servers {
		out = append(out, &wire.Server{
			Id: x.ID, Service: x.Service, Address: x.Address, AvailabilityZone: x.AvailabilityZone,
			Slots: uint32(x.Slots), Leaving: x.Leaving, StartedAtMs: x.StartedAt,
			Sequence: x.Sequence, Revision: uint64(x.Revision), Invalid: x.InvalidReason,
			Version: x.Version, Cold: x.Cold,
		})
	}
	return out
}

func serversFromWire(servers []*wire.Server) []discovery.Server {
	out := make([]discovery.Server, 0, len(servers))
	for _, x := range servers {
		out = append(out, discovery.Server{
			ID: x.Id, Service: x.Service, Address: x.Address, AvailabilityZone: x.AvailabilityZone,
			Slots: int(x.Slots), Leaving: x.Leaving, StartedAt: x.StartedAtMs,
			Sequence: x.Sequence, Revision: discovery.Revision(x.Revision), InvalidReason: x.Invalid,
			Version: x.Version, Cold: x.Cold,
		})
	}
	return out
}

func ageMs(age time.Duration, ok bool) float64 {
	if !ok {
		return -1
	}
	return float64(age) / float64(time.Millisecond)
}

// isFresher reports whether the answer's proofs are newer than the caller's by more
// than minProofGain.
func isFresher(resp *wire.SyncAnswer, req *wire.SyncAsk) bool {
	margin := float64(minProofGain.Milliseconds())
	fresher := func(offered, known float64) bool { return offered >= 0 && (known < 0 || offered+margin < known) }
	return fresher(resp.ConfigAgeMs, req.ConfigAgeMs) || fresher(resp.ServersAgeMs, req.ServersAgeMs)
}
