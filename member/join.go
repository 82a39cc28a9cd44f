package member

import (
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

const (
	// hintsPerTick bounds the addresses that are tried at once: after the first
	// answer the others are mostly known.
	hintsPerTick = 1
	// joinPerRegion is how many members of each other region a joining member
	// is told of. The rest it gets by comparing views, from members at random,
	// so that a seed need not send everything to everyone that joins.
	joinPerRegion = 2
)

// Hints takes the addresses (IP:port) of the platform's VM list. The list
// lags: an address in it may have joined, gone or not started yet, so it only
// says where to ask, and its absence proves nothing.
func (m *Machine) Hints(addresses []string) {
	m.joining.listed = true
	m.hinted = make(map[string]struct{}, len(addresses))
	m.hints = m.hints[:0]
	for _, a := range addresses {
		m.hinted[host(a)] = struct{}{}
		if !m.knowsAddress(a) {
			m.hints = append(m.hints, a)
		}
	}
	m.rand.Shuffle(len(m.hints), func(i, j int) { m.hints[i], m.hints[j] = m.hints[j], m.hints[i] })
}

// tryHints asks a few of the hinted addresses that are still unknown.
func (m *Machine) tryHints() {
	for n := 0; n < hintsPerTick && len(m.hints) > 0; {
		a := m.hints[0]
		m.hints = m.hints[1:]
		if !m.knowsAddress(a) {
			m.join(peer.ByAddress(a))
			n++
		}
	}
}

// seek asks a random seed or lost member for members: often while this member
// knows nobody, and now and then while a seed is missing among those it knows,
// since members that started together may have formed two clusters.
func (m *Machine) seek() {
	if m.now.Before(m.nextSeek) {
		return
	}
	alone := m.count(m.live) == 0
	m.nextSeek = m.now.Add(seedInterval)
	if alone {
		m.nextSeek = m.now.Add(aloneInterval)
	}
	to, ok := m.lostPartner()
	switch _, seed := to.Address(); {
	case ok && alone:
		m.join(to)
	case ok && seed:
		m.startSync(to)
	}
}

func (m *Machine) join(to peer.Name) {
	m.send(to, peer.TypeMemberGossip, &wire.Message{
		Updates: []*wire.Record{m.selfRecord()}, Sync: &wire.Sync{Join: true},
	})
}

// answerJoin tells a joining member of its own region and of a few members of
// each other one.
func (m *Machine) answerJoin(from peer.Name) {
	joiner, known := m.table[string(from)]
	if !known {
		return
	}
	told := map[string]int{}
	records := []*wire.Record{m.selfRecord()}
	for _, name := range m.pick(len(m.table), m.live) {
		e := m.table[name]
		if e.Region != joiner.Region && told[e.Region] >= joinPerRegion {
			continue
		}
		told[e.Region]++
		records = append(records, e.record(m.suspector(e)))
	}
	m.sendInChunks(from, records)
}

// knowsAddress tells whether a live member, or this one, listens there.
func (m *Machine) knowsAddress(address string) bool {
	if address == m.self.Address {
		return true
	}
	for _, e := range m.table {
		if e.Address == address && e.State != Dead {
			return true
		}
	}
	return false
}
