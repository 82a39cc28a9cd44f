// Package peer sends messages between daemons. It uses yamux streams over TLS
// and TCP, protobuf payloads in versioned envelopes, and a cluster key to
// authenticate each connection. It does not interpret payloads.
package peer

import (
	"context"
	"strings"

	"github.com/pkg/errors"
)

// Type is the type of a message. Numbers are never reused. A daemon answers a
// Call of unknown type with ErrUnknownType, and drops and counts a one-way message
// of unknown type, so that daemons of different versions work together.
type Type uint32

// The message types, grouped by the package that owns them.
const (
	TypePing Type = 1 // heartbeat of a connection

	TypeMemberGossip        Type = 10
	TypeMemberProbe         Type = 11 // direct probe
	TypeMemberIndirectProbe Type = 12 // indirect probe
	TypeMemberAck           Type = 13 // answer to either probe

	TypePoolEvents   Type = 20 // entry to owner: batch of pool events
	TypePoolCommands Type = 21 // owner to entry: batch of pool commands
	TypePoolHello    Type = 22 // entry to owner: opens or renews a session
	TypePoolSummary  Type = 23
	TypeSuspect      Type = 24

	TypeConfigDigest Type = 30
	TypeConfigPull   Type = 31
	TypeStatus       Type = 32 // for `lycheekeel status`

	// 40 is retired; it was a broadcast of quota usage.
	TypeSync           Type = 41 // long poll to a reader, a daemon that reads the store
	TypeQuotaBatch     Type = 42 // a daemon's quota usage, to its hub
	TypeQuotaAnswer    Type = 43 // the hub's answer to a TypeQuotaBatch
	TypeQuotaHubReport Type = 44 // quota usage of a hub's daemons, to the other hubs
	// a daemon's report on a rollout, to the decider; the answer is the plan
	TypeRolloutReport Type = 45

	TypeRelay Type = 50 // a stream to a backend server, through the peer

	TypeStreamBegan    Type = 60 // which version began a caller's stream, to its keepers
	TypeStreamQuestion Type = 61 // asks a keeper for that
	TypeStreamHandover Type = 62 // a batch of such records, to a new keeper
)

// Errors of a Transport, for use with errors.Is.
var (
	// ErrNotConnected means that the peer can't be reached now; nothing was sent.
	ErrNotConnected = errors.New("peer not connected")
	// ErrOverloaded means that the send queue to the peer is full and nothing was
	// sent, or that the peer has too many concurrent calls and ran no handler.
	ErrOverloaded = errors.New("peer send queue full")
	// ErrUnknownOutcome means that a call got no answer. Its handler may have run.
	ErrUnknownOutcome = errors.New("no answer from peer")
	// ErrUnknownType means that the peer does not know the message type.
	ErrUnknownType = errors.New("peer does not know the message type")
)

// Name is a daemon's name from its settings. It is unique in the cluster.
type Name string

// ByAddress returns a Name for the daemon that listens at an address (IP:port).
// It is used for seeds whose names are not known yet. Messages from that daemon
// arrive under its own name.
func ByAddress(address string) Name { return Name(addressPrefix + address) }

// Address returns the address of a name made by ByAddress.
func (n Name) Address() (string, bool) {
	return strings.CutPrefix(string(n), addressPrefix)
}

// addressPrefix is not allowed at the start of a daemon's own name.
const addressPrefix = "@"

// RemoteError is an error returned by the peer's handler of a Call.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Handler handles one message and may keep payload. For a Call, its result is
// the answer. Calls are handled on their own goroutines. One-way messages are
// handled in order per peer, so their handlers must not block.
type Handler func(ctx context.Context, from Name, payload []byte) ([]byte, error)

// Transport sends messages to peers by name. It dials on demand, keeps one
// connection per peer in use, and replaces a silent connection by a new one. It
// is safe for concurrent use.
type Transport interface {
	// Self returns this daemon's name.
	Self() Name
	// Handle registers the handler of a type. It must be called before the
	// transport starts.
	Handle(t Type, h Handler)
	// Send queues a one-way message. Messages to a peer arrive in order as long
	// as the connection lives. Messages in flight are lost when it breaks, which
	// is reported through OnDown.
	Send(to Name, t Type, payload []byte) error
	// Call sends a message and waits for the answer until ctx ends.
	Call(ctx context.Context, to Name, t Type, payload []byte) ([]byte, error)
	// SetAddress sets the address (IP:port) of a peer, known from membership.
	SetAddress(name Name, address string)
	// OnDown registers a function that is called when the connection to a peer
	// broke or went silent, so that sessions over it can be reopened.
	OnDown(f func(name Name))
}
