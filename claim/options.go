package claim

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
)

// Defaults of Options.
const (
	DefaultCallTimeout       = time.Second
	DefaultBackgroundJobs    = 1024
	DefaultBackgroundTimeout = 30 * time.Minute
	DefaultBackgroundRate    = 5
	DefaultMaxInFlight       = 8
)

// Between two tries of one claim.
const (
	minRetryInterval           = 10 * time.Millisecond
	maxClaimRetryInterval      = 250 * time.Millisecond
	maxBackgroundRetryInterval = 10 * time.Second
)

// The counters of metric group "claims".
const (
	metricGroup           = "claims"
	countClaimed          = "claimed"
	countReclaimed        = "reclaimed_not_run"
	countExisting         = "existing"
	countConflict         = "conflict"
	countUnavailable      = "store_unavailable"
	countRetryUnavailable = "retry_store_unavailable"
	countRetryUnknown     = "retry_unknown_outcome"
	countBreakerOpen      = "held_back_in_outage"
	countTooLate          = "not_sent_too_late"
	countOwnTokenFound    = "settled_by_token"
	countBackgroundGaveUp = "background_gave_up"
	countBackgroundFull   = "background_full"
	countCollected        = "collected"
	countGroupWrites      = "group_writes"
	countGroupClaims      = "group_claims"
	countGroupFull        = "group_full"
)

// Options set up a Ledger; the zero value works.
type Options struct {
	// CallTimeout bounds one call to the store, so that a silent connection
	// does not eat the whole target.
	CallTimeout time.Duration
	// BackgroundJobs bounds the outcomes that wait for the store, and
	// BackgroundTimeout how long one waits; a claim beyond them stays claimed,
	// which reads as unknown. BackgroundRate bounds their calls a second.
	BackgroundJobs    int
	BackgroundTimeout time.Duration
	BackgroundRate    float64
	// MaxInFlight bounds this process's calls that claim, and those that
	// record outcomes. Claims beyond it wait here, where giving up leaves
	// nothing to undo: a store that is too slow gets no more work from
	// callers that have already left.
	MaxInFlight int
	// Now is the wall clock (CLOCK_REALTIME) that claims are stamped with.
	Now     func() time.Time
	Metrics *metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.BackgroundJobs == 0 {
		o.BackgroundJobs = DefaultBackgroundJobs
	}
	if o.BackgroundTimeout == 0 {
		o.BackgroundTimeout = DefaultBackgroundTimeout
	}
	if o.BackgroundRate == 0 {
		o.BackgroundRate = DefaultBackgroundRate
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = metrics.New()
	}
	return o
}

func (o Options) count(name string) { o.Metrics.Counter(metricGroup, name).Add(1) }

func newBackOff(longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryInterval, longest
	return b
}
