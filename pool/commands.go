package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Command is an output of a pool, for its owner to carry out.
type Command interface{ command() }

// Grant assigns a slot on a server to a waiting request. The entry answers every grant
// with a Release.
type Grant struct {
	Request request.ID
	Entry   EntryID
	Grant   GrantID
	Server  string
}

// Shed ends a waiting request that this owner has not granted.
type Shed struct {
	Request    request.ID
	Entry      EntryID
	Reason     request.Reason
	RetryAfter time.Duration
}

// Redirect sends a waiting request to a sibling pool that has a free slot or a waiting
// request of a lower tier.
type Redirect struct {
	Request request.ID
	Entry   EntryID
	Pool    string
}

// ShareSuspect announces what is known of a fingerprint to all other pools.
type ShareSuspect SuspectShared

// BreakerChanged reports that a server's circuit breaker opened or closed. It is only
// logged.
type BreakerChanged struct {
	Server string
	Open   bool
}

// ServerPaused reports that a server gets no grants for a while, since an entry could not
// reach it or it has refused a request. It is only logged.
type ServerPaused struct {
	Server string
	Entry  EntryID
	For    time.Duration
	// Refused is set if the server has refused a request, EntryOnly if it has asked the entry
	// to send nothing for that time, which concerns no other entry.
	Refused, EntryOnly bool
}

// ServerCrashed reports that a server crashed while it ran requests. Contents counts their
// different contents, Parts the parts of prompts for which the crash counts. It is only logged.
type ServerCrashed struct {
	Server          string
	Contents, Parts int
}

// ServerRateChanged reports that a server has named another limit on its requests per
// second; 0 means none. It is only logged.
type ServerRateChanged struct {
	Server    string
	PerSecond float64
}

// BrittleChanged reports that a server has begun or ceased to be brittle. It is only logged.
type BrittleChanged struct {
	Server     string
	Brittle    bool
	Rejections int // per second that it bears
}

// ServerLeaves reports that a server has announced in an answer that it stops. It is only
// logged.
type ServerLeaves struct {
	Server string
	Entry  EntryID // that reported it
}

// Expired reports the state in which a request reached its deadline in the queue. It is
// only logged.
type Expired struct {
	Request request.ID
	Entry   EntryID
	Tier    request.Tier
	Class   string        // its class in the queue
	Waited  time.Duration // in this pool
	// Length is the expected length of its answer, in tokens, and LengthKnown whether it
	// was measured. PerToken is the shortest time per token of all servers.
	Length      int
	LengthKnown bool
	PerToken    time.Duration
	Bypassed    int // how often a request with a warm prefix was granted first
}

func (Grant) command()             {}
func (Shed) command()              {}
func (Redirect) command()          {}
func (ShareSuspect) command()      {}
func (BreakerChanged) command()    {}
func (ServerPaused) command()      {}
func (ServerCrashed) command()     {}
func (ServerRateChanged) command() {}
func (BrittleChanged) command()    {}
func (ServerLeaves) command()      {}
func (Expired) command()           {}
