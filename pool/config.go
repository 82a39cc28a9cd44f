package pool

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
)

// Defaults of Config.
const (
	defaultMaxWaiting = 10000
	defaultSlots      = 16
	defaultSuspectTTL = 10 * time.Minute
	defaultHeadroom   = 0.2
)

// Config configures a pool. Only MaxWaiting and Traits can change later, by QueueBound and
// TraitsSet.
type Config struct {
	// Name is the pool's name. Policy is its scheduling policy; empty means
	// PolicyLycheekeel.
	Name   string
	Policy Policy
	// Epoch is part of every GrantID. It is random per start of a pool owner and never
	// reused.
	Epoch uint64
	// MaxWaiting limits the number of waiting requests; 0 means a default.
	MaxWaiting int
	// DefaultSlots is the number of slots of a server whose configuration has none; 0
	// means a default.
	DefaultSlots int
	// LimitAlgorithm is the algorithm that sets the servers' concurrency limits; empty
	// means the default.
	LimitAlgorithm limit.Name
	// SuspectTTL is how long a request stays suspected or confirmed to crash servers; 0
	// means a default.
	SuspectTTL time.Duration
	// ConfirmAfterCrashes is the number of servers that crash under a content, without a
	// finished run of it in between, after which it is confirmed to crash servers. 0 means
	// that a suspected content runs alone, and is confirmed by one crash.
	ConfirmAfterCrashes int
	// MaxWaitShare is the share of its first-token target, or of its deadline if it has
	// no such target, that a request may wait before it is shed; 0 means the whole
	// deadline. An early refusal leaves the caller time to try elsewhere or later.
	MaxWaitShare float64
	// ExtendedWaitShare is the same for a request that is expected to get a slot by
	// then, at the current grant rate. It has no effect unless it exceeds MaxWaitShare.
	ExtendedWaitShare float64
	// KeepStragglers keeps sending requests to a server that has become slow. Such a
	// server ranks behind the others and gets the requests that it can still serve in
	// time. Otherwise a straggler only gets probes.
	KeepStragglers bool
	// SpareFastServers sends a request that is far from its targets to the least loaded
	// server instead of the fastest.
	SpareFastServers bool
	// ReleaseGrace is how long a release may take after a run's deadline, if entries end
	// every run at its deadline; then the slot is freed. 0 means that runs may continue
	// after their deadlines.
	ReleaseGrace time.Duration
	// Headroom is the largest share of all slots that is reserved for higher tiers; 0
	// means a default.
	Headroom float64
	// Traits are those of the pool's service.
	Traits Traits
	// Seed seeds the jitter of RetryAfter. The same seed and events produce the same
	// commands.
	Seed uint64
}

// Validate reports the first error in the configuration.
func (c Config) Validate() error {
	switch c.Policy {
	case "", PolicyLycheekeel, PolicyRoundRobin, PolicyLeastOutstanding, PolicyFIFO:
	default:
		return errors.Errorf("pool %q: unknown policy %q", c.Name, c.Policy)
	}
	switch {
	case c.Name == "":
		return errors.New("pool has no name")
	case c.MaxWaiting < 0 || c.DefaultSlots < 0 || c.SuspectTTL < 0 || c.ReleaseGrace < 0 || c.ConfirmAfterCrashes < 0:
		return errors.Errorf("pool %q: max waiting, default slots, suspect TTL, release grace or crashes is negative", c.Name)
	case c.Headroom < 0 || c.Headroom > 1:
		return errors.Errorf("pool %q: headroom %v is not between 0 and 1", c.Name, c.Headroom)
	case c.MaxWaitShare < 0 || c.MaxWaitShare > 1 || c.ExtendedWaitShare < 0 || c.ExtendedWaitShare > 1:
		return errors.Errorf("pool %q: max wait share %v or extended wait share %v is not between 0 and 1", c.Name, c.MaxWaitShare, c.ExtendedWaitShare)
	case !c.LimitAlgorithm.Valid():
		return errors.Errorf("pool %q: unknown limit algorithm %q", c.Name, c.LimitAlgorithm)
	}
	return nil
}

// withDefaults returns c with defaults for the fields that are zero.
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

// confirmFinishedAfter is how many servers crash, one after the other, under a part of prompts
// that was in finished answers before, until it is confirmed.
const confirmFinishedAfter = 5

func (c Config) suspectRules() suspect.Rules {
	return suspect.Rules{Retention: c.SuspectTTL, ConfirmAfter: c.ConfirmAfterCrashes, ConfirmFinishedAfter: confirmFinishedAfter}
}
