package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// syncBuckets is into how many parts a view is split to find where two differ.
const syncBuckets = 64

// compareInterval is the shortest time between two comparisons with records.
const compareInterval = 500 * time.Millisecond

// Whom a member compares its view with, in turn.
const (
	syncSameRegion = iota
	syncOtherRegion
	syncLost // a dead member or a seed: heals clusters that fell apart
	syncTurns
)

// syncWithSomebody compares the view with a random member. This finds what
// piggybacked news has missed, carries news between regions, and tries those
// believed dead, so that two halves of a cluster find each other again.
func (m *Machine) syncWithSomebody() {
	for range syncTurns {
		turn := m.syncTurn
		m.syncTurn = (m.syncTurn + 1) % syncTurns
		if to, ok := m.syncPartner(turn); ok {
			m.startSync(to)
			return
		}
	}
}

func (m *Machine) syncPartner(turn int) (peer.Name, bool) {
	var names []string
	switch turn {
	case syncSameRegion:
		names = m.pick(1, m.sameRegionLive)
	case syncOtherRegion:
		names = m.pick(1, m.otherRegionLive)
	case syncLost:
		return m.lostPartner()
	}
	if len(names) == 0 {
		return "", false
	}
	return peer.Name(names[0]), true
}

// lostPartner is a random dead member or unknown seed.
func (m *Machine) lostPartner() (peer.Name, bool) {
	var lost []peer.Name
	for _, name := range m.names(func(e *entry) bool { return e.State == Dead }) {
		lost = append(lost, peer.Name(name))
	}
	for _, s := range m.cfg.Seeds {
		if !m.knowsAddress(s) {
			lost = append(lost, peer.ByAddress(s))
		}
	}
	if len(lost) == 0 {
		return "", false
	}
	return lost[m.rand.IntN(len(lost))], true
}

func (m *Machine) startSync(to peer.Name) {
	m.stats.Syncs++
	digest, _ := m.digests()
	m.sendSync(to, &wire.Sync{Digest: digest})
}

// mayCompare bounds the comparisons that may bring records: everybody who
// meets a new member sees another view than its own, and would tell it all of
// the same. What is skipped, a later comparison brings.
func (m *Machine) mayCompare() bool {
	if m.now.Before(m.nextCompare) {
		return false
	}
	m.nextCompare = m.now.Add(compareInterval)
	return true
}

func (m *Machine) sendSync(to peer.Name, s *wire.Sync) {
	m.send(to, peer.TypeMemberGossip, &wire.Message{Sync: s})
}

// sync does the step that the peer's one asks for.
func (m *Machine) sync(from peer.Name, s *wire.Sync) {
	digest, buckets := m.digests()
	m.noteSync(s, digest)
	switch {
	case s.Join:
		m.answerJoin(from)
	case len(s.Differing) > 0 || len(s.Records) > 0:
		for _, r := range s.Records {
			m.apply(r, from)
		}
		if s.WantRecords {
			m.sendRecords(from, s.Differing, s.Records, false)
		}
	case len(s.Buckets) == syncBuckets:
		m.stats.SyncDifferences++
		m.sendRecords(from, differing(buckets, s.Buckets), nil, true)
	case s.Digest != digest && m.mayCompare():
		m.sendSync(from, &wire.Sync{Buckets: buckets})
	}
}

// sendRecords sends the records of some buckets, but those that the peer just
// sent itself, in bounded messages.
func (m *Machine) sendRecords(to peer.Name, buckets []uint32, known []*wire.Record, want bool) {
	records := []*wire.Record{}
	if slices.Contains(buckets, bucketOf(m.self.Name)) {
		records = append(records, m.selfRecord())
	}
	for _, name := range m.names(func(*entry) bool { return true }) {
		e := m.table[name]
		if slices.Contains(buckets, bucketOf(name)) && !contains(known, e) {
			records = append(records, e.record(m.suspector(e)))
		}
	}
	m.sendInChunks(to, records)
	if want && len(buckets) > 0 {
		m.sendSync(to, &wire.Sync{Differing: buckets, WantRecords: true})
	}
}

// sendInChunks sends records in bounded messages.
func (m *Machine) sendInChunks(to peer.Name, records []*wire.Record) {
	for chunk := range slices.Chunk(records, recordsPerMessage) {
		m.sendSync(to, &wire.Sync{Records: chunk})
	}
}

// suspector is in whose name a suspicion is passed on.
func (m *Machine) suspector(e *entry) string {
	if e.suspicion == nil {
		return ""
	}
	first := ""
	for by := range e.suspicion.by {
		if first == "" || by < first {
			first = by
		}
	}
	return first
}

func contains(records []*wire.Record, e *entry) bool {
	return slices.ContainsFunc(records, func(r *wire.Record) bool {
		return r.Name == e.Name && r.Incarnation == e.Incarnation && State(r.State) == e.State
	})
}

// digests hashes the live members, whole and by bucket. Suspicions are left
// out, since they pass; so are the dead, which a new member never learns of.
func (m *Machine) digests() (uint64, []uint64) {
	buckets := make([]uint64, syncBuckets)
	add := func(mb *Member) {
		if mb.State == Dead {
			return
		}
		var b [9]byte
		binary.LittleEndian.PutUint64(b[:], mb.Incarnation)
		if mb.State == Leaving {
			b[8] = 1
		}
		buckets[bucketOf(mb.Name)] += xxhash.Sum64(append(b[:], mb.Name...))
	}
	add(&m.self)
	for _, e := range m.table {
		add(&e.Member)
	}
	all := make([]byte, 0, syncBuckets*8)
	for _, b := range buckets {
		all = binary.LittleEndian.AppendUint64(all, b)
	}
	return xxhash.Sum64(all), buckets
}

func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % syncBuckets) }

func differing(a, b []uint64) []uint32 {
	var d []uint32
	for i := range a {
		if a[i] != b[i] {
			d = append(d, uint32(i))
		}
	}
	return d
}
