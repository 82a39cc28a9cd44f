package member

import (
	"math"
	"slices"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// broadcast is a record that is still being spread by gossip.
type broadcast struct {
	record    *wire.Record
	transmits int
}

// queueBroadcast queues a record for gossip and replaces older broadcasts about the
// same member. Suspicions of the same incarnation by different suspectors are kept side
// by side, because each of them is a confirmation.
func (m *Machine) queueBroadcast(r *wire.Record) {
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b *broadcast) bool {
		confirms := b.record.State == wire.State_STATE_SUSPECT && r.State == wire.State_STATE_SUSPECT &&
			b.record.Incarnation == r.Incarnation && b.record.Suspector != r.Suspector
		return b.record.Name == r.Name && !confirms
	})
	m.broadcasts = append(m.broadcasts, &broadcast{record: r})
	m.hasNewBroadcasts = true
}

// appendBroadcasts appends the broadcasts that were sent least often to a message's
// updates.
func (m *Machine) appendBroadcasts(records []*wire.Record) []*wire.Record {
	if len(m.broadcasts) == 0 {
		return records
	}
	slices.SortStableFunc(m.broadcasts, func(a, b *broadcast) int { return a.transmits - b.transmits })
	limit := retransmitMultiplier * int(math.Ceil(math.Log10(float64(len(m.members)+2))))
	n := min(maxUpdatesPerMessage, len(m.broadcasts))
	for _, b := range m.broadcasts[:n] {
		records = append(records, b.record)
		b.transmits++
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b *broadcast) bool { return b.transmits >= limit })
	return records
}

// pushBroadcasts sends new broadcasts to a few members at once instead of waiting for
// the next probes.
func (m *Machine) pushBroadcasts() {
	if !m.hasNewBroadcasts {
		return
	}
	m.hasNewBroadcasts = false
	for _, name := range m.pickRandom(pushFanout, m.isProbeTarget) {
		m.send(peer.Name(name), peer.TypeMemberGossip, &wire.Message{})
	}
}

// pushToOtherRegions sends the broadcasts to one member of each other region when a
// member has been marked dead. Only its first suspectors do so. View syncs alone would
// take longer.
func (m *Machine) pushToOtherRegions() {
	sent := map[string]struct{}{}
	for _, name := range m.pickRandom(len(m.members), m.isLiveOtherRegion) {
		region := m.members[name].Region
		if _, ok := sent[region]; !ok {
			sent[region] = struct{}{}
			m.send(peer.Name(name), peer.TypeMemberGossip, &wire.Message{})
		}
	}
}

// isProbeTarget reports whether this member probes the other one, and so has a
// connection to it.
func (m *Machine) isProbeTarget(e *memberEntry) bool {
	return e.State != Dead && slices.Contains(m.probeTargets(), e.Name)
}
