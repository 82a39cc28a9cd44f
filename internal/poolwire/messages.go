// Package poolwire defines the messages between an entry and a pool's owner and
// their protobuf encoding. Decoders check every field, so that a faulty or newer
// peer can't pass a value to a pool that the pool does not expect.
package poolwire

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// SessionID identifies a session of an entry with a pool's owner. It is random
// and never reused.
type SessionID uint64

// Hello opens a session, which replaces the entry's earlier one with the owner,
// or closes a session.
type Hello struct {
	Pool    string
	Entry   pool.EntryID
	Session SessionID
	Close   bool
}

// Events is a batch from an entry to an owner. A batch with events has the next
// Seq of its session. A heartbeat, which has no events, repeats the last Seq, so
// that the loss of the last batch is detected too. A batch with events and Seq
// zero is outside the sequence: it returns grants of a session that the entry
// has closed.
type Events struct {
	Pool    string
	Entry   pool.EntryID
	Session SessionID
	Seq     uint64
	// Ack is the last Seq received from the owner in this session.
	Ack    uint64
	Events []pool.Event
	// NextWithin is the announced interval: the entry sends its next message
	// within this time. It is in milliseconds on the wire; zero announces nothing.
	NextWithin time.Duration
}

// SessionStatus tells an entry the state of its session.
type SessionStatus uint8

// Session states.
const (
	SessionUnchanged SessionStatus = iota
	SessionAccepted                // the session is open
	SessionNotOwner                // find the pool's owner in the current membership
	SessionReset                   // a batch is missing or the session is unknown: open a new one
)

// Commands is a batch from an owner to an entry, with sequence numbers as in Events.
type Commands struct {
	Pool    string
	Session SessionID
	Seq     uint64
	// Ack is the last Seq received from the entry in this session.
	Ack    uint64
	Epoch  uint64
	Status SessionStatus
	// Brief is the pool's current brief; nil if the entry needs none now.
	Brief    *Brief
	Commands []pool.Command
	// NextWithin is the owner's announced interval, as in Events.
	NextWithin time.Duration
}

// Brief is the part of a pool's summary that entries and sibling pools need.
// Waiting and ExpectedWait are by tier.
type Brief struct {
	Pool         string
	Waiting      [request.MaxTiers]int
	Free         int
	ExpectedWait [request.MaxTiers]time.Duration
}

// BriefOf returns the brief of a summary.
func BriefOf(s pool.Summary) Brief {
	return Brief{Pool: s.Pool, Waiting: s.Waiting, Free: s.Free, ExpectedWait: s.ExpectedWait}
}
