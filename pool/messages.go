// Package pool is the scheduler of one pool: the one queue and the one count
// of what runs where. It is a pure aggregate: events go in, commands come out,
// the clock is injected, and one goroutine at a time uses it.
package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// Policy names how a pool schedules.
type Policy string

// The policies. All but PolicyLycheekeel are plain baselines to compare with.
const (
	PolicyLycheekeel       Policy = "lycheekeel"
	PolicyRoundRobin       Policy = "round-robin"
	PolicyLeastOutstanding Policy = "least-outstanding"
	PolicyFIFO             Policy = "fifo"
)

// EntryID names the entry (daemon) that holds a request: its member name with
// its incarnation, so that a restarted daemon is another entry.
type EntryID string

// GrantID identifies a grant: the owner's epoch and a sequence in it.
type GrantID struct {
	Epoch uint64 // random per pool-owner start, never reused
	Seq   uint64
}

// Event is what a pool is told. Durations are relative to the moment of
// sending, because clocks of different VMs do not agree.
type Event interface{ event() }

// Enqueue asks for a slot. A second Enqueue of a request that waits already
// replaces it and keeps its place.
type Enqueue struct {
	Request   request.ID
	Entry     EntryID
	Workspace string
	Template  string
	Model     string
	Tier      request.Tier
	// Waited is how long the request has waited at its entry already.
	Waited time.Duration
	// FirstTokenIn and DeadlineIn are what is left of its targets; zero or
	// negative DeadlineIn has expired. PerToken is the target between tokens.
	FirstTokenIn time.Duration
	DeadlineIn   time.Duration
	PerToken     time.Duration
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's own estimate of its answer; 0: none.
	ExpectedTokens int
	Blocks         []uint64
	Fingerprint    uint64
	// MaxWaiting bounds the workspace's waiting requests in the tier; 0: none.
	MaxWaiting int
	// SentTo are the servers that the request was sent to before. It goes to
	// another one, and waits up to its deadline where there are some: no
	// refusal could tell any more that it was not run.
	SentTo []string
	// NoRedirect is set on a request that was redirected once already.
	NoRedirect bool
}

// Withdraw takes a waiting request back (its caller left), or a grant that
// may be under way: the entry answers such a grant with Release{NotDispatched}.
type Withdraw struct {
	Request request.ID
	Entry   EntryID
}

// Progress tells how a running request does. Sent at the first token and then
// at intervals, not per token.
type Progress struct {
	Request request.ID
	Grant   GrantID
	Server  string
	// FirstToken is the time from dispatch to first token; zero: none yet.
	FirstToken time.Duration
	Tokens     int
	// PerToken is the mean time between tokens since the last Progress.
	PerToken time.Duration
}

// Outcome is how a dispatched (or not dispatched) grant ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeDone          Outcome = iota // whole answer
	OutcomeNotDispatched                // grant returned unused
	OutcomeNotSent                      // connect failed, nothing left
	OutcomeRefused                      // engine said it did not run it
	OutcomeCanceled                     // caller left, run cancelled
	OutcomeStreamLost                   // stream lost, run's fate unknown
	OutcomeCrashed                      // engine lost its runs (restart seen)
	OutcomeFailed                       // engine reported a failure
)

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
	// RefusedLeaving is set where the engine refused because it is leaving.
	RefusedLeaving bool
}

// Running tells a new owner what an entry still runs on a server, granted by
// an earlier owner or in degraded mode; it is counted before new grants.
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
	// PromptTokens, MaxTokens, ExpectedTokens and Tokens (so far) size what it
	// still needs.
	PromptTokens   int
	MaxTokens      int
	ExpectedTokens int
	Tokens         int
	Blocks         []uint64
}

// EntryReported ends an entry's Running reports after an owner change.
type EntryReported struct{ Entry EntryID }

// EntrySet tells which entries are alive; those that left lose their waiting
// requests and, after a grace time, their running ones.
type EntrySet struct{ Entries []EntryID }

// EntryEnded tells that an entry's process has ended. Its connections closed
// with it, so its requests wait and run no more.
type EntryEnded struct{ Entry EntryID }

// ServerInfo is what configuration says of a server.
type ServerInfo struct {
	Name             string
	AvailabilityZone string
	Generation       string
	Slots            int
	// Incarnation changes when the server starts again; empty: unknown.
	Incarnation string
}

// ServerSet replaces the pool's servers. One that is gone gets no new grant;
// its running requests are counted until released.
type ServerSet struct{ Servers []ServerInfo }

// QueueBound changes how many requests may wait; 0 means the default. A lower
// bound evicts what waits above it, lowest tier first.
type QueueBound struct{ MaxWaiting int }

// Health is a server's state as its owner's monitor sees it.
type Health uint8

// The states of a server. Only Up servers get grants.
const (
	HealthUp Health = iota
	HealthWarming
	HealthLeaving
	HealthUnresponsive
	HealthGone
)

// ServerHealth tells a server's state. A new Incarnation means that the
// engine restarted and lost what it ran and cached.
type ServerHealth struct {
	Server      string
	Health      Health
	Incarnation uint64
}

// ServerLoad is an engine's own stale load report.
type ServerLoad struct {
	Server string
	Report engine.LoadReport
}

// ServerCache carries cache events; Gap tells that events were missed.
type ServerCache struct {
	Server string
	Events []engine.CacheEvent
	Gap    bool
}

// Sibling tells how another pool of the same model stands.
type Sibling struct {
	Pool string
	// Waiting by tier and free slots, as of Age ago.
	Waiting [request.MaxTiers]int
	Free    int
	Age     time.Duration
	Gone    bool
}

// SuspectState is what is known of a fingerprint.
type SuspectState uint8

// The states of a fingerprint.
const (
	SuspectCleared SuspectState = iota
	Suspected
	SuspectConfirmed
)

// SuspectShared tells of a fingerprint learnt by another pool or owner.
type SuspectShared struct {
	Fingerprint uint64
	State       SuspectState
	ExpiresIn   time.Duration
}

// Tick lets time pass: expiry, probes, limits.
type Tick struct{}

func (Enqueue) event()       {}
func (Withdraw) event()      {}
func (Progress) event()      {}
func (Release) event()       {}
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

// Command is what a pool wants done.
type Command interface{ command() }

// Grant gives a waiting request a slot on a server. The entry answers it with
// Release, whatever happens.
type Grant struct {
	Request request.ID
	Entry   EntryID
	Grant   GrantID
	Server  string
}

// Shed ends a waiting request; it certainly was not granted by this owner.
type Shed struct {
	Request    request.ID
	Entry      EntryID
	Reason     request.Reason
	RetryAfter time.Duration
}

// Redirect sends a waiting request to a sibling pool, where a lower tier
// waits or a slot is free.
type Redirect struct {
	Request request.ID
	Entry   EntryID
	Pool    string
}

// ShareSuspect tells every other pool of a fingerprint's state.
type ShareSuspect struct {
	Fingerprint uint64
	State       SuspectState
	ExpiresIn   time.Duration
}

// BreakerChanged tells that a server counts as down, since its connections break, or
// that it answers again. It is for the log.
type BreakerChanged struct {
	Server string
	Open   bool
}

func (Grant) command()          {}
func (Shed) command()           {}
func (Redirect) command()       {}
func (ShareSuspect) command()   {}
func (BreakerChanged) command() {}

// Summary is a pool's standing, for siblings, entries and placement.
type Summary struct {
	Pool    string
	Waiting [request.MaxTiers]int
	Running int
	Free    int
	// LostRuns is how many runs were freed, ever, that nobody released.
	LostRuns int
	// Tally is what became of the requests of each tier. It does not travel.
	Tally Tally
	// ExpectedWait is the estimated wait of a new request of each tier.
	ExpectedWait [request.MaxTiers]time.Duration
	Servers      []ServerSummary
}

// ServerSummary is one server's standing in a Summary.
type ServerSummary struct {
	Name      string
	Health    Health
	Running   int
	Limit     int
	Straggler bool
}
