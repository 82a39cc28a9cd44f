package member

import (
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

const (
	// candidatesPerTick limits how many addresses are tried at once. The first answer
	// usually names most of the others.
	candidatesPerTick = 1
	// joinRecordsPerRegion is how many members of each other region are sent to a
	// joining member. It gets the rest by view syncs with random members, so that a
	// seed need not send the whole view to every joining member.
	joinRecordsPerRegion = 2
)

// SetCandidates sets the addresses (IP:port) from the platform's VM list. The list
// lags: a VM in it may have joined, stopped or not started yet. It only says where to
// ask for members; that an address is absent proves nothing.
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

// joinCandidates sends a join to the next candidate addresses that are still unknown.
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

// contactSeeds sends a message to a random dead member or unknown seed: a join at short
// intervals while no live member is known, and otherwise a view sync to an unknown seed
// at longer ones, since members that started together may have formed separate
// clusters.
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

// answerJoin sends a joining member the records of its own region and of a few members
// of each other region.
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

// knowsAddress reports whether this member or a live one has the address.
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
