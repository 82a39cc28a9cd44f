package gateway

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
)

// newsAfter is by how much a reader's proof must be newer than the asker's to be
// told at once.
const newsAfter = 500 * time.Millisecond

// answer tells another daemon what is newer here than what it has, as soon as
// something is or a read has proved it again.
func (a *asker) answer(ctx context.Context, _ peer.Name, payload []byte) ([]byte, error) {
	var q wire.SyncAsk
	if err := proto.Unmarshal(payload, &q); err != nil {
		return nil, err
	}
	came := a.state.serversFresh.Mark()
	m, changed := a.newer(&q, came)
	if len(m.Config) > 0 || m.ServersTold || m.RolloutsTold || q.Changes && (isStale(m) || isNews(m, &q)) {
		return proto.Marshal(m)
	}
	limit := time.NewTimer(a.holdFor(&q, m))
	defer limit.Stop()
	select {
	case <-changed:
	case <-limit.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m, _ = a.newer(&q, came)
	return proto.Marshal(m)
}

// holdFor is how long an ask may wait for something newer: until the reads here
// are stale, so that the asker goes to another reader then.
func (a *asker) holdFor(q *wire.SyncAsk, m *wire.SyncAnswer) time.Duration {
	hold := min(time.Duration(q.HoldMs)*time.Millisecond, askHold)
	if !q.Changes {
		return hold
	}
	return min(hold, staleAfter+time.Millisecond-milliseconds(max(m.ConfigAgeMs, m.ServersAgeMs)))
}

// newer makes the answer as of now, with the channel that is closed at the
// next change. The ask came at a mark of the clock of proofs.
func (a *asker) newer(q *wire.SyncAsk, came time.Duration) (*wire.SyncAnswer, <-chan struct{}) {
	s := a.state
	held := s.serversFresh.Mark() - came // before the ages are taken
	m := &wire.SyncAnswer{HeldMs: float64(held) / float64(time.Millisecond), ConfigAgeMs: ageMs(s.configFresh.Age()), ServersAgeMs: ageMs(s.serversFresh.Age())}
	s.mu.Lock()
	defer s.mu.Unlock()
	if uint64(s.config.Version) > q.ConfigRevision {
		m.ConfigRevision, m.Config = uint64(s.config.Version), s.config.Value
	}
	m.ServersRevision = uint64(s.serversRevision)
	if m.ServersRevision > q.ServersRevision {
		m.ServersTold = true
		if d, ok := s.changes.Since(discovery.Revision(q.ServersRevision)); ok && q.ServersRevision > 0 && q.Changes {
			m.ServersBase, m.Servers, m.Removed = q.ServersRevision, serversToWire(d.Changed), d.Removed
		} else {
			m.Servers = serversToWire(s.directory.Listed())
		}
	}
	if uint64(s.rollouts.revision) > q.RolloutsRevision {
		m.RolloutsTold, m.RolloutsRevision, m.Rollouts = true, uint64(s.rollouts.revision), rolloutsToWire(s.rollouts.all)
		m.Unfit = s.rollouts.unfit()
	}
	return m, s.changed
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

func serversOf(servers []*wire.Server) []discovery.Server {
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

// isNews tells whether an answer proves much more than the asker knew.
func isNews(m *wire.SyncAnswer, q *wire.SyncAsk) bool {
	margin := float64(newsAfter.Milliseconds())
	newer := func(told, known float64) bool { return told >= 0 && (known < 0 || told+margin < known) }
	return newer(m.ConfigAgeMs, q.ConfigAgeMs) || newer(m.ServersAgeMs, q.ServersAgeMs)
}
