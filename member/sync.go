package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// syncBuckets is the number of buckets by which two views are compared.
const syncBuckets = 64

// recordSyncInterval is the minimum time between two view syncs that may transfer
// records.
const recordSyncInterval = 500 * time.Millisecond

// The kinds of partners for view syncs, used in turn.
const (
	syncSameRegion = iota
	syncOtherRegion
	syncUnreachable // a dead member or an unknown seed; rejoins separated clusters
	syncPartnerKinds
)

// syncWithRandomMember starts a view sync with a random member. View syncs deliver
// updates that gossip missed, carry updates between regions, and contact members
// believed dead, so that the parts of a partitioned cluster find each other again.
func (m *Machine) syncWithRandomMember() {
	for range syncPartnerKinds {
		kind := m.syncPartnerKind
		m.syncPartnerKind = (m.syncPartnerKind + 1) % syncPartnerKinds
		if to, ok := m.syncPartner(kind); ok {
			m.startSync(to)
			return
		}
	}
}

func (m *Machine) syncPartner(kind int) (peer.Name, bool) {
	var names []string
	switch kind {
	case syncSameRegion:
		names = m.pickRandom(1, m.isLiveSameRegion)
	case syncOtherRegion:
		names = m.pickRandom(1, m.isLiveOtherRegion)
	case syncUnreachable:
		return m.unreachablePartner()
	}
	if len(names) == 0 {
		return "", false
	}
	return peer.Name(names[0]), true
}

// unreachablePartner returns a random dead member or unknown seed.
func (m *Machine) unreachablePartner() (peer.Name, bool) {
	var unreachable []peer.Name
	for _, name := range m.sortedNames(func(e *memberEntry) bool { return e.State == Dead }) {
		unreachable = append(unreachable, peer.Name(name))
	}
	for _, s := range m.cfg.Seeds {
		if !m.knowsAddress(s) {
			unreachable = append(unreachable, peer.ByAddress(s))
		}
	}
	if len(unreachable) == 0 {
		return "", false
	}
	return unreachable[m.rand.IntN(len(unreachable))], true
}

func (m *Machine) startSync(to peer.Name) {
	m.stats.Syncs++
	digest, _ := m.digests()
	m.sendSync(to, &wire.Sync{Digest: digest})
}

// allowRecordSync limits the rate of view syncs that may transfer records. Each member
// that meets a new member sees a different view, and all of them would send it the same
// records. A skipped transfer is made up for by a later sync.
func (m *Machine) allowRecordSync() bool {
	if m.now.Before(m.nextRecordSync) {
		return false
	}
	m.nextRecordSync = m.now.Add(recordSyncInterval)
	return true
}

func (m *Machine) sendSync(to peer.Name, s *wire.Sync) {
	m.send(to, peer.TypeMemberGossip, &wire.Message{Sync: s})
}

// handleSync answers one step of a view sync.
func (m *Machine) handleSync(from peer.Name, s *wire.Sync) {
	digest, buckets := m.digests()
	m.markViewReceived(s, digest)
	switch {
	case s.Join:
		m.answerJoin(from)
	case len(s.Differing) > 0 || len(s.Records) > 0:
		for _, r := range s.Records {
			m.applyRecord(r, from)
		}
		if s.WantRecords {
			m.sendRecords(from, s.Differing, s.Records, false)
		}
	case len(s.Buckets) == syncBuckets:
		m.stats.SyncDifferences++
		m.sendRecords(from, differingBuckets(buckets, s.Buckets), nil, true)
	case s.Digest != digest && m.allowRecordSync():
		m.sendSync(from, &wire.Sync{Buckets: buckets})
	}
}

// sendRecords sends the records of some buckets, without those that the peer has just
// sent. With wantReply it also asks for the peer's records of these buckets.
func (m *Machine) sendRecords(to peer.Name, buckets []uint32, exclude []*wire.Record, wantReply bool) {
	records := []*wire.Record{}
	if slices.Contains(buckets, bucketOf(m.self.Name)) {
		records = append(records, m.selfRecord())
	}
	for _, name := range m.sortedNames(func(*memberEntry) bool { return true }) {
		e := m.members[name]
		if slices.Contains(buckets, bucketOf(name)) && !containsRecord(exclude, e) {
			records = append(records, e.record(m.suspector(e)))
		}
	}
	m.sendRecordChunks(to, records)
	if wantReply && len(buckets) > 0 {
		m.sendSync(to, &wire.Sync{Differing: buckets, WantRecords: true})
	}
}

// sendRecordChunks sends records in messages of at most maxRecordsPerMessage.
func (m *Machine) sendRecordChunks(to peer.Name, records []*wire.Record) {
	for chunk := range slices.Chunk(records, maxRecordsPerMessage) {
		m.sendSync(to, &wire.Sync{Records: chunk})
	}
}

// suspector returns the member in whose name a suspicion is forwarded.
func (m *Machine) suspector(e *memberEntry) string {
	if e.suspicion == nil {
		return ""
	}
	first := ""
	for name := range e.suspicion.suspectors {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

func containsRecord(records []*wire.Record, e *memberEntry) bool {
	return slices.ContainsFunc(records, func(r *wire.Record) bool {
		return r.Name == e.Name && r.Incarnation == e.Incarnation && State(r.State) == e.State
	})
}

// digests hashes the members that are not dead, in total and by bucket. Suspicions are
// left out because they are short-lived; dead members because a new member never learns
// of them.
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
	for _, e := range m.members {
		add(&e.Member)
	}
	concatenated := make([]byte, 0, syncBuckets*8)
	for _, b := range buckets {
		concatenated = binary.LittleEndian.AppendUint64(concatenated, b)
	}
	return xxhash.Sum64(concatenated), buckets
}

func bucketOf(name string) uint32 { return uint32(xxhash.Sum64String(name) % syncBuckets) }

func differingBuckets(a, b []uint64) []uint32 {
	var d []uint32
	for i := range a {
		if a[i] != b[i] {
			d = append(d, uint32(i))
		}
	}
	return d
}
