package member

import (
	"math/rand/v2"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member/wire"
	"google.golang.org/protobuf/proto"
)

// Out is a message to send. Members without a name yet are peer.ByAddress.
type Out struct {
	To      peer.Name
	Type    peer.Type
	Payload []byte
}

// Stats counts what the machine did, since its start.
type Stats struct {
	Probes, ProbeFailures, IndirectSaved       uint64
	Suspicions, Refutations, Deaths, OwnPauses uint64
	Syncs, SyncDifferences, BadMessages        uint64
}

// Machine is membership as a pure state machine: events go in with the time,
// messages to send come out. One goroutine at a time uses it. Runner connects
// it to a peer.Transport.
type Machine struct {
	cfg   Config
	rand  *rand.Rand
	self  Member
	table map[string]*entry
	stats Stats

	started  time.Time
	now      time.Time
	lastTick time.Time
	out      []Out
	changed  bool // the view differs from the last one published

	seq         uint64
	probes      map[uint64]*probe
	byTarget    map[string]*probe
	relays      map[uint64]relay
	verify      []string // members to probe because of what others say
	order       []string // members still to probe in this round
	ring        []string // the members that this one probes
	ringStale   bool
	health      int // 0: fine; more: this member itself seems slow or cut off
	nextProbe   time.Time
	untilSync   int
	syncTurn    int
	nextCompare time.Time
	nextSeek    time.Time

	news    []*update
	fresh   bool // news came in since the last push
	joining joining
	hinted  map[string]struct{}
	hints   []string // addresses not tried yet
}

// entry is what is known of another member.
type entry struct {
	Member
	since     time.Time // when State was last changed
	failedAt  time.Time // the end of the last own probe that failed
	suspicion *suspicion
}

// NewMachine returns a machine that knows nobody but its seeds.
func NewMachine(cfg Config, now time.Time, r *rand.Rand) (*Machine, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	m := &Machine{
		cfg: cfg, rand: r, self: cfg.Self, started: now, now: now, lastTick: now, changed: true,
		table: map[string]*entry{}, probes: map[uint64]*probe{}, byTarget: map[string]*probe{},
		relays: map[uint64]relay{}, hinted: map[string]struct{}{},
		joining:   joining{started: now},
		nextProbe: now, nextSeek: now, untilSync: r.IntN(syncEveryYoung), ringStale: true,
	}
	m.self.State = Alive
	m.announceSelf()
	m.hints = append(m.hints, cfg.Seeds...)
	return m, nil
}

// Tick does what is due; call it every TickInterval.
func (m *Machine) Tick(now time.Time) []Out {
	m.now = now
	if now.Sub(m.lastTick) > m.cfg.PauseGap {
		m.forgiveAfterPause()
	}
	m.lastTick = now
	m.expireProbes()
	m.judgeSuspects()
	m.expireTombstones()
	m.startProbes()
	m.seek()
	m.tryHints()
	m.push()
	return m.take()
}

// Receive handles a peer's message.
func (m *Machine) Receive(now time.Time, from peer.Name, t peer.Type, payload []byte) []Out {
	m.now = now
	var msg wire.Message
	if err := proto.Unmarshal(payload, &msg); err != nil {
		m.stats.BadMessages++
		return nil
	}
	for _, r := range msg.Updates {
		m.apply(r, from)
	}
	switch t {
	case peer.TypeMemberProbe:
		m.send(from, peer.TypeMemberAck, &wire.Message{Seq: msg.Seq})
	case peer.TypeMemberAsk:
		m.relayProbe(from, &msg)
	case peer.TypeMemberAck:
		m.acked(from, &msg)
	case peer.TypeMemberGossip:
		if msg.Sync != nil {
			m.sync(from, msg.Sync)
		}
	}
	m.checkSender(from, &msg)
	return m.take()
}

// PeerDown tells that the connection to a peer broke, or that a message could
// not be sent. It is a hint: the peer is probed on a new connection.
func (m *Machine) PeerDown(now time.Time, of peer.Name) []Out {
	m.now = now
	name := string(of)
	m.relaysDown(name)
	m.helperDown(name)
	e, known := m.table[name]
	if p, ok := m.byTarget[name]; ok {
		m.connectionDown(p)
	} else if known {
		m.doubt(e)
	}
	return m.take()
}

// doubt probes a member whose connection broke; one of another region that
// the platform's list has not either is forgotten.
func (m *Machine) doubt(e *entry) {
	if e.State == Dead || m.now.Sub(e.failedAt) < reprobeInterval {
		return
	}
	if e.Region == m.self.Region {
		m.startProbe(e.Name)
		return
	}
	if _, listed := m.hinted[host(e.Address)]; !listed && len(m.hinted) > 0 {
		m.setDead(e)
	}
}

// Leave announces that this member takes no more pools.
func (m *Machine) Leave(now time.Time) []Out {
	m.now = now
	m.self.State = Leaving
	m.self.Incarnation++
	m.announceSelf()
	m.push()
	return m.take()
}

// Goodbye announces that this member stops now. No more ticks may follow.
func (m *Machine) Goodbye(now time.Time) []Out {
	m.now = now
	m.self.State = Dead
	m.announceSelf()
	for _, name := range m.pick(len(m.table), m.pushable) {
		m.send(peer.Name(name), peer.TypeMemberGossip, &wire.Message{})
	}
	return m.take()
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// View returns the view if it changed since the last call, else nil.
func (m *Machine) View() *View {
	if !m.changed {
		return nil
	}
	m.changed = false
	members := make([]Member, 0, len(m.table)+1)
	members = append(members, m.self)
	for _, e := range m.table {
		members = append(members, e.Member)
	}
	return NewView(m.self.Name, members)
}

// forgiveAfterPause takes back what this member holds against others: while
// it was paused, it is itself that did not answer and did not hear.
func (m *Machine) forgiveAfterPause() {
	m.stats.OwnPauses++
	m.probes = map[uint64]*probe{}
	m.byTarget = map[string]*probe{}
	m.relays = map[uint64]relay{}
	for _, e := range m.table {
		if e.suspicion != nil {
			e.suspicion.started = m.now
			e.suspicion.verified = false
		}
	}
}

// send encodes a message with this member's own state and news, and what is
// held against the receiver, so that it can refute it.
func (m *Machine) send(to peer.Name, t peer.Type, msg *wire.Message) {
	msg.Incarnation = m.self.Incarnation
	msg.State = wire.State(m.self.State)
	if e, ok := m.table[string(to)]; ok && (e.State == Suspect || e.State == Dead) {
		msg.Updates = append(msg.Updates, e.record(m.self.Name))
	}
	msg.Updates = m.appendNews(msg.Updates)
	b, err := proto.Marshal(msg)
	if err != nil {
		m.stats.BadMessages++
		return
	}
	m.out = append(m.out, Out{To: to, Type: t, Payload: b})
}

func (m *Machine) take() []Out {
	out := m.out
	m.out = nil
	return out
}
