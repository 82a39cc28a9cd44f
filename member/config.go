package member

import (
	"time"

	"github.com/pkg/errors"
)

// Config says who this daemon is and how membership is timed. Zero values
// take the defaults.
type Config struct {
	// Self is this daemon's record. Its Incarnation is the wall clock's
	// milliseconds at the start: there is no disk to count starts on, and a
	// clock that went back is noticed when gossip knows a larger incarnation,
	// which is then exceeded.
	Self Member
	// Seeds are addresses (IP:port) to ask for members, this daemon's own too.
	Seeds []string

	// ProbeInterval is the time between two probes. Default 500 ms.
	ProbeInterval time.Duration
	// DirectTimeout is how long a probe may take before others are asked to
	// probe the member too. Default 400 ms.
	DirectTimeout time.Duration
	// ProbeTimeout ends a probe, its indirect part included. Default 1 s.
	ProbeTimeout time.Duration
	// SuspicionMin is how long a member stays suspected when others agree,
	// SuspicionMax when nobody does. Default 1 s and 6 s.
	SuspicionMin, SuspicionMax time.Duration
	// Tombstone is how long a dead member is remembered. Default 1 h.
	Tombstone time.Duration
	// PauseGap between two ticks means that this process did not run.
	// Default 1 s.
	PauseGap time.Duration
}

// TickInterval is how often Machine.Tick is to be called.
const TickInterval = 100 * time.Millisecond

// Bounds that make the cost of a member constant, however many there are.
const (
	// probeRingCount is how many members one member probes at regular intervals, and
	// by how many it is probed.
	probeRingCount = 6
	// indirectProbeCount are asked to probe a member that did not answer.
	indirectProbeCount = 3
	// probesPerSync is how many probe intervals lie between two comparisons of
	// the whole view with a random member.
	probesPerSync = 20
	// probesPerStartupSync takes its place in the first startupPeriod of a member, which
	// was told of its own region only.
	probesPerStartupSync = 3
	// maxUpdatesPerMessage bounds the news on one message.
	maxUpdatesPerMessage = 6
	// retransmitMultiplier times log10(members) is how often each member passes one
	// piece of news on; what is missed all the same, comparing views brings.
	retransmitMultiplier = 4
	// pushFanout is how many members are told fresh news at once.
	pushFanout = 2
	// maxVerifyProbes bounds the probes that verify other members' suspicions.
	maxVerifyProbes = 8
	// maxRelays bounds the probes done for others.
	maxRelays = 64
	// suspicionConfirmations shorten a suspicion to SuspicionMin.
	suspicionConfirmations = 2
	// maxLocalHealth bounds how much slower a member judges that hears nothing.
	maxLocalHealth = 3
	// maxRecordsPerMessage bounds a message of a view's comparison.
	maxRecordsPerMessage = 200
)

// startupPeriod is how long a member compares views more often after its start.
const startupPeriod = 15 * time.Second

// joinRetryInterval is how often a member that knows nobody asks a seed.
const joinRetryInterval = 500 * time.Millisecond

// seedContactInterval is how often a seed that is not among the members is asked.
const seedContactInterval = 3 * time.Second

// reprobeInterval is how often a suspected member is probed again, so that it
// learns of the suspicion.
const reprobeInterval = 400 * time.Millisecond

// withDefaults checks the configuration and fills in the defaults.
func (c Config) withDefaults() (Config, error) {
	if c.Self.Name == "" || c.Self.Address == "" || c.Self.Region == "" {
		return c, errors.New("member: name, address and region must be set")
	}
	if c.Self.Incarnation == 0 {
		return c, errors.New("member: incarnation must be set")
	}
	for p, d := range map[*time.Duration]time.Duration{
		&c.ProbeInterval: 500 * time.Millisecond,
		&c.DirectTimeout: 400 * time.Millisecond,
		&c.ProbeTimeout:  time.Second,
		&c.SuspicionMin:  time.Second,
		&c.SuspicionMax:  6 * time.Second,
		&c.Tombstone:     time.Hour,
		&c.PauseGap:      time.Second,
	} {
		if *p == 0 {
			*p = d
		}
	}
	return c, nil
}
