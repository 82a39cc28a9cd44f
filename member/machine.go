package member

import (
	"math/rand/v2"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
	"google.golang.org/protobuf/proto"
)

// Outgoing is a message to send. A member whose name is not known yet is addressed by
// peer.ByAddress.
type Outgoing struct {
	To      peer.Name
	Type    peer.Type
	Payload []byte
}

// Stats holds the machine's event counters since its start.
type Stats struct {
	Probes, ProbeFailures, IndirectAcks          uint64
	Suspicions, Refutations, Deaths, LocalPauses uint64
	Syncs, SyncDifferences, InvalidMessages      uint64
}

// Machine is the membership protocol as a pure state machine: it takes events with
// their time and returns the messages to send. It is not safe for concurrent use.
// Runner connects it to a peer.Transport.
type Machine struct {
	cfg     Config
	rand    *rand.Rand
	self    Member
	members map[string]*memberEntry
	stats   Stats

	started  time.Time
	now      time.Time
	lastTick time.Time
	outgoing []Outgoing
	changed  bool // the view differs from the one that View returned last

	seq             uint64
	probes          map[uint64]*probe
	probeByTarget   map[string]*probe
	relays          map[uint64]relay
	verifyQueue     []string // suspected members, still to be probed
	probeQueue      []string // rest of the current probe round
	targets         []string // members that this one probes at regular intervals
	targetsStale    bool
	localHealth     int // 0: healthy; up to maxLocalHealth: this member seems slow or isolated
	nextProbe       time.Time
	probesUntilSync int
	syncPartnerKind int
	nextRecordSync  time.Time
	nextSeedContact time.Time

	broadcasts       []*broadcast
	hasNewBroadcasts bool // broadcasts were queued since the last push
	joinState        joinState
	vmListHosts      map[string]struct{}
	candidates       []string // addresses (IP:port) not tried yet
}

// memberEntry is the local record of another member.
type memberEntry struct {
	Member
	stateChangedAt   time.Time // last change of State
	lastProbeFailure time.Time // end of the last failed probe by this member
	suspicion        *suspicion
}

// NewMachine returns a machine that knows only its seeds.
func NewMachine(cfg Config, now time.Time, r *rand.Rand) (*Machine, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Machine{
		cfg: cfg, rand: r, self: cfg.Self, started: now, now: now, lastTick: now, changed: true,
		members: map[string]*memberEntry{}, probes: map[uint64]*probe{}, probeByTarget: map[string]*probe{},
		relays: map[uint64]relay{}, vmListHosts: map[string]struct{}{},
		joinState: joinState{started: now},
		nextProbe: now, nextSeedContact: now, probesUntilSync: r.IntN(probesPerStartupSync), targetsStale: true,
	}
	m.self.State = Alive
	m.broadcastSelf()
	m.candidates = append(m.candidates, cfg.Seeds...)
	return m, nil
}

// Tick runs the periodic work. It must be called every TickInterval.
func (m *Machine) Tick(now time.Time) []Outgoing {
	m.now = now
	if now.Sub(m.lastTick) > m.cfg.PauseGap {
		m.resetAfterPause()
	}
	m.lastTick = now
	m.expireProbes()
	m.expireSuspicions()
	m.removeExpiredTombstones()
	m.startProbes()
	m.contactSeeds()
	m.joinCandidates()
	m.pushBroadcasts()
	return m.takeOutgoing()
}

// Receive handles a message from a peer.
func (m *Machine) Receive(now time.Time, from peer.Name, t peer.Type, payload []byte) []Outgoing {
	m.now = now
	var msg wire.Message
	if err := proto.Unmarshal(payload, &msg); err != nil {
		m.stats.InvalidMessages++
		return nil
	}
	for _, r := range msg.Updates {
		m.applyRecord(r, from)
	}
	switch t {
	case peer.TypeMemberProbe:
		m.send(from, peer.TypeMemberAck, &wire.Message{Seq: msg.Seq})
	case peer.TypeMemberIndirectProbe:
		m.startRelay(from, &msg)
	case peer.TypeMemberAck:
		m.handleAck(from, &msg)
	case peer.TypeMemberGossip:
		if msg.Sync != nil {
			m.handleSync(from, msg.Sync)
		}
	}
	m.checkSender(from, &msg)
	return m.takeOutgoing()
}

// PeerDown reports that the connection to a peer broke or that a message could not be
// sent. This is no proof of a failure: the peer is probed over a new connection.
func (m *Machine) PeerDown(now time.Time, peerName peer.Name) []Outgoing {
	m.now = now
	name := string(peerName)
	m.failRelaysTo(name)
	m.markHelperDown(name)
	e, known := m.members[name]
	if p, ok := m.probeByTarget[name]; ok {
		m.retryProbe(p)
	} else if known {
		m.probeAfterDisconnect(e)
	}
	return m.takeOutgoing()
}

// probeAfterDisconnect probes a member of this region whose connection broke. A member
// of another region is marked dead if a VM list is known and does not contain it.
func (m *Machine) probeAfterDisconnect(e *memberEntry) {
	if e.State == Dead || m.now.Sub(e.lastProbeFailure) < reprobeInterval {
		return
	}
	if e.Region == m.self.Region {
		m.startProbe(e.Name)
		return
	}
	if _, listed := m.vmListHosts[host(e.Address)]; !listed && len(m.vmListHosts) > 0 {
		m.markDead(e)
	}
}

// Leave announces that this member no longer owns pools.
func (m *Machine) Leave(now time.Time) []Outgoing {
	m.now = now
	m.self.State = Leaving
	m.self.Incarnation++
	m.broadcastSelf()
	m.pushBroadcasts()
	return m.takeOutgoing()
}

// Shutdown announces that this member stops now. Tick must not be called afterwards.
func (m *Machine) Shutdown(now time.Time) []Outgoing {
	m.now = now
	m.self.State = Dead
	m.broadcastSelf()
	for _, name := range m.pickRandom(len(m.members), m.isProbeTarget) {
		m.send(peer.Name(name), peer.TypeMemberGossip, &wire.Message{})
	}
	return m.takeOutgoing()
}

// Stats returns a copy of the counters.
func (m *Machine) Stats() Stats { return m.stats }

// View returns the view if it changed since the last call, otherwise nil.
func (m *Machine) View() *View {
	if !m.changed {
		return nil
	}
	m.changed = false
	members := make([]Member, 0, len(m.members)+1)
	members = append(members, m.self)
	for _, e := range m.members {
		members = append(members, e.Member)
	}
	return NewView(m.self.Name, members)
}

// resetAfterPause discards running probes and restarts all suspicions. While this
// process was paused, it could not receive answers, so timeouts in that time say
// nothing about other members.
func (m *Machine) resetAfterPause() {
	m.stats.LocalPauses++
	m.probes = map[uint64]*probe{}
	m.probeByTarget = map[string]*probe{}
	m.relays = map[uint64]relay{}
	for _, e := range m.members {
		if e.suspicion != nil {
			e.suspicion.started = m.now
			e.suspicion.verified = false
		}
	}
}

// send encodes a message together with this member's own state and pending broadcasts.
// If the receiver is suspect or dead here, its record is included so that it can refute
// it.
func (m *Machine) send(to peer.Name, t peer.Type, msg *wire.Message) {
	msg.Incarnation = m.self.Incarnation
	msg.State = wire.State(m.self.State)
	if e, ok := m.members[string(to)]; ok && (e.State == Suspect || e.State == Dead) {
		msg.Updates = append(msg.Updates, e.record(m.self.Name))
	}
	msg.Updates = m.appendBroadcasts(msg.Updates)
	b, err := proto.Marshal(msg)
	if err != nil {
		m.stats.InvalidMessages++
		return
	}
	m.outgoing = append(m.outgoing, Outgoing{To: to, Type: t, Payload: b})
}

func (m *Machine) takeOutgoing() []Outgoing {
	out := m.outgoing
	m.outgoing = nil
	return out
}
