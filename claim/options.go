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

// Intervals between two attempts at one claim or outcome.
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

// Options configures a Ledger; the zero value is usable.
type Options struct {
	// CallTimeout is the timeout of one call to the store, so that a dead connection
	// does not use up the caller's whole time.
	CallTimeout time.Duration
	// BackgroundJobs limits the number of outcomes that wait for the store, and
	// BackgroundTimeout how long each waits. A claim beyond these limits stays
	// Claimed, so its outcome is unknown. BackgroundRate limits their retries per
	// second.
	BackgroundJobs    int
	BackgroundTimeout time.Duration
	BackgroundRate    float64
	// MaxInFlight limits the concurrent calls of this process that claim, and
	// separately those that record outcomes. Further claims wait in the process,
	// where giving up leaves nothing to undo: a slow store gets no work from callers
	// that have already left.
	MaxInFlight int
	// Now returns the wall clock time (CLOCK_REALTIME) for the timestamps of claims.
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
