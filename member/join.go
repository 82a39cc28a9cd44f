package member

import (
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

const (
	// candidatesPerTick bounds the addresses that are tried at once: after the first
	// answer the others are mostly known.
	candidatesPerTick = 1
	// joinRecordsPerRegion is how many members of each other region a joining member
	// is told of. The rest it gets by comparing views, from members at random,
	// so that a seed need not send everything to everyone that joins.
	joinRecordsPerRegion = 2
)

// SetCandidates takes the addresses (IP:port) of the platform's VM list. The list
// lags: an address in it may have joined, gone or not started yet, so it only
// says where to ask, and its absence proves nothing.
func (m *Machine) SetCandidates(addresses []string) {
	m.joinState.vmListRead = true
	m.vmListHosts = make(map[string]struct{}, len(addresses))
	m.candidates = m.candidates[:0]
	for _, address := range addresses {
		m.vmListHosts[host(address)] = struct{}{}
		if !m.knowsAddress(address) {
			m.candidates = append(m.candidates, address)
		}
	}
	m.rand.Shuffle(len(m.candidates), func(i, j int) { m.candidates[i], m.candidates[j] = m.candidates[j], m.candidates[i] })
}

// joinCandidates asks a few of the hinted addresses that are still unknown.
func (m *Machine) joinCandidates() {
	for n := 0; n < candidatesPerTick && len(m.candidates) > 0; {
		address := m.candidates[0]
		m.candidates = m.candidates[1:]
		if !m.knowsAddress(address) {
			m.sendJoin(peer.ByAddress(address))
			n++
		}
	}
}

// contactSeeds asks a random seed or lost member for members: often while this member
// knows nobody, and now and then while a seed is missing among those it knows,
// since members that started together may have formed two clusters.
func (m *Machine) contactSeeds() {
	if m.now.Before(m.nextSeedContact) {
		return
	}
	alone := m.count(m.isLive) == 0
	m.nextSeedContact = m.now.Add(seedContactInterval)
	if alone {
		m.nextSeedContact = m.now.Add(joinRetryInterval)
	}
	target, ok := m.unreachablePartner()
	switch _, seed := target.Address(); {
	case ok && alone:
		m.sendJoin(target)
	case ok && seed:
		m.startSync(target)
	}
}

func (m *Machine) sendJoin(target peer.Name) {
	m.send(target, peer.TypeMemberGossip, &wire.Message{
		Updates: []*wire.Record{m.selfRecord()}, Sync: &wire.Sync{Join: true},
	})
}

// answerJoin tells a joining member of its own region and of a few members of
// each other one.
func (m *Machine) answerJoin(from peer.Name) {
	joiner, known := m.members[string(from)]
	if !known {
		return
	}
	sent := map[string]int{}
	records := []*wire.Record{m.selfRecord()}
	for _, name := range m.pickRandom(len(m.members), m.isLive) {
		e := m.members[name]
		if e.Region != joiner.Region && sent[e.Region] >= joinRecordsPerRegion {
			continue
		}
		sent[e.Region]++
		records = append(records, e.record(m.suspector(e)))
	}
	m.sendRecordChunks(from, records)
}

// knowsAddress tells whether a live member, or this one, listens there.
func (m *Machine) knowsAddress(address string) bool {
	if address == m.self.Address {
		return true
	}
	for _, e := range m.members {
		if e.Address == address && e.State != Dead {
			return true
		}
	}
	return false
}
