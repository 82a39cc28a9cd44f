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

// probe is one probe under way, with its indirect part.
type probe struct {
	seq            uint64
	target         string
	started        time.Time
	helpers        map[string]bool // helpers; true: it has answered or is down
	helperAnswered bool            // a helper answered, even if it did not reach the target
	directOnly     bool            // only the direct part has begun
	resent         bool
}

// relay is a probe done for another member.
type relay struct {
	requester peer.Name
	seq       uint64 // the asker's
	target    string
	started   time.Time
}

// startProbes starts the probe that is due, or compares views instead, and
// verifies what others say.
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

// nextProbeTarget goes through the members to probe in random order, each once a
// round, so that none is left out for long.
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

// probeTargets returns whom this member probes: all of a small region, else
// its successors in a few random but fixed orders of the region's members.
// Everyone is so probed by about as many as it probes, over connections that
// stay open; probing anyone at random would dial anew at each probe.
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

// ringSuccessors returns the name that follows self in each of the orders.
func ringSuccessors(self string, names []string) []string {
	var found []string
	for ring := range uint64(probeRingCount) {
		best, bestDistance := "", uint64(0)
		selfPosition := ringPosition(ring, self)
		for _, n := range names {
			distance := ringPosition(ring, n) - selfPosition // wraps round
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

// queueVerifyProbe queues a probe of a member that others suspect.
func (m *Machine) queueVerifyProbe(name string) {
	if _, running := m.probeByTarget[name]; !running && !slices.Contains(m.verifyQueue, name) {
		m.verifyQueue = append(m.verifyQueue, name)
	}
}

// startProbe probes a member, unless it is being probed.
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

// retryProbe sends a probe once more: it may have been lost with the
// connection, which says nothing about the member. The second time counts.
func (m *Machine) retryProbe(p *probe) {
	if !p.directOnly || p.resent {
		m.startIndirectProbe(p)
		return
	}
	p.resent = true
	m.send(peer.Name(p.target), peer.TypeMemberProbe, &wire.Message{Seq: p.seq})
}

// startIndirectProbe begins a probe's indirect part: a cut link between two members
// must not count as a death. One helper is of another region where there is
// one, for regions that are cut in two.
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
		m.send(peer.Name(h), peer.TypeMemberAsk, &wire.Message{Seq: p.seq, Target: p.target})
	}
	m.failIfNoHelperPending(p)
}

// handleAck ends a probe whose target answered, passes the answer on if the probe
// was for another member, or takes a helper's report.
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

// markHelperDown counts a helper that can't be reached as having answered.
func (m *Machine) markHelperDown(name string) {
	for _, p := range m.sortedProbes() {
		if _, ok := p.helpers[name]; ok {
			p.helpers[name] = true
			m.failIfNoHelperPending(p)
		}
	}
}

// failIfNoHelperPending ends a probe early once no helper's answer is awaited.
func (m *Machine) failIfNoHelperPending(p *probe) {
	for _, answered := range p.helpers {
		if !answered {
			return
		}
	}
	m.probeFailed(p)
}

// expireProbes goes on to the indirect part of slow probes and ends those
// whose time is over.
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

// probeFailed suspects the target. When nobody at all answered, this member
// may be the one that is cut off, and judges more slowly from then on.
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

// startRelay probes a member for another one.
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

// failRelaysTo ends the relays to a member whose connection broke.
func (m *Machine) failRelaysTo(target string) {
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) {
		if r := m.relays[seq]; r.target == target {
			m.failRelay(seq, r)
		}
	}
}

// sortedProbes makes the order of effects, and so whole runs, repeatable.
func (m *Machine) sortedProbes() []*probe {
	sorted := make([]*probe, 0, len(m.probes))
	for _, p := range m.probes {
		sorted = append(sorted, p)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].seq < sorted[j].seq })
	return sorted
}

// sortedNames returns the members that satisfy a condition, sorted.
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
