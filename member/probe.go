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
	seq     uint64
	target  string
	started time.Time
	asked   map[string]bool // helpers; true: it has answered or is down
	heard   bool            // a helper answered, even if it did not reach the target
	direct  bool            // only the direct part has begun
	resent  bool
}

// relay is a probe done for another member.
type relay struct {
	asker   peer.Name
	seq     uint64 // the asker's
	target  string
	started time.Time
}

// startProbes starts the probe that is due, or compares views instead, and
// verifies what others say.
func (m *Machine) startProbes() {
	for len(m.verify) > 0 && len(m.probes) < maxVerify {
		name := m.verify[0]
		m.verify = m.verify[1:]
		m.startProbe(name)
	}
	if m.now.Before(m.nextProbe) {
		return
	}
	m.nextProbe = m.now.Add(m.cfg.ProbeInterval * time.Duration(1+m.health))
	m.untilSync--
	if m.untilSync <= 0 {
		m.untilSync = syncEvery
		if m.now.Sub(m.started) < youngTime {
			m.untilSync = syncEveryYoung
		}
		m.syncWithSomebody()
		return
	}
	if name, ok := m.nextTarget(); ok {
		m.startProbe(name)
	}
}

// nextTarget goes through the members to probe in random order, each once a
// round, so that none is left out for long.
func (m *Machine) nextTarget() (string, bool) {
	ring := m.ringMembers()
	for range 2 {
		for len(m.order) > 0 {
			name := m.order[0]
			m.order = m.order[1:]
			if slices.Contains(ring, name) {
				return name, true
			}
		}
		m.order = slices.Clone(ring)
		m.rand.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	return "", false
}

// ringMembers returns whom this member probes: all of a small region, else
// its successors in a few random but fixed orders of the region's members.
// Everyone is so probed by about as many as it probes, over connections that
// stay open; probing anyone at random would dial anew at each probe.
func (m *Machine) ringMembers() []string {
	if !m.ringStale {
		return m.ring
	}
	m.ringStale = false
	names := m.names(m.sameRegionLive)
	if len(names) > rings {
		names = successors(m.self.Name, names)
	}
	m.ring = names
	return names
}

// successors returns the name that follows self in each of the orders.
func successors(self string, names []string) []string {
	var found []string
	for ring := range uint64(rings) {
		best, bestGap := "", uint64(0)
		at := ringPosition(ring, self)
		for _, n := range names {
			gap := ringPosition(ring, n) - at // wraps round
			if best == "" || gap < bestGap {
				best, bestGap = n, gap
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

// verifyLater queues a probe of a member that others suspect.
func (m *Machine) verifyLater(name string) {
	if _, running := m.byTarget[name]; !running && !slices.Contains(m.verify, name) {
		m.verify = append(m.verify, name)
	}
}

// startProbe probes a member, unless it is being probed.
func (m *Machine) startProbe(name string) {
	e, known := m.table[name]
	if _, running := m.byTarget[name]; running || !known || e.State == Dead {
		return
	}
	m.seq++
	p := &probe{seq: m.seq, target: name, started: m.now, direct: true, asked: map[string]bool{}}
	m.probes[p.seq] = p
	m.byTarget[name] = p
	m.stats.Probes++
	m.send(peer.Name(name), peer.TypeMemberProbe, &wire.Message{Seq: p.seq})
}

func (m *Machine) endProbe(p *probe) {
	delete(m.probes, p.seq)
	delete(m.byTarget, p.target)
}

// connectionDown sends a probe once more: it may have been lost with the
// connection, which says nothing about the member. The second time counts.
func (m *Machine) connectionDown(p *probe) {
	if !p.direct || p.resent {
		m.askOthers(p)
		return
	}
	p.resent = true
	m.send(peer.Name(p.target), peer.TypeMemberProbe, &wire.Message{Seq: p.seq})
}

// askOthers begins a probe's indirect part: a cut link between two members
// must not count as a death. One helper is of another region where there is
// one, for regions that are cut in two.
func (m *Machine) askOthers(p *probe) {
	if !p.direct {
		return
	}
	p.direct = false
	other := func(ok func(*entry) bool) func(*entry) bool {
		return func(e *entry) bool { return e.Name != p.target && e.State != Suspect && ok(e) }
	}
	chosen := m.pick(1, other(m.otherRegionLive))
	chosen = append(chosen, m.pick(helpers-len(chosen), other(m.sameRegionLive))...)
	for _, h := range chosen {
		p.asked[h] = false
	}
	for _, h := range chosen {
		m.send(peer.Name(h), peer.TypeMemberAsk, &wire.Message{Seq: p.seq, Target: p.target})
	}
	m.failIfAnswered(p)
}

// acked ends a probe whose target answered, passes the answer on if the probe
// was for another member, or takes a helper's report.
func (m *Machine) acked(from peer.Name, msg *wire.Message) {
	if r, ok := m.relays[msg.Seq]; ok && r.target == string(from) {
		delete(m.relays, msg.Seq)
		m.send(r.asker, peer.TypeMemberAck, &wire.Message{Seq: r.seq})
		return
	}
	p, ok := m.probes[msg.Seq]
	if !ok {
		return
	}
	_, helper := p.asked[string(from)]
	switch {
	case p.target == string(from):
		m.better()
		m.endProbe(p)
	case helper && msg.NotReached:
		p.heard = true
		p.asked[string(from)] = true
		m.failIfAnswered(p)
	case helper:
		m.stats.IndirectSaved++
		m.better()
		m.endProbe(p)
	}
}

// helperDown counts a helper that can't be reached as having answered.
func (m *Machine) helperDown(name string) {
	for _, p := range m.sortedProbes() {
		if _, ok := p.asked[name]; ok {
			p.asked[name] = true
			m.failIfAnswered(p)
		}
	}
}

// failIfAnswered ends a probe early once no helper's answer is awaited.
func (m *Machine) failIfAnswered(p *probe) {
	for _, answered := range p.asked {
		if !answered {
			return
		}
	}
	m.probeFailed(p)
}

// expireProbes goes on to the indirect part of slow probes and ends those
// whose time is over.
func (m *Machine) expireProbes() {
	slower := time.Duration(1 + m.health)
	for _, p := range m.sortedProbes() {
		age := m.now.Sub(p.started)
		switch {
		case age >= m.cfg.ProbeTimeout*slower:
			m.probeFailed(p)
		case age >= m.cfg.DirectTimeout*slower:
			m.askOthers(p)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) {
		if r := m.relays[seq]; m.now.Sub(r.started) >= m.cfg.DirectTimeout {
			m.relayFailed(seq, r)
		}
	}
}

// probeFailed suspects the target. When nobody at all answered, this member
// may be the one that is cut off, and judges more slowly from then on.
func (m *Machine) probeFailed(p *probe) {
	m.endProbe(p)
	m.stats.ProbeFailures++
	if len(p.asked) > 0 && !p.heard {
		m.worse()
	}
	e, ok := m.table[p.target]
	if !ok {
		return
	}
	e.failedAt = m.now
	if e.State == Leaving {
		m.setDead(e)
		return
	}
	m.suspect(e, m.self.Name)
}

// relayProbe probes a member for another one.
func (m *Machine) relayProbe(asker peer.Name, msg *wire.Message) {
	r := relay{asker: asker, seq: msg.Seq, target: msg.Target, started: m.now}
	m.seq++
	if _, known := m.table[r.target]; !known || len(m.relays) >= maxRelays {
		m.relayFailed(m.seq, r)
		return
	}
	m.relays[m.seq] = r
	m.send(peer.Name(r.target), peer.TypeMemberProbe, &wire.Message{Seq: m.seq})
}

func (m *Machine) relayFailed(seq uint64, r relay) {
	delete(m.relays, seq)
	m.send(r.asker, peer.TypeMemberAck, &wire.Message{Seq: r.seq, NotReached: true})
}

// relaysDown ends the relays to a member whose connection broke.
func (m *Machine) relaysDown(target string) {
	for _, seq := range slices.Sorted(maps.Keys(m.relays)) {
		if r := m.relays[seq]; r.target == target {
			m.relayFailed(seq, r)
		}
	}
}

// sortedProbes makes the order of effects, and so whole runs, repeatable.
func (m *Machine) sortedProbes() []*probe {
	ps := make([]*probe, 0, len(m.probes))
	for _, p := range m.probes {
		ps = append(ps, p)
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].seq < ps[j].seq })
	return ps
}

// names returns the members that satisfy a condition, sorted.
func (m *Machine) names(ok func(*entry) bool) []string {
	var names []string
	for name, e := range m.table {
		if ok(e) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
