// Package poolwire holds the messages between an entry and a pool's owner,
// and their protobuf encoding. Decoding checks every field, so that a faulty
// or newer peer can't put a value into a pool that the pool does not expect.
package poolwire

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// SessionID names one session of an entry with a pool's owner. It is random
// and never reused.
type SessionID uint64

// Hello opens a session in place of the entry's earlier one with the owner,
// or closes it.
type Hello struct {
	Pool    string
	Entry   pool.EntryID
	Session SessionID
	Close   bool
}

// Events is a batch from an entry to an owner. A batch with events has the
// next Seq of its session; one without (a heartbeat) repeats the last, so that
// a loss at the end is noticed too. Seq zero is outside the order: an answer
// to a grant of a session that the entry has given up.
type Events struct {
	Pool    string
	Entry   pool.EntryID
	Session SessionID
	Seq     uint64
	// Ack is the last Seq received from the owner in this session.
	Ack    uint64
	Events []pool.Event
	// NextWithin is within how long the entry speaks again, in milliseconds on the
	// wire; zero from an entry that does not tell.
	NextWithin time.Duration
}

// SessionStatus is what an owner says of a session.
type SessionStatus uint8

// The verdicts.
const (
	SessionUnchanged SessionStatus = iota
	SessionAccepted                // the session is open
	SessionNotOwner                // ask the pool's owner, as membership has it now
	SessionReset                   // a batch is missing: open a new session
)

// Commands is a batch from an owner to an entry, numbered like Events.
type Commands struct {
	Pool    string
	Session SessionID
	Seq     uint64
	// Ack is the last Seq received from the entry in this session.
	Ack    uint64
	Epoch  uint64
	Status SessionStatus
	// Brief tells how the pool stands; nil where nothing new is to tell.
	Brief    *Brief
	Commands []pool.Command
	// NextWithin is within how long the owner speaks again, as in Events.
	NextWithin time.Duration
}

// Brief is a pool's standing as sibling pools and entries need it.
type Brief struct {
	Pool         string
	Waiting      [request.MaxTiers]int
	Free         int
	ExpectedWait [request.MaxTiers]time.Duration
}

// BriefOf shortens a summary.
func BriefOf(s pool.Summary) Brief {
	return Brief{Pool: s.Pool, Waiting: s.Waiting, Free: s.Free, ExpectedWait: s.ExpectedWait}
}
