package poolhost

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// StaticShare runs a pool in degraded mode, while no owner can be reached. It
// serves the requests of this daemon's own entry on this daemon's static share
// of each server's slots. It uses the same scheduler as an owner, so the
// priorities of tiers hold among this entry's requests.
type StaticShare struct {
	*Runtime
	host     *Host
	members  []string
	snapshot *workspace.Snapshot
}

// OpenStaticShare starts degraded mode for a pool.
func (h *Host) OpenStaticShare(p *workspace.ResolvedPool) *StaticShare {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &StaticShare{Runtime: newRuntime(h, p, []string{h.cfg.Self}), host: h}
	s.Runtime.degraded = true
	s.logInitialTraits()
	h.suspects.replayTo(s.Runtime, h.cfg.Now())
	s.refresh(p, h.aliveMembers())
	h.shares[s] = struct{}{}
	h.publishShares()
	return s
}

// publishShares makes the open shares known to receiveSuspect. The caller holds h.mu.
func (h *Host) publishShares() {
	all := slices.Collect(maps.Keys(h.shares))
	h.openShares.Store(&all)
}

// Close ends degraded mode after the entry has found an owner.
func (s *StaticShare) Close() {
	s.host.mu.Lock()
	delete(s.host.shares, s)
	s.host.publishShares()
	s.host.mu.Unlock()
	s.mailbox.Post(closeMessage{})
}

// tick updates the share to configuration and membership. The caller holds host.mu.
func (s *StaticShare) tick(members []string) {
	snapshot := s.host.cfg.Snapshot.Load()
	if snapshot != nil && (snapshot != s.snapshot || !slices.Equal(members, s.members)) {
		if p := snapshot.Pools[s.name]; p != nil {
			s.snapshot = snapshot
			s.refresh(p, members)
		}
	}
	s.updateTraits()
	s.mailbox.Post(tickMessage{[]string{s.host.cfg.Self}})
	s.monitor.tick()
}

func (s *StaticShare) refresh(p *workspace.ResolvedPool, members []string) {
	s.members = members
	s.rateShare = 1 / float64(max(1, len(members)))
	s.configure(poolShare(p, s.host.cfg.Self, members))
}

// poolShare returns the pool with one member's share of its servers' slots.
// Among members that agree on who is alive, the shares sum to the slots, except
// that a member whose share of the whole pool would be zero gets one slot, so
// that its requests don't wait forever.
func poolShare(p *workspace.ResolvedPool, self string, members []string) *workspace.ResolvedPool {
	out := &workspace.ResolvedPool{Pool: p.Pool}
	for _, s := range p.Servers {
		if s.Slots = slotShare(s, self, members); s.Slots > 0 {
			out.Servers = append(out.Servers, s)
		}
	}
	if len(out.Servers) == 0 && len(p.Servers) > 0 {
		s := slices.MaxFunc(p.Servers, func(a, b workspace.BackendServer) int {
			return cmp.Compare(rendezvousWeight(a.Name, self), rendezvousWeight(b.Name, self))
		})
		s.Slots = 1
		out.Servers = []workspace.BackendServer{s}
	}
	return out
}

// slotShare returns a member's share of a server's slots: an equal part, and
// one slot of the remainder for the members that rank highest for this server
// by rendezvous hashing.
func slotShare(s workspace.BackendServer, self string, members []string) int {
	slots := s.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	n := max(1, len(members))
	higher := 0
	own := rendezvousWeight(s.Name, self)
	for _, m := range members {
		if m != self && rendezvousWeight(s.Name, m) > own {
			higher++
		}
	}
	share := slots / n
	if higher < slots%n {
		share++
	}
	return share
}

func rendezvousWeight(server, member string) uint64 {
	return xxhash.Sum64String(server + "\x00" + member)
}
