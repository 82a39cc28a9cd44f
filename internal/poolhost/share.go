package poolhost

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Share runs a pool on this daemon's static share of each server's slots, for
// its own entry alone, while no owner can be reached. The same scheduler runs
// it, so tiers keep their order among this entry's requests.
type Share struct {
	*Runtime
	host     *Host
	members  []string
	snapshot *workspace.Snapshot
}

// OpenShare starts degraded mode for a pool.
func (h *Host) OpenShare(p *workspace.ResolvedPool) *Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &Share{Runtime: newRuntime(h, p, []string{h.cfg.Self}), host: h}
	s.Runtime.share = true
	h.suspects.feed(s.Runtime, h.cfg.Now())
	s.refresh(p, h.aliveMembers())
	h.shares[s] = struct{}{}
	return s
}

// Close ends degraded mode; the entry has moved on.
func (s *Share) Close() {
	s.host.mu.Lock()
	delete(s.host.shares, s)
	s.host.mu.Unlock()
	s.box.Post(closeMessage{})
}

// tick is called with the host's mutex held.
func (s *Share) tick(members []string) {
	snapshot := s.host.cfg.Snapshots.Load()
	if snapshot != nil && (snapshot != s.snapshot || !slices.Equal(members, s.members)) {
		if p := snapshot.Pools[s.name]; p != nil {
			s.snapshot = snapshot
			s.refresh(p, members)
		}
	}
	s.box.Post(tickMessage{[]string{s.host.cfg.Self}})
	s.monitor.tick()
}

func (s *Share) refresh(p *workspace.ResolvedPool, members []string) {
	s.members = members
	s.configure(sharedPool(p, s.host.cfg.Self, members))
}

// sharedPool returns the pool with one member's share of its servers' slots.
// The shares of all members that agree on who lives sum to the slots, but for
// members whose share of the whole pool would be nothing: each of those gets
// one slot, so that none of its requests waits in vain.
func sharedPool(p *workspace.ResolvedPool, self string, members []string) *workspace.ResolvedPool {
	out := &workspace.ResolvedPool{Pool: p.Pool}
	for _, s := range p.Servers {
		if s.Slots = shareOf(s, self, members); s.Slots > 0 {
			out.Servers = append(out.Servers, s)
		}
	}
	if len(out.Servers) == 0 && len(p.Servers) > 0 {
		s := slices.MaxFunc(p.Servers, func(a, b workspace.BackendServer) int {
			return cmp.Compare(weight(a.Name, self), weight(b.Name, self))
		})
		s.Slots = 1
		out.Servers = []workspace.BackendServer{s}
	}
	return out
}

// shareOf divides a server's slots by the members; the remainder goes to the
// members that weigh most for this server.
func shareOf(s workspace.BackendServer, self string, members []string) int {
	slots := s.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	n := max(1, len(members))
	heavier := 0
	mine := weight(s.Name, self)
	for _, m := range members {
		if m != self && weight(s.Name, m) > mine {
			heavier++
		}
	}
	share := slots / n
	if heavier < slots%n {
		share++
	}
	return share
}

func weight(server, member string) uint64 { return xxhash.Sum64String(server + "\x00" + member) }
