// Package poolhost runs the pools that this daemon owns now: it feeds each
// pool's scheduler from the entries' sessions and from its own monitor of the
// pool's backend servers, and takes the scheduler's commands to the entries.
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

// The host's times. Entries and owners of mixed versions must agree on none
// of them exactly; each only needs MinHeartbeatInterval well below SilenceTimeout.
const (
	// TickInterval is how often Run lets time pass in the pools.
	TickInterval = 25 * time.Millisecond
	// MinHeartbeatInterval is how often either side of a session says that it lives.
	MinHeartbeatInterval = 500 * time.Millisecond
	// SilenceTimeout is how long a session's other side may say nothing.
	SilenceTimeout = 1600 * time.Millisecond
	// ProbeInterval is how often, on average, a backend server's load report is
	// asked for while it is up. What fails at a server is noticed sooner by our
	// own requests, whose bad outcomes bring the next probe forward; the bound
	// is that a leaving engine gets no new work after three seconds.
	ProbeInterval = 2500 * time.Millisecond
	// unhealthyProbeInterval is how often a server is asked that is not up, and probeRetryDelay
	// how soon after a first miss.
	unhealthyProbeInterval = 500 * time.Millisecond
	probeRetryDelay        = 250 * time.Millisecond
	// probeJitter keeps the probes of a pool's servers apart.
	probeJitter = ProbeInterval / 5
	// probesPerCachePoll is after how many probes cache events are asked for.
	probesPerCachePoll = 2
	// probeTimeout bounds one probe.
	probeTimeout = 450 * time.Millisecond
	// maxProbeMisses is how many probes in a row without an answer make a
	// server silent.
	maxProbeMisses = 3
	// unconfirmedGrantTTL is how long a grant is counted whose entry's session
	// ended before the entry told that it runs it.
	unconfirmedGrantTTL = 30 * time.Second
	// drainTimeout is how long a pool that was given up is served on for the
	// entries that have not moved to its new owner.
	drainTimeout = 2 * time.Second
	// absentEntryTTL is how long an entry without a live member or session is
	// still counted among the entries.
	absentEntryTTL = 2 * time.Second
	// defaultSlots is the number of slots of a server that names none.
	defaultSlots = 16
	// entryCheckInterval is how often it is checked which entries are still there.
	entryCheckInterval = 250 * time.Millisecond
	// SummaryInterval is how often sibling pools' owners are told how a pool stands.
	SummaryInterval = 500 * time.Millisecond
	// unchangedBriefInterval is how often they are told the same again. A scheduler
	// goes by no report older than 2 s.
	unchangedBriefInterval = 1500 * time.Millisecond
)

// DegradedAfter is the default of Config.DegradedAfter: another owner is usually
// found by then.
const DegradedAfter = 1500 * time.Millisecond

// Scheduler is what a host needs of a pool.Pool.
type Scheduler interface {
	Handle(now time.Time, ev pool.Event, out []pool.Command) []pool.Command
	Summary(now time.Time) pool.Summary
}

// Config is what a host needs. Zero fields have the defaults named below.
type Config struct {
	// Self is this daemon's member name, Region its region.
	Self   string
	Region string
	// Snapshots is the configuration in force.
	Snapshots *workspace.CurrentSnapshot
	// View is the membership in force; nil where this daemon is alone and
	// owns every pool.
	View *member.CurrentView
	// Transport reaches the other daemons; nil where this daemon is alone.
	Transport peer.Transport
	// Engines dials model engines for load reports and cache events; nil:
	// servers are not monitored and count as up.
	Engines engine.Dialer
	// DegradedAfter is how long a pool's owner may be out of reach before an entry
	// serves waiting requests on its own share of the slots; the default is
	// DegradedAfter.
	DegradedAfter time.Duration
	// DisableProbes servers are not probed: what the configuration and the
	// requests show of them is all that is known.
	DisableProbes bool
	// Connect probes a plain service's server; the default connects by TCP.
	Connect func(ctx context.Context, address string) error
	// IsLeaving tells from elsewhere, e.g. the VM list, that a server leaves.
	IsLeaving func(s workspace.BackendServer) bool
	// Now is the clock; the default is time.Now.
	Now func() time.Time
	// Spawn starts a goroutine, which is the default; a test may run inline.
	// A panic in a scheduler ends the process: its counts can't be trusted,
	// and the entries go on at another owner.
	Spawn func(func())
	// HeartbeatInterval tells the interval of idle sessions' heartbeats; the default
	// is HeartbeatInterval.
	HeartbeatInterval func(sessions int) time.Duration
	// NewScheduler makes a pool's scheduler; the default is pool.New.
	NewScheduler func(p *workspace.ResolvedPool, epoch uint64) Scheduler
	// Trace sees every event that a pool handles, and the commands that
	// follow, in their order. It must not keep the commands' slice.
	Trace func(pool string, now time.Time, ev pool.Event, cmds []pool.Command)
	// Metrics gets the counters; the default is a registry of its own.
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
	if c.NewScheduler == nil {
		c.NewScheduler = newPool
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

func newPool(p *workspace.ResolvedPool, epoch uint64) Scheduler {
	return pool.New(pool.Config{
		Name: p.Name, Policy: pool.Policy(p.Policy), Epoch: epoch, MaxWaiting: p.MaxWaiting,
		DefaultSlots: defaultSlots, Seed: epoch,
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
