package member

import (
	"math"
	"slices"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// update is news that is still being spread.
type update struct {
	record *wire.Record
	sent   int
}

// tell spreads a record in place of older news of the same member. Records
// of one suspicion by different suspectors are spread side by side, because
// each confirms it.
func (m *Machine) tell(r *wire.Record) {
	m.news = slices.DeleteFunc(m.news, func(u *update) bool {
		confirms := u.record.State == wire.State_STATE_SUSPECT && r.State == wire.State_STATE_SUSPECT &&
			u.record.Incarnation == r.Incarnation && u.record.Suspector != r.Suspector
		return u.record.Name == r.Name && !confirms
	})
	m.news = append(m.news, &update{record: r})
	m.fresh = true
}

// appendNews adds the least spread news to a message's updates.
func (m *Machine) appendNews(records []*wire.Record) []*wire.Record {
	if len(m.news) == 0 {
		return records
	}
	slices.SortStableFunc(m.news, func(a, b *update) int { return a.sent - b.sent })
	limit := sendFactor * int(math.Ceil(math.Log10(float64(len(m.table)+2))))
	n := min(updatesPerMessage, len(m.news))
	for _, u := range m.news[:n] {
		records = append(records, u.record)
		u.sent++
	}
	m.news = slices.DeleteFunc(m.news, func(u *update) bool { return u.sent >= limit })
	return records
}

// push tells fresh news to a few members at once, so that it need not wait
// for the next probes.
func (m *Machine) push() {
	if !m.fresh {
		return
	}
	m.fresh = false
	for _, name := range m.pick(pushTo, m.pushable) {
		m.send(peer.Name(name), peer.TypeMemberGossip, &wire.Message{})
	}
}

// pushToRegions tells a death to one member of each other region. Only the
// few first suspectors do so; the views' comparison would take longer.
func (m *Machine) pushToRegions() {
	told := map[string]struct{}{}
	for _, name := range m.pick(len(m.table), m.otherRegionLive) {
		region := m.table[name].Region
		if _, ok := told[region]; !ok {
			told[region] = struct{}{}
			m.send(peer.Name(name), peer.TypeMemberGossip, &wire.Message{})
		}
	}
}

// pushable members are those with a connection: the ones probed from here.
func (m *Machine) pushable(e *entry) bool {
	return e.State != Dead && slices.Contains(m.ringMembers(), e.Name)
}
