package member

import (
	"time"

	"github.com/pkg/errors"
)

// Config holds this daemon's identity and the protocol's timing. Zero durations take
// their defaults.
type Config struct {
	// Self is this daemon's record. Its Incarnation is the wall clock at the start, in
	// Unix milliseconds, since there is no disk on which to count starts. If the clock
	// went back, other members know a larger incarnation, which this daemon then
	// exceeds.
	Self Member
	// Seeds are the addresses (IP:port) to ask for members. They may include this
	// daemon's own.
	Seeds []string

	// ProbeInterval is the time between two probes. Default: 500 ms.
	ProbeInterval time.Duration
	// DirectTimeout is how long a direct probe may take before other members are asked
	// to probe the target. Default: 400 ms.
	DirectTimeout time.Duration
	// ProbeTimeout bounds a probe, including its indirect phase. Default: 1 s.
	ProbeTimeout time.Duration
	// SuspicionMin is the suspicion timeout with enough confirmations by other members,
	// SuspicionMax the timeout without any. Defaults: 1 s and 6 s.
	SuspicionMin, SuspicionMax time.Duration
	// Tombstone is how long a dead member is remembered. Default: 1 h.
	Tombstone time.Duration
	// PauseGap is the time between two ticks from which on this process counts as
	// having been paused. Default: 1 s.
	PauseGap time.Duration
}

// TickInterval is the interval at which Machine.Tick must be called.
const TickInterval = 100 * time.Millisecond

// Limits that keep the cost per member constant, independent of the cluster's size.
const (
	// probeRingCount is how many members each member probes at regular intervals, and
	// by about how many it is probed.
	probeRingCount = 6
	// indirectProbeCount is how many members are asked to probe a target that did not
	// answer.
	indirectProbeCount = 3
	// probesPerSync is the number of probe intervals between two view syncs with a
	// random member.
	probesPerSync = 20
	// probesPerStartupSync replaces probesPerSync during startupPeriod: a joining
	// member has only been sent its own region.
	probesPerStartupSync = 3
	// maxUpdatesPerMessage limits the broadcasts in one message.
	maxUpdatesPerMessage = 6
	// retransmitMultiplier times log10(members) is how often each member forwards a
	// broadcast. Members that it misses are updated by view syncs.
	retransmitMultiplier = 4
	// pushFanout is how many members receive a new broadcast at once.
	pushFanout = 2
	// maxVerifyProbes is the number of running probes, of any kind, from which on no
	// verification probe is started.
	maxVerifyProbes = 8
	// maxRelays limits the concurrent probes on behalf of other members.
	maxRelays = 64
	// suspicionConfirmations is how many confirmations shorten a suspicion to
	// SuspicionMin.
	suspicionConfirmations = 2
	// maxLocalHealth is the worst local health score. Timeouts are multiplied by 1 +
	// score.
	maxLocalHealth = 3
	// maxRecordsPerMessage limits the records in one view sync message.
	maxRecordsPerMessage = 200
)

// startupPeriod is how long after its start a member syncs views more often.
const startupPeriod = 15 * time.Second

// joinRetryInterval is how often a member that knows no live one sends a join.
const joinRetryInterval = 500 * time.Millisecond

// seedContactInterval is how often a member tries to contact a seed that it doesn't
// know as a live member.
const seedContactInterval = 3 * time.Second

// reprobeInterval is the minimum time between two probes of a suspected member. The
// probes also tell it that it is suspected.
const reprobeInterval = 400 * time.Millisecond

// withDefaults validates the configuration and fills in the defaults.
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
