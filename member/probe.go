package member

import (
	"encoding/binary"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// probe is a running probe, including its indirect phase.
type probe struct {
	seq            uint64
	target         string
	started        time.Time
	helpers        map[string]bool // members asked for an indirect probe; true: answered or down
	helperAnswered bool            // a helper answered, whether or not it reached the target
	directOnly     bool            // the indirect phase has not started
	resent         bool
}

// relay is an indirect probe on behalf of another member.
type relay struct {
	requester peer.Name
	seq       uint64 // the requester's sequence number
	target    string
	started   time.Time
}

// startProbes starts queued verification probes and, when due, the next regular probe
// or, at every probesPerSync-th interval, a view sync in its place.
func (m *Machine) startProbes() {
	for len(m.verifyQueue) > 0 && len(m.probes) < maxVerifyProbes {
		name := m.verifyQueue[0]
		m.verifyQueue = m.verifyQueue[1:]
		m.startProbe(name)
	}
	if m.now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = m.now.Add(m.cfg.ProbeInterval * time.Duration(1+m.localHealth))
	m.probesUntilSync--
	if m.probesUntilSync <= 0 {
		m.probesUntilSync = probesPerSync
		if m.now.Sub(m.started) < startupPeriod {
			m.probesUntilSync = probesPerStartupSync
		}
		m.syncWithRandomMember()
		return
	}
	if name, ok := m.nextProbeTarget(); ok {
		m.startProbe(name)
	}
}

// nextProbeTarget goes through the probe targets in random order, each once per round,
// so that the time between two probes of a target is bounded.
func (m *Machine) nextProbeTarget() (string, bool) {
	targets := m.probeTargets()
	for range 2 {
		for len(m.probeQueue) > 0 {
			name := m.probeQueue[0]
			m.probeQueue = m.probeQueue[1:]
			if slices.Contains(targets, name) {
				return name, true
			}
		}
		m.probeQueue = slices.Clone(targets)
		m.rand.Shuffle(len(m.probeQueue), func(i, j int) { m.probeQueue[i], m.probeQueue[j] = m.probeQueue[j], m.probeQueue[i] })
	}
	return "", false
}

// probeTargets returns the members that this one probes: in a small region all of them,
// else its successors on several hash rings over the region's members. Each member is
// then probed by about as many members as it probes, over persistent connections;
// random targets would need a new connection for each probe.
func (m *Machine) probeTargets() []string {
	if !m.targetsStale {
		return m.targets
	}
	m.targetsStale = false
	names := m.sortedNames(m.isLiveSameRegion)
	if len(names) > probeRingCount {
		names = ringSuccessors(m.self.Name, names)
	}
	m.targets = names
	return names
}

// ringSuccessors returns self's successor on each hash ring, without duplicates.
func ringSuccessors(self string, names []string) []string {
	var found []string
	for ring := range uint64(probeRingCount) {
		best, bestDistance := "", uint64(0)
		selfPosition := ringPosition(ring, self)
		for _, n := range names {
			distance := ringPosition(ring, n) - selfPosition // unsigned, wraps around the ring
			if best == "" || distance < bestDistance {
				best, bestDistance = n, distance
			}
		}
		if !slices.Contains(found, best) {
			found = append(found, best)
		}
	}
	return found
}

func ringPosition(ring uint64, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], ring)
	return xxhash.Sum64(append(b[:], name...))
}

// queueVerifyProbe queues a probe of a member that others suspect or report dead.
func (m *Machine) queueVerifyProbe(name string) {
	if _, running := m.probeByTarget[name]; !running && !slices.Contains(m.verifyQueue, name) {
		m.verifyQueue = append(m.verifyQueue, name)
	}
}

// startProbe probes a member unless it is dead, unknown or already being probed.
func (m *Machine) startProbe(name string) {
	e, known := m.members[name]
	if _, running := m.probeByTarget[name]; running || !known || e.State == Dead {
		return
	}
	m.seq++
	p := &probe{seq: m.seq, target: name, started: m.now, directOnly: true, helpers: map[string]bool{}}
	m.probes[p.seq] = p
	m.probeByTarget[name] = p
	m.stats.Probes++
	m.send(peer.Name(name), peer.TypeMemberProbe, &wire.Message{Seq: p.seq})
}

func (m *Machine) endProbe(p *probe) {
	delete(m.probes, p.seq)
	delete(m.probeByTarget, p.target)
}

// retryProbe resends a direct probe once after its connection broke, since the probe
// may have been lost with a stale connection. After a second break it starts the
// indirect phase.
func (m *Machine) retryProbe(p *probe) {
	if !p.directOnly || p.resent {
		m.startIndirectProbe(p)
		return
	}
	p.resent = true
	m.send(peer.Name(p.target), peer.TypeMemberProbe, &wire.Message{Seq: p.seq})
}

// startIndirectProbe asks other members to probe the target, so that a broken link
// between two members doesn't count as a failure. One helper is in another region if
// there is one, in case this region itself is split in two.
func (m *Machine) startIndirectProbe(p *probe) {
	if !p.directOnly {
		return
	}
	p.directOnly = false
	eligible := func(ok func(*memberEntry) bool) func(*memberEntry) bool {
		return func(e *memberEntry) bool { return e.Name != p.target && e.State != Suspect && ok(e) }
	}
	helpers := m.pickRandom(1, eligible(m.isLiveOtherRegion))
	helpers = append(helpers, m.pickRandom(indirectProbeCount-len(helpers), eligible(m.isLiveSameRegion))...)
	for _, h := range helpers {
		p.helpers[h] = false
	}
	for _, h := range helpers {
		m.send(peer.Name(h), peer.TypeMemberIndirectProbe, &wire.Message{Seq: p.seq, Target: p.target})
	}
	m.failIfNoHelperPending(p)
}

// handleAck handles an ack: from the target of a relay, from the target of a probe by
// this member, or from a helper with the result of an indirect probe.
func (m *Machine) handleAck(from peer.Name, msg *wire.Message) {
	if r, ok := m.relays[msg.Seq]; ok && r.target == string(from) {
		delete(m.relays, msg.Seq)
		m.send(r.requester, peer.TypeMemberAck, &wire.Message{Seq: r.seq})
		return
	}
	p, ok := m.probes[msg.Seq]
	if !ok {
		return
	}
	_, helper := p.helpers[string(from)]
	switch {
	case p.target == string(from):
		m.improveHealth()
		m.endProbe(p)
	case helper && msg.NotReached:
		p.helperAnswered = true
		p.helpers[string(from)] = true
		m.failIfNoHelperPending(p)
	case helper:
		m.stats.IndirectAcks++
		m.improveHealth()
		m.endProbe(p)
	}
}

// markHelperDown counts an unreachable helper as having answered.
func (m *Machine) markHelperDown(name string) {
	for _, p := range m.sortedProbes() {
		if _, ok := p.helpers[name]; ok {
			p.helpers[name] = true
			m.failIfNoHelperPending(p)
		}
	}
}

// failIfNoHelperPending fails a probe before its timeout if no helper's answer is
// outstanding.
func (m *Machine) failIfNoHelperPending(p *probe) {
	for _, answered := range p.helpers {
		if !answered {
			return
		}
	}
	m.probeFailed(p)
}

// expireProbes starts the indirect phase of probes past DirectTimeout and fails probes
// past ProbeTimeout. Both timeouts are scaled by the local health score.
func (m *Machine) expireProbes() {
	scale := time.Duration(1 + m.localHealth)
	for _, p := range m.sortedProbes() {
		age := m.now.Sub(p.started)
		switch {
		case age >= m.cfg.ProbeTimeout*scale:
			m.probeFailed(p)
		case age >= m.cfg.DirectTimeout*scale:
			m.startIndirectProbe(p)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) {
		if r := m.relays[seq]; m.now.Sub(r.started) >= m.cfg.DirectTimeout {
			m.failRelay(seq, r)
		}
	}
}

// probeFailed suspects the target; a leaving target is marked dead. If no helper
// answered either, this member may be the isolated one, so its timeouts are extended.
func (m *Machine) probeFailed(p *probe) {
	m.endProbe(p)
	m.stats.ProbeFailures++
	if len(p.helpers) > 0 && !p.helperAnswered {
		m.degradeHealth()
	}
	e, ok := m.members[p.target]
	if !ok {
		return
	}
	e.lastProbeFailure = m.now
	if e.State == Leaving {
		m.markDead(e)
		return
	}
	m.suspect(e, m.self.Name)
}

// startRelay probes a member on behalf of another one.
func (m *Machine) startRelay(requester peer.Name, msg *wire.Message) {
	r := relay{requester: requester, seq: msg.Seq, target: msg.Target, started: m.now}
	m.seq++
	if _, known := m.members[r.target]; !known || len(m.relays) >= maxRelays {
		m.failRelay(m.seq, r)
		return
	}
	m.relays[m.seq] = r
	m.send(peer.Name(r.target), peer.TypeMemberProbe, &wire.Message{Seq: m.seq})
}

func (m *Machine) failRelay(seq uint64, r relay) {
	delete(m.relays, seq)
	m.send(r.requester, peer.TypeMemberAck, &wire.Message{Seq: r.seq, NotReached: true})
}

// failRelaysTo fails all relays to a member whose connection broke.
func (m *Machine) failRelaysTo(target string) {
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) {
		if r := m.relays[seq]; r.target == target {
			m.failRelay(seq, r)
		}
	}
}

// sortedProbes returns the running probes by sequence number, which keeps runs
// deterministic.
func (m *Machine) sortedProbes() []*probe {
	sorted := make([]*probe, 0, len(m.probes))
	for _, p := range m.probes {
		sorted = append(sorted, p)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].seq < sorted[j].seq })
	return sorted
}

// sortedNames returns the names of the members that satisfy a condition, sorted.
func (m *Machine) sortedNames(ok func(*memberEntry) bool) []string {
	var names []string
	for name, e := range m.members {
		if ok(e) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
