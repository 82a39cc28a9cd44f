package member

import (
	"net"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// apply takes another member's word. A larger incarnation, which only the
// member itself makes, always wins; at the same one the worse state does. A
// death in the own region is verified before it is believed, because the
// one that tells may itself have been cut off.
func (m *Machine) apply(r *wire.Record, from peer.Name) {
	if r.Name == m.self.Name {
		m.refute(r)
		return
	}
	e, known := m.table[r.Name]
	switch {
	case r.Name == "" || r.State > wire.State_STATE_DEAD:
		m.stats.BadMessages++
	case !known:
		m.insert(r)
	case r.Incarnation > e.Incarnation:
		m.renew(e, r, from)
	case r.Incarnation == e.Incarnation:
		m.worsen(e, r, from)
	}
}

// insert adds a member. An unknown dead one is not added: tombstones would
// otherwise be handed round for ever.
func (m *Machine) insert(r *wire.Record) {
	if r.State == wire.State_STATE_DEAD {
		return
	}
	e := &entry{Member: memberOf(r), since: m.now}
	suspected := e.State == Suspect
	if suspected {
		e.State = Alive
	}
	m.table[r.Name] = e
	m.membersChanged()
	m.tell(e.record(""))
	if suspected {
		m.suspect(e, r.Suspector)
	}
}

// renew takes a record of a larger incarnation.
func (m *Machine) renew(e *entry, r *wire.Record, from peer.Name) {
	was := e.State
	e.Member = memberOf(r)
	e.suspicion = nil
	e.failedAt = time.Time{}
	e.since = m.now
	if e.State == Suspect || e.State == Dead {
		e.State = Alive
		if was == Dead && r.State == wire.State_STATE_DEAD {
			e.State = Dead
		}
	}
	m.membersChanged()
	m.tell(e.record(""))
	if r.State == wire.State_STATE_SUSPECT || r.State == wire.State_STATE_DEAD {
		m.worsen(e, r, from)
	}
}

// worsen takes a record of the same incarnation.
func (m *Machine) worsen(e *entry, r *wire.Record, from peer.Name) {
	switch State(r.State) {
	case Alive:
	case Suspect:
		m.suspect(e, r.Suspector)
	case Leaving:
		if e.State == Alive || e.State == Suspect {
			e.State = Leaving
			e.suspicion = nil
			e.since = m.now
			m.membersChanged()
			m.tell(e.record(""))
		}
	case Dead:
		switch {
		case e.State == Dead:
		case string(from) == e.Name || e.Region != m.self.Region:
			m.setDead(e)
		case e.State == Leaving:
			m.verifyLater(e.Name)
		default:
			m.suspect(e, r.Suspector)
		}
	}
}

// refute answers a record about this member itself: an earlier life's, or a
// suspicion, is overruled by a larger incarnation.
func (m *Machine) refute(r *wire.Record) {
	accused := r.State == wire.State_STATE_SUSPECT || r.State == wire.State_STATE_DEAD
	same := r.Incarnation == m.self.Incarnation
	if r.Incarnation < m.self.Incarnation || (same && !accused) {
		return
	}
	m.self.Incarnation = r.Incarnation + 1
	m.stats.Refutations++
	if accused {
		m.worse()
	}
	m.announceSelf()
}

// checkSender compares the sender's own word with what is known of it.
func (m *Machine) checkSender(from peer.Name, msg *wire.Message) {
	e, known := m.table[string(from)]
	switch {
	case msg.State == wire.State_STATE_DEAD:
	case !known || msg.Incarnation > e.Incarnation:
		// Its record is missing here: comparing views brings it.
		if msg.Sync == nil && m.mayCompare() {
			m.startSync(from)
		}
	case e.State == Dead:
		// It doesn't know what is believed of it; send adds the record.
		m.send(from, peer.TypeMemberGossip, &wire.Message{})
	}
}

// setDead convicts a member.
func (m *Machine) setDead(e *entry) {
	e.State = Dead
	e.since = m.now
	e.suspicion = nil
	m.stats.Deaths++
	if p, ok := m.byTarget[e.Name]; ok {
		m.endProbe(p)
	}
	m.membersChanged()
	m.tell(e.record(m.self.Name))
}

// expireTombstones forgets members that have been dead for long: stale gossip
// of them has died out by then.
func (m *Machine) expireTombstones() {
	for name, e := range m.table {
		if e.State == Dead && m.now.Sub(e.since) > m.cfg.Tombstone {
			delete(m.table, name)
			m.membersChanged()
		}
	}
}

// announceSelf tells this member's own record.
func (m *Machine) announceSelf() {
	m.changed = true
	m.tell(m.selfRecord())
}

func (m *Machine) membersChanged() {
	m.changed = true
	m.ringStale = true
}

func (m *Machine) selfRecord() *wire.Record {
	e := entry{Member: m.self}
	return e.record("")
}

// live members are those not believed dead, this one not counted.
func (m *Machine) live(e *entry) bool { return e.State != Dead }

func (m *Machine) sameRegionLive(e *entry) bool {
	return e.State != Dead && e.Region == m.self.Region
}

func (m *Machine) otherRegionLive(e *entry) bool {
	return e.State != Dead && e.Region != m.self.Region
}

func (m *Machine) count(ok func(*entry) bool) int {
	n := 0
	for _, e := range m.table {
		if ok(e) {
			n++
		}
	}
	return n
}

// pick returns up to n random members that satisfy a condition.
func (m *Machine) pick(n int, ok func(*entry) bool) []string {
	names := m.names(ok)
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

func memberOf(r *wire.Record) Member {
	return Member{
		Name: r.Name, Incarnation: r.Incarnation, Address: r.Address, Region: r.Region,
		AvailabilityZone: r.AvailabilityZone, State: State(r.State), ProtocolVersion: r.ProtocolVersion, Weight: r.Weight,
	}
}

// record is the entry as told to others; suspector is who holds it against
// the member, empty when nobody does.
func (e *entry) record(suspector string) *wire.Record {
	return &wire.Record{
		Name: e.Name, Incarnation: e.Incarnation, State: wire.State(e.State), Address: e.Address,
		Region: e.Region, AvailabilityZone: e.AvailabilityZone, ProtocolVersion: e.ProtocolVersion, Weight: e.Weight,
		Suspector: suspector,
	}
}

// host is the IP of an address.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
