package peer

import (
	"expvar"
	"net"
	"strconv"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
)

// reason is why a handshake failed, a connection was closed or a message was
// dropped. It is also the name of the counter.
type reason string

// Reasons of a failed or refused handshake (group peer_auth_failures).
const (
	authWrongKey  reason = "wrong_key"
	authWrongPeer reason = "wrong_peer" // the address belongs to another daemon
	authBadHello  reason = "bad_hello"
	authProtocol  reason = "protocol" // no common protocol version
	authTLS       reason = "tls"
	authBusy      reason = "busy" // too many handshakes at once
	authSelf      reason = "self"
	authRefused   reason = "refused_by_peer"
)

// Reasons of a closed connection (group peer_closed).
const (
	closedDialFailed reason = "dial_failed"
	closedRefused    reason = "refused" // accepted, but not authenticated
	closedBroken     reason = "broken"
	closedSilent     reason = "silent"
	closedWrite      reason = "write_timeout"
	closedReplaced   reason = "replaced"  // the peer replaced a silent connection
	closedRestarted  reason = "restarted" // the peer has a new instance
	closedIdle       reason = "idle"
	closedShutdown   reason = "shutdown"
)

// Reasons of a dropped message (group peer_drops).
const (
	dropQueueFull    reason = "queue_full"
	dropNotConnected reason = "not_connected"
	dropLinkDown     reason = "link_down"
	dropUnknownType  reason = "unknown_type"
	dropCallsFull    reason = "calls_full"
)

// Groups in the metrics registry.
const (
	groupPeer    = "peer"
	groupAuth    = "peer_auth_failures"
	groupClosed  = "peer_closed"
	groupDrops   = "peer_drops"
	groupRedials = "peer_redials"
	groupSent    = "peer_sent"
	groupRecv    = "peer_received"
)

// typeNames are the names of the message types in counters.
var typeNames = map[Type]string{
	TypePing: "ping", TypeMemberGossip: "member_gossip", TypeMemberProbe: "member_probe",
	TypeMemberIndirectProbe: "member_ask", TypeMemberAck: "member_ack", TypePoolEvents: "pool_events",
	TypePoolCommands: "pool_commands", TypePoolHello: "pool_hello", TypePoolSummary: "pool_summary",
	TypeSuspect: "suspect", TypeConfigDigest: "config_digest", TypeConfigPull: "config_pull",
	TypeStatus: "status", TypeSync: "sync",
	TypeQuotaBatch: "quota_batch", TypeQuotaAnswer: "quota_answer", TypeQuotaHubReport: "quota_group",
	TypeRolloutReport: "rollout_report",
}

// String returns the type's name in counters.
func (t Type) String() string {
	if s, ok := typeNames[t]; ok {
		return s
	}
	return "type_" + strconv.FormatUint(uint64(t), 10)
}

// traffic counts the messages and envelope bytes of one type and direction.
type traffic struct{ messages, bytes *expvar.Int }

func (c traffic) add(size int) {
	c.messages.Add(1)
	c.bytes.Add(int64(size))
}

// counters holds all counters of a transport. They are created at its start, so
// that a counter without events is exported as zero.
type counters struct {
	reg                                  *metrics.Registry
	dials, accepts                       *expvar.Int
	wireBytesIn, wireBytesOut            *expvar.Int
	pings, ownPauses, panics             *expvar.Int
	authFailures, closed, drops, redials map[reason]*expvar.Int
	sent, received                       map[Type]traffic
	sentOther, receivedOther             traffic
}

func newCounters(reg *metrics.Registry) *counters {
	c := &counters{
		reg:          reg,
		dials:        reg.Counter(groupPeer, "dials"),
		accepts:      reg.Counter(groupPeer, "accepts"),
		wireBytesIn:  reg.Counter(groupPeer, "wire_bytes_in"),
		wireBytesOut: reg.Counter(groupPeer, "wire_bytes_out"),
		pings:        reg.Counter(groupPeer, "pings"),
		panics:       reg.Counter(groupPeer, "handler_panics"),
		ownPauses:    reg.Counter(groupPeer, "own_pauses"),
		authFailures: reasonCounters(reg, groupAuth, authWrongKey, authWrongPeer, authBadHello, authProtocol,
			authTLS, authBusy, authSelf, authRefused),
		closed: reasonCounters(reg, groupClosed, closedDialFailed, closedRefused, closedBroken, closedSilent, closedWrite,
			closedReplaced, closedRestarted, closedIdle, closedShutdown),
		drops: reasonCounters(reg, groupDrops, dropQueueFull, dropNotConnected, dropLinkDown,
			dropUnknownType, dropCallsFull),
		redials:       reasonCounters(reg, groupRedials, closedSilent, closedBroken, closedWrite),
		sent:          map[Type]traffic{},
		received:      map[Type]traffic{},
		sentOther:     newTraffic(reg, groupSent, "other"),
		receivedOther: newTraffic(reg, groupRecv, "other"),
	}
	for t, name := range typeNames {
		c.sent[t] = newTraffic(reg, groupSent, name)
		c.received[t] = newTraffic(reg, groupRecv, name)
	}
	return c
}

func reasonCounters(reg *metrics.Registry, group string, rs ...reason) map[reason]*expvar.Int {
	m := make(map[reason]*expvar.Int, len(rs))
	for _, r := range rs {
		m[r] = reg.Counter(group, string(r))
	}
	return m
}

func newTraffic(reg *metrics.Registry, group, name string) traffic {
	return traffic{messages: reg.Counter(group, name+"_messages"), bytes: reg.Counter(group, name+"_bytes")}
}

func (c *counters) countSent(t Type, size int) {
	if k, ok := c.sent[t]; ok {
		k.add(size)
		return
	}
	c.sentOther.add(size)
}

func (c *counters) countReceived(t Type, size int) {
	if k, ok := c.received[t]; ok {
		k.add(size)
		return
	}
	c.receivedOther.add(size)
}

// countedConn counts the bytes on the wire, including encryption, and records
// when bytes arrive. It also sets a deadline on each write, because a peer whose
// receive window stays closed would block the writer forever.
type countedConn struct {
	net.Conn
	link *link
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.markReceived()
		c.link.transport.count.wireBytesIn.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.link.transport.now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.link.transport.count.wireBytesOut.Add(int64(n))
	return n, err
}
