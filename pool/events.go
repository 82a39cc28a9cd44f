// Package pool implements the scheduler of one pool of backend servers. It owns
// the pool's only queue and the only count of the requests running on each server.
// The scheduler does no I/O: Handle takes an event and the current time, and returns
// the commands that follow. One goroutine at a time may use it.
package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/request"
)

// Policy selects the scheduling policy of a pool.
type Policy string

// The policies. All but PolicyLycheekeel are baselines for comparison.
const (
	PolicyLycheekeel       Policy = "lycheekeel"
	PolicyRoundRobin       Policy = "round-robin"
	PolicyLeastOutstanding Policy = "least-outstanding"
	PolicyFIFO             Policy = "fifo"
)

// EntryID identifies an entry: a daemon that accepts requests from callers and asks
// the pool for slots. It holds the daemon's member name and incarnation, so that a
// restarted daemon is a new entry.
type EntryID string

// GrantID identifies a grant by the epoch of the pool owner and a sequence number.
type GrantID struct {
	Epoch uint64 // random per start of a pool owner, never reused
	Seq   uint64
}

// Event is an input of a pool. Durations are relative to the time of sending,
// because the clocks of VMs differ.
type Event interface{ event() }

// Enqueue asks for a slot. A second Enqueue of a waiting request replaces the first
// and keeps the request's place in the queue.
type Enqueue struct {
	Request   request.ID
	Entry     EntryID
	Workspace string
	Template  string
	Model     string
	Tier      request.Tier
	// Waited is how long the request has already waited at its entry.
	Waited time.Duration
	// FirstTokenIn and DeadlineIn are the time left until the first-token target and
	// until the deadline. A DeadlineIn of zero or less has expired; a FirstTokenIn of
	// zero means no target. PerToken is the target between tokens; zero means none.
	FirstTokenIn time.Duration
	DeadlineIn   time.Duration
	PerToken     time.Duration
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the answer's length; 0 means none.
	ExpectedTokens int
	// Blocks are chained hashes of the prompt's blocks of engine.BlockTokens tokens.
	Blocks []uint64
	// Fingerprint identifies the request's content across retries; 0 means none.
	Fingerprint uint64
	// Parts identify the parts of its prompt that other requests may share.
	Parts []uint64
	// MaxWaiting limits the workspace's waiting requests in the tier; 0 means no limit.
	MaxWaiting int
	// SentTo names the servers that have already been sent the request. The scheduler
	// prefers other servers. Such a request may wait until its deadline, because a
	// refusal could no longer assure the caller that it has not run.
	SentTo []string
	// NoRedirect is set on a request that has already been redirected.
	NoRedirect bool
	// Version, if not empty, is the software version whose servers alone may get the request:
	// it is for the rest of a stream that a server of that version began.
	Version string
}

// Withdraw cancels a waiting request whose caller has left. If a grant is already on
// its way, the entry answers it with Release and OutcomeNotDispatched.
type Withdraw struct {
	Request request.ID
	Entry   EntryID
}

// Progress reports on a running request. It is sent at the first token and then at
// intervals, not per token.
type Progress struct {
	Request request.ID
	Grant   GrantID
	Server  string
	// FirstToken is the time from dispatch to the first token; zero means none yet.
	FirstToken time.Duration
	Tokens     int
	// PerToken is the mean time between tokens since the previous Progress.
	PerToken time.Duration
}

// Outcome tells how a grant ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeDone          Outcome = iota // the whole answer was received
	OutcomeNotDispatched                // the entry returned the grant unused
	OutcomeNotSent                      // the connection failed before anything was sent
	OutcomeRefused                      // the engine reported that it did not run the request
	OutcomeCanceled                     // the caller left and the run was canceled
	OutcomeStreamLost                   // the stream was lost; the run's result is unknown
	OutcomeCrashed                      // the engine restarted and lost its runs
	OutcomeFailed                       // the engine reported a failure
)

// RateLimited reports the requests per second that a server takes from all daemons
// together, as the answer of a grant named it. An answer of which it isn't reported before
// its first Progress or its Release named none. Grant is zero if the entry tells a new
// owner what it heard before.
type RateLimited struct {
	Entry     EntryID
	Grant     GrantID
	Server    string
	PerSecond float64
}

// Reach tells what another daemon found of a server that an entry could not reach.
type Reach uint8

// The values of Reach.
const (
	ReachUnknown      Reach = iota // no other daemon has tried
	ReachedByPeer                  // another daemon reaches the server
	UnreachableByPeer              // a daemon that reaches other servers does not reach it either
)

// Brittle reports that the answer of a grant named its server brittle: it falls over when it
// has to reject more than Rejections requests in a second for want of room. Like RateLimited,
// it comes before the first Progress and the Release. Grant is zero if the entry tells a new
// owner what it heard before.
type Brittle struct {
	Entry      EntryID
	Grant      GrantID
	Server     string
	Rejections int
}

// Leaving reports that a server has announced that it stops. It holds for this incarnation.
type Leaving struct {
	Entry       EntryID
	Server      string
	Incarnation string
}

// Pushback reports that a server has refused a request of an entry and asked it to send nothing
// for some time. It concerns neither other entries nor another incarnation.
type Pushback struct {
	Entry       EntryID
	Server      string
	Incarnation string
	For         time.Duration
}

// Release ends a grant and frees its slot.
type Release struct {
	Request         request.ID
	Entry           EntryID
	Grant           GrantID
	Server          string
	Outcome         Outcome
	FirstToken      time.Duration
	Total           time.Duration
	OutputTokens    int
	PromptTokens    int
	PrefillComputed int
	// RefusedLeaving is set if the engine refused because it is leaving.
	RefusedLeaving bool
	// ServerGone is set if the server's process was found to have ended: its address refuses
	// connections, or is another server's.
	ServerGone bool
	Reach      Reach
}

// Running reports to a new pool owner a run that an earlier owner granted or that the
// entry started without a grant in degraded mode. It is counted before new grants.
type Running struct {
	Entry       EntryID
	Request     request.ID
	Grant       GrantID
	Server      string
	Workspace   string
	Template    string
	Model       string
	Tier        request.Tier
	Fingerprint uint64
	// PromptTokens, MaxTokens, ExpectedTokens and Tokens (generated so far) determine
	// the memory that the run will need.
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	Tokens         int
	Blocks         []uint64
	Parts          []uint64
}

// EntryReported ends the Running reports of an entry after an owner change.
type EntryReported struct{ Entry EntryID }

// EntrySet lists the live entries. An entry that is gone loses its waiting requests
// at once and its running ones after a grace time.
type EntrySet struct {
	Entries []EntryID
	// Zones are the availability zones of the entries; a missing one is unknown.
	Zones map[EntryID]string
}

// EntryEnded reports that an entry's process has ended. Its connections closed with
// it, so its requests neither wait nor run any longer.
type EntryEnded struct{ Entry EntryID }

// ServerInfo is the configuration of a server.
type ServerInfo struct {
	Name             string
	AvailabilityZone string
	Generation       string
	Slots            int
	// Incarnation changes when the server restarts; empty means unknown.
	Incarnation string
	// Version is the version of the server's software; empty means unknown.
	Version string
}

// ServerSet replaces the pool's servers. A removed server gets no new grants; its
// running requests are counted until they are released.
type ServerSet struct {
	Servers []ServerInfo
	// RateShare is the part of each server's limit on requests per second that this pool
	// may use; 0 means all.
	RateShare float64
}

// QueueBound sets the maximum number of waiting requests; 0 means the default. A lower
// limit evicts the excess, lowest tier first.
type QueueBound struct{ MaxWaiting int }

// Health is the state of a server as reported by the pool owner's health monitor.
type Health uint8

// The states of a server. Only servers in HealthUp get grants.
const (
	HealthUp Health = iota
	HealthWarming
	HealthLeaving
	HealthUnresponsive
	HealthGone
)

// ServerHealth reports a server's state. A new Incarnation means that the engine
// restarted and lost its runs and its cache.
type ServerHealth struct {
	Server      string
	Health      Health
	Incarnation uint64
}

// ServerLoad carries an engine's own load report, which may be stale.
type ServerLoad struct {
	Server string
	Report engine.LoadReport
}

// ServerCache carries cache events of a server. Gap means that events were missed.
type ServerCache struct {
	Server string
	Events []engine.CacheEvent
	Gap    bool
}

// Sibling reports the load of another pool that serves the same model.
type Sibling struct {
	Pool string
	// Waiting requests by tier and free slots, as they were Age ago.
	Waiting [request.MaxTiers]int
	Free    int
	Age     time.Duration
	Gone    bool
}

// SuspectState tells whether requests with a fingerprint are suspected of crashing
// servers.
type SuspectState uint8

// The states of a fingerprint.
const (
	SuspectCleared SuspectState = iota
	Suspected
	SuspectConfirmed
)

// String returns the state's name for logs.
func (s SuspectState) String() string {
	switch s {
	case SuspectCleared:
		return "cleared"
	case Suspected:
		return "suspected"
	case SuspectConfirmed:
		return "confirmed"
	default:
		return "unknown"
	}
}

// SuspectShared reports a fingerprint's state that another pool or owner found.
type SuspectShared struct {
	Fingerprint uint64
	State       SuspectState
	ExpiresIn   time.Duration
	// Crashes names the incarnations of servers that have crashed under the fingerprint.
	Crashes []string
	// Trials counts the trials of a confirmed fingerprint. The next one may run in TrialIn.
	Trials  int
	TrialIn time.Duration
	// Part is set for a part of prompts. Scope tells in whose requests it crashes servers.
	Part  bool
	Scope suspect.Scope
}

// NewSuspectShared returns the event that reports a record of a fingerprint.
func NewSuspectShared(fingerprint uint64, x suspect.Record) SuspectShared {
	return SuspectShared{
		Fingerprint: fingerprint, State: SuspectState(x.State), ExpiresIn: x.ExpiresIn,
		Crashes: x.Crashes, Trials: x.Trials, TrialIn: x.TrialIn, Part: x.Part, Scope: x.Scope,
	}
}

// Record returns the reported record.
func (e SuspectShared) Record() suspect.Record {
	return suspect.Record{
		State: suspect.State(e.State), ExpiresIn: e.ExpiresIn, Crashes: e.Crashes, Trials: e.Trials, TrialIn: e.TrialIn, Part: e.Part, Scope: e.Scope,
	}
}

// Tick advances time: it triggers expiry, probes and the comparison of servers.
type Tick struct{}

func (Enqueue) event()       {}
func (Withdraw) event()      {}
func (Progress) event()      {}
func (Release) event()       {}
func (RateLimited) event()   {}
func (Brittle) event()       {}
func (Leaving) event()       {}
func (Pushback) event()      {}
func (Running) event()       {}
func (EntryReported) event() {}
func (EntrySet) event()      {}
func (EntryEnded) event()    {}
func (ServerSet) event()     {}
func (QueueBound) event()    {}
func (ServerHealth) event()  {}
func (ServerLoad) event()    {}
func (ServerCache) event()   {}
func (Sibling) event()       {}
func (SuspectShared) event() {}
func (Tick) event()          {}
