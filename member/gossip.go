package member

import (
	"math"
	"slices"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// broadcast is news that is still being spread.
type broadcast struct {
	record    *wire.Record
	transmits int
}

// queueBroadcast spreads a record in place of older news of the same member. Records
// of one suspicion by different suspectors are spread side by side, because
// each confirms it.
func (m *Machine) queueBroadcast(r *wire.Record) {
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b *broadcast) bool {
		confirms := b.record.State == wire.State_STATE_SUSPECT && r.State == wire.State_STATE_SUSPECT &&
			b.record.Incarnation == r.Incarnation && b.record.Suspector != r.Suspector
		return b.record.Name == r.Name && !confirms
	})
	m.broadcasts = append(m.broadcasts, &broadcast{record: r})
	m.hasNewBroadcasts = true
}

// appendBroadcasts adds the least spread news to a message's updates.
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

// pushBroadcasts tells fresh news to a few members at once, so that it need not wait
// for the next probes.
func (m *Machine) pushBroadcasts() {
	if !m.hasNewBroadcasts {
		return
	}
	m.hasNewBroadcasts = false
	for _, name := range m.pickRandom(pushFanout, m.isProbeTarget) {
		m.send(peer.Name(name), peer.TypeMemberGossip, &wire.Message{})
	}
}

// pushToOtherRegions tells a death to one member of each other region. Only the
// few first suspectors do so; the views' comparison would take longer.
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

// isProbeTarget members are those with a connection: the ones probed from here.
func (m *Machine) isProbeTarget(e *memberEntry) bool {
	return e.State != Dead && slices.Contains(m.probeTargets(), e.Name)
}
