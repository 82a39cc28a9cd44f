// Package poolhost runs the pools that this daemon owns. It passes events from
// the entries' sessions and from the monitor of the backend servers to each
// pool's scheduler, and sends the scheduler's commands to the entries.
package poolhost

import (
	"context"
	"net"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Intervals and timeouts of the host. Daemons of different versions may use
// different values as long as MinHeartbeatInterval is well below SilenceTimeout.
const (
	// TickInterval is how often Run calls Tick.
	TickInterval = 25 * time.Millisecond
	// MinHeartbeatInterval is how often each side of a busy session sends a
	// heartbeat, and the shortest interval of an idle one.
	MinHeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout ends a session after so long without a message from the
	// other side, where that side sends heartbeats every MinHeartbeatInterval.
	SilenceTimeout = 1600 * time.Millisecond
	// ProbeInterval is the average time between two load reports requested from
	// a server that is up. A request that fails at a server brings its next
	// probe forward. The interval is short enough that a leaving engine gets no
	// new requests after 3 s.
	ProbeInterval = 2500 * time.Millisecond
	// unhealthyProbeInterval is the probe interval of a server that is not up.
	// probeRetryDelay is the delay after a first missed probe.
	unhealthyProbeInterval = 500 * time.Millisecond
	probeRetryDelay        = 250 * time.Millisecond
	// probeJitter spreads the probes of a pool's servers over time.
	probeJitter = ProbeInterval / 5
	// probesPerCachePoll is the number of answered probes per poll of cache events.
	probesPerCachePoll = 2
	// probeTimeout limits the duration of one probe.
	probeTimeout = 450 * time.Millisecond
	// maxProbeMisses is the number of consecutive missed probes after which a
	// server is unresponsive.
	maxProbeMisses = 3
	// unconfirmedGrantTTL is how long a grant still occupies a slot after its
	// entry's session ended, unless the entry reports in a new session that it
	// runs the request.
	unconfirmedGrantTTL = 30 * time.Second
	// drainTimeout is how long a pool that was given up still serves entries
	// that have not moved to its new owner.
	drainTimeout = 2 * time.Second
	// absentEntryTTL is how long an entry without an open session or a live
	// member is still in the entry set.
	absentEntryTTL = 2 * time.Second
	// defaultSlots is the number of slots of a server whose configuration names none.
	defaultSlots = 16
	// entryCheckInterval is the interval between two updates of the entry set.
	entryCheckInterval = 250 * time.Millisecond
	// SummaryInterval is the interval at which a pool's summary is refreshed and
	// its brief is sent to the owners of sibling pools.
	SummaryInterval = 500 * time.Millisecond
	// unchangedBriefInterval is the interval at which an unchanged brief is sent
	// again. Schedulers ignore a brief that is older than 2 s.
	unchangedBriefInterval = 1500 * time.Millisecond
)

// DegradedAfter is the default of Config.DegradedAfter. Entries usually find
// another owner within this time.
const DegradedAfter = 1500 * time.Millisecond

// Scheduler is the part of pool.Pool that a host uses.
type Scheduler interface {
	Handle(now time.Time, ev pool.Event, out []pool.Command) []pool.Command
	Summary(now time.Time) pool.Summary
}

// Config configures a Host. Zero fields take the defaults named below.
type Config struct {
	// Self is this daemon's member name. Region is its region.
	Self   string
	Region string
	// Snapshot holds the current configuration.
	Snapshot *workspace.CurrentSnapshot
	// View holds the current membership. Nil means that this daemon is the only
	// one and owns every pool.
	View *member.CurrentView
	// Transport sends messages to the other daemons; nil for a single daemon.
	Transport peer.Transport
	// Engines dials model engines for load reports and cache events. If it is
	// nil, engines are not probed and count as up.
	Engines engine.Dialer
	// DegradedAfter is how long an entry waits for an unreachable owner before
	// it serves waiting requests on its static share of the slots. The default
	// is the constant DegradedAfter.
	DegradedAfter time.Duration
	// DisableProbes turns probing off. The health of servers is then known from
	// the configuration and from the outcomes of requests only.
	DisableProbes bool
	// Connect probes a server of a plain service. The default opens a TCP connection.
	Connect func(ctx context.Context, address string) error
	// IsLeaving reports that a server is leaving according to another source,
	// such as the VM list. The default always returns false.
	IsLeaving func(s workspace.BackendServer) bool
	// ConfirmAfterCrashes is that of the pools (pool.Config), if NewScheduler sets it.
	ConfirmAfterCrashes int
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
	// Spawn runs a function on a new goroutine by default. Tests may run it
	// inline. A panic of a scheduler ends the process, because the scheduler's
	// counts can't be trusted any more; the entries move to another owner.
	Spawn func(func())
	// HeartbeatInterval returns the heartbeat interval of idle sessions. The
	// default is the function HeartbeatInterval.
	HeartbeatInterval func(sessions int) time.Duration
	// Traits returns a pool's current traits. It is called before NewScheduler when a pool or
	// a static share starts, and on each tick; changes are passed to the scheduler. It must be
	// fast. The default returns none.
	Traits func(p *workspace.ResolvedPool) pool.Traits
	// NewScheduler returns a pool's scheduler, which must start with the traits that Traits
	// returns. The default calls pool.New.
	NewScheduler func(p *workspace.ResolvedPool, epoch uint64) Scheduler
	// Trace is called with every event that a pool handles and the resulting
	// commands, in order. It must not keep the slice of commands.
	Trace func(pool string, now time.Time, ev pool.Event, cmds []pool.Command)
	// Metrics holds the counters. The default is a new registry.
	Metrics *metrics.Registry
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Spawn == nil {
		c.Spawn = func(f func()) { go f() }
	}
	if c.DegradedAfter == 0 {
		c.DegradedAfter = DegradedAfter
	}
	if c.Connect == nil {
		c.Connect = connectTCP
	}
	if c.Traits == nil {
		c.Traits = func(*workspace.ResolvedPool) pool.Traits { return pool.Traits{} }
	}
	if c.NewScheduler == nil {
		c.NewScheduler = c.newPool
	}
	if c.HeartbeatInterval == nil {
		c.HeartbeatInterval = HeartbeatInterval
	}
	if c.Metrics == nil {
		c.Metrics = metrics.New()
	}
	if c.IsLeaving == nil {
		c.IsLeaving = func(workspace.BackendServer) bool { return false }
	}
	return c
}

func (c Config) newPool(p *workspace.ResolvedPool, epoch uint64) Scheduler {
	return pool.New(pool.Config{
		Name: p.Name, Policy: pool.Policy(p.Policy), Epoch: epoch, MaxWaiting: p.MaxWaiting,
		DefaultSlots: defaultSlots, Seed: epoch, Traits: c.Traits(p),
	})
}

func connectTCP(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}
