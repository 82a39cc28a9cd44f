package pool

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/pool/limit"
)

// Defaults of Config.
const (
	defaultMaxWaiting = 10000
	defaultSlots      = 16
	defaultSuspectTTL = 10 * time.Minute
	defaultHeadroom   = 0.2
)

// Config is what a pool needs to know at its start. Only MaxWaiting changes
// later, by QueueBound.
type Config struct {
	// Name is the pool's name, Policy how it schedules; empty means
	// PolicyLycheekeel.
	Name   string
	Policy Policy
	// Epoch goes into every GrantID: random per owner start, never reused.
	Epoch uint64
	// MaxWaiting bounds the queue; 0 means a default.
	MaxWaiting int
	// DefaultSlots is the number of slots of a server that names none; 0
	// means a default.
	DefaultSlots int
	// Law is the control law of the servers' limits; empty means the default.
	Law limit.Name
	// SuspectTTL is how long a request stays suspected or convicted of crashing
	// servers; 0 means a default.
	SuspectTTL time.Duration
	// MaxWaitShare is the part of its first-token target, or without one of its
	// deadline, for which a request may wait before it is shed; 0 means the
	// whole deadline. A caller that learns early that there is no room may
	// find some elsewhere or later.
	MaxWaitShare float64
	// ExtendedWaitShare is the same for a request that will have a slot by then, as
	// far as the pace of grants tells; no more than Patience means none.
	ExtendedWaitShare float64
	// KeepStragglers leaves a server in use that has become slow: it is chosen
	// after the others, for what it still serves in time. Without it, such a
	// server gets probes alone.
	KeepStragglers bool
	// SpareFastServers sends a request that is far from its targets on any server to
	// the one with most slots free, not to the fastest.
	SpareFastServers bool
	// ReleaseGrace, where entries end every run at its deadline, is how long after
	// that its release may take; its slot is freed then. 0: runs may go on
	// past their deadlines.
	ReleaseGrace time.Duration
	// Headroom is the largest part of all slots kept free of lower tiers for
	// higher ones; 0 means a default.
	Headroom float64
	// Seed seeds the jitter of RetryAfter; equal seeds and events give equal
	// commands.
	Seed uint64
}

// Validate reports what is wrong with the configuration.
func (c Config) Validate() error {
	switch c.Policy {
	case "", PolicyLycheekeel, PolicyRoundRobin, PolicyLeastOutstanding, PolicyFIFO:
	default:
		return errors.Errorf("pool %q: unknown policy %q", c.Name, c.Policy)
	}
	switch {
	case c.Name == "":
		return errors.New("pool without a name")
	case c.MaxWaiting < 0 || c.DefaultSlots < 0 || c.SuspectTTL < 0 || c.ReleaseGrace < 0:
		return errors.Errorf("pool %q: a bound is negative", c.Name)
	case c.Headroom < 0 || c.Headroom > 1:
		return errors.Errorf("pool %q: headroom %v is no share", c.Name, c.Headroom)
	case c.MaxWaitShare < 0 || c.MaxWaitShare > 1 || c.ExtendedWaitShare < 0 || c.ExtendedWaitShare > 1:
		return errors.Errorf("pool %q: patience %v or %v is no share", c.Name, c.MaxWaitShare, c.ExtendedWaitShare)
	case !c.Law.Valid():
		return errors.Errorf("pool %q: unknown control law %q", c.Name, c.Law)
	}
	return nil
}

// withDefaults fills the fields that were left zero.
func (c Config) withDefaults() Config {
	if c.Policy == "" {
		c.Policy = PolicyLycheekeel
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.DefaultSlots == 0 {
		c.DefaultSlots = defaultSlots
	}
	if c.Headroom == 0 {
		c.Headroom = defaultHeadroom
	}
	if c.SuspectTTL == 0 {
		c.SuspectTTL = defaultSuspectTTL
	}
	return c
}

func (c Config) newRand() *rand.Rand { return rand.New(rand.NewPCG(c.Seed, c.Epoch)) }
