package member

import (
	"net"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
)

// applyRecord merges a record received from another member. Only a member itself raises
// its incarnation, so the larger incarnation wins; at equal incarnations the worse
// state wins. A death reported in this member's region is verified by a probe first,
// since the reporting member may have been isolated.
func (m *Machine) applyRecord(r *wire.Record, from peer.Name) {
	if r.Name == m.self.Name {
		m.refute(r)
		return
	}
	e, known := m.members[r.Name]
	switch {
	case r.Name == "" || r.State > wire.State_STATE_DEAD:
		m.stats.InvalidMessages++
	case !known:
		m.addMember(r)
	case r.Incarnation > e.Incarnation:
		m.applyNewerIncarnation(e, r, from)
	case r.Incarnation == e.Incarnation:
		m.applySameIncarnation(e, r, from)
	}
}

// addMember adds an unknown member. Dead members are not added: their tombstones would
// otherwise be gossiped forever.
func (m *Machine) addMember(r *wire.Record) {
	if r.State == wire.State_STATE_DEAD {
		return
	}
	e := &memberEntry{Member: memberFromRecord(r), stateChangedAt: m.now}
	suspected := e.State == Suspect
	if suspected {
		e.State = Alive
	}
	m.members[r.Name] = e
	m.membersChanged()
	m.queueBroadcast(e.record(""))
	if suspected {
		m.suspect(e, r.Suspector)
	}
}

// applyNewerIncarnation applies a record with a larger incarnation than the known one.
func (m *Machine) applyNewerIncarnation(e *memberEntry, r *wire.Record, from peer.Name) {
	prevState := e.State
	e.Member = memberFromRecord(r)
	e.suspicion = nil
	e.lastProbeFailure = time.Time{}
	e.stateChangedAt = m.now
	if e.State == Suspect || e.State == Dead {
		e.State = Alive
		if prevState == Dead && r.State == wire.State_STATE_DEAD {
			e.State = Dead
		}
	}
	m.membersChanged()
	m.queueBroadcast(e.record(""))
	if r.State == wire.State_STATE_SUSPECT || r.State == wire.State_STATE_DEAD {
		m.applySameIncarnation(e, r, from)
	}
}

// applySameIncarnation applies a record with the known incarnation.
func (m *Machine) applySameIncarnation(e *memberEntry, r *wire.Record, from peer.Name) {
	switch State(r.State) {
	case Alive:
	case Suspect:
		m.suspect(e, r.Suspector)
	case Leaving:
		if e.State == Alive || e.State == Suspect {
			e.State = Leaving
			e.suspicion = nil
			e.stateChangedAt = m.now
			m.membersChanged()
			m.queueBroadcast(e.record(""))
		}
	case Dead:
		switch {
		case e.State == Dead:
		case string(from) == e.Name || e.Region != m.self.Region:
			m.markDead(e)
		case e.State == Leaving:
			m.queueVerifyProbe(e.Name)
		default:
			m.suspect(e, r.Suspector)
		}
	}
}

// refute handles a record about this member. If it stems from an earlier run with a
// larger incarnation, or says that this member is suspect or dead, it is overruled by a
// larger incarnation.
func (m *Machine) refute(r *wire.Record) {
	suspectedOrDead := r.State == wire.State_STATE_SUSPECT || r.State == wire.State_STATE_DEAD
	sameIncarnation := r.Incarnation == m.self.Incarnation
	if r.Incarnation < m.self.Incarnation || (sameIncarnation && !suspectedOrDead) {
		return
	}
	m.self.Incarnation = r.Incarnation + 1
	m.stats.Refutations++
	if suspectedOrDead {
		m.degradeHealth()
	}
	m.broadcastSelf()
}

// checkSender compares the sender's own state with the local record of it.
func (m *Machine) checkSender(from peer.Name, msg *wire.Message) {
	e, known := m.members[string(from)]
	switch {
	case msg.State == wire.State_STATE_DEAD:
	case !known || msg.Incarnation > e.Incarnation:
		// The local record is missing or outdated; a view sync fetches it.
		if msg.Sync == nil && m.allowRecordSync() {
			m.startSync(from)
		}
	case e.State == Dead:
		// The sender doesn't know that it is dead here; send adds the record.
		m.send(from, peer.TypeMemberGossip, &wire.Message{})
	}
}

// markDead marks a member as dead and broadcasts it.
func (m *Machine) markDead(e *memberEntry) {
	e.State = Dead
	e.stateChangedAt = m.now
	e.suspicion = nil
	m.stats.Deaths++
	if p, ok := m.probeByTarget[e.Name]; ok {
		m.endProbe(p)
	}
	m.membersChanged()
	m.queueBroadcast(e.record(m.self.Name))
}

// removeExpiredTombstones removes members that have been dead for longer than
// Config.Tombstone. By then no stale gossip about them circulates.
func (m *Machine) removeExpiredTombstones() {
	for name, e := range m.members {
		if e.State == Dead && m.now.Sub(e.stateChangedAt) > m.cfg.Tombstone {
			delete(m.members, name)
			m.membersChanged()
		}
	}
}

// broadcastSelf broadcasts this member's own record.
func (m *Machine) broadcastSelf() {
	m.changed = true
	m.queueBroadcast(m.selfRecord())
}

func (m *Machine) membersChanged() {
	m.changed = true
	m.targetsStale = true
}

func (m *Machine) selfRecord() *wire.Record {
	e := memberEntry{Member: m.self}
	return e.record("")
}

// isLive reports whether a member is not dead. This member itself has no entry.
func (m *Machine) isLive(e *memberEntry) bool { return e.State != Dead }

func (m *Machine) isLiveSameRegion(e *memberEntry) bool {
	return e.State != Dead && e.Region == m.self.Region
}

func (m *Machine) isLiveOtherRegion(e *memberEntry) bool {
	return e.State != Dead && e.Region != m.self.Region
}

func (m *Machine) count(ok func(*memberEntry) bool) int {
	n := 0
	for _, e := range m.members {
		if ok(e) {
			n++
		}
	}
	return n
}

// pickRandom returns the names of up to n random members that satisfy a condition.
func (m *Machine) pickRandom(n int, ok func(*memberEntry) bool) []string {
	names := m.sortedNames(ok)
	m.rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(n, len(names))]
}

func memberFromRecord(r *wire.Record) Member {
	return Member{
		Name: r.Name, Incarnation: r.Incarnation, Address: r.Address, Region: r.Region,
		AvailabilityZone: r.AvailabilityZone, State: State(r.State), ProtocolVersion: r.ProtocolVersion, Weight: r.Weight,
	}
}

// record returns the wire form of the entry. The suspector is the member that suspects
// it or considers it dead; empty if there is none.
func (e *memberEntry) record(suspector string) *wire.Record {
	return &wire.Record{
		Name: e.Name, Incarnation: e.Incarnation, State: wire.State(e.State), Address: e.Address,
		Region: e.Region, AvailabilityZone: e.AvailabilityZone, ProtocolVersion: e.ProtocolVersion, Weight: e.Weight,
		Suspector: suspector,
	}
}

// host returns the IP of an IP:port address.
func host(address string) string {
	h, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return h
}
