// Package peer carries messages between daemons: yamux streams over TCP,
// protobuf payloads in versioned envelopes, each connection authenticated by a
// cluster key. It knows nothing of what the messages mean.
package peer

import (
	"context"
	"strings"

	"github.com/pkg/errors"
)

// Type names what an envelope carries. Numbers are never reused; a daemon
// answers an unknown type of a Call with ErrUnknownType and drops an unknown
// one-way message with a counter, so that old and new daemons work together.
type Type uint32

// The message types, grouped by the part that owns them.
const (
	TypePing Type = 1 // app-level heartbeat

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

	// 40 was each daemon's word to all others on the quotas.
	TypeSync           Type = 41 // what a daemon that reads the store knows
	TypeQuotaBatch     Type = 42 // what a daemon let through of the quotas, to its hub
	TypeQuotaAnswer    Type = 43 // the hub's answer
	TypeQuotaHubReport Type = 44 // what a hub's daemons let through, to the other hubs
	// what a daemon saw of a rollout, to the one that decides; its answer is the plan
	TypeRolloutReport Type = 45
)

// Errors of a Transport; callers test with errors.Is.
var (
	// ErrNotConnected: the peer can't be reached now; nothing was sent.
	ErrNotConnected = errors.New("peer not connected")
	// ErrOverloaded: the peer's send queue is full; nothing was sent.
	ErrOverloaded = errors.New("peer send queue full")
	// ErrUnknownOutcome: a call's answer did not come.
	ErrUnknownOutcome = errors.New("no answer from peer")
	// ErrUnknownType: the peer does not know the message type.
	ErrUnknownType = errors.New("peer does not know the message type")
)

// Name is a daemon's name as in its settings, unique in the cluster.
type Name string

// ByAddress names whichever daemon listens at the address (IP:port), for seeds
// whose names are not known yet. Its messages arrive under its real name.
func ByAddress(address string) Name { return Name(addressPrefix + address) }

// Address returns the address of a name made by ByAddress.
func (n Name) Address() (string, bool) {
	return strings.CutPrefix(string(n), addressPrefix)
}

// addressPrefix can't begin a daemon's own name.
const addressPrefix = "@"

// RemoteError is what a peer's handler returned for a Call.
type RemoteError struct{ Message string }

// Error implements error.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Handler handles one message; payload may be kept. For a Call its result is
// the answer. It runs on its own goroutine for calls, and in order per peer
// for one-way messages, which it must not block.
type Handler func(ctx context.Context, from Name, payload []byte) ([]byte, error)

// Transport sends messages to peers by name. It dials when needed, keeps one
// live connection per peer, and redials on a new connection when an old one
// goes silent. Safe for concurrent use.
type Transport interface {
	// Self is this daemon's name.
	Self() Name
	// Handle registers the handler of a type, before the transport starts.
	Handle(t Type, h Handler)
	// Send queues a one-way message. Messages to one peer arrive in order
	// while the connection lives; those in flight when it breaks are lost.
	// onLost in OnDown tells of such a break.
	Send(to Name, t Type, payload []byte) error
	// Call sends a message and waits for its answer until ctx ends.
	Call(ctx context.Context, to Name, t Type, payload []byte) ([]byte, error)
	// SetAddress tells where a peer listens (IP:port); learnt from membership.
	SetAddress(name Name, address string)
	// OnDown registers a function called when the connection to a peer broke
	// or went silent, so that sessions on it are opened again.
	OnDown(f func(name Name))
}
