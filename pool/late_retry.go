package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/estimate"
)

const (
	// deadlineWindow is the length of a window in which the longest deadline is tracked;
	// the current and the previous window count. If callers switch to shorter deadlines,
	// their requests count as late retries for at most two windows.
	deadlineWindow = 5 * time.Second
	// deadlineMinSamples is the number of deadlines needed before a request is compared
	// with them.
	deadlineMinSamples = 8
	// firstAttemptShare is the smallest share of the usual deadline that a first attempt
	// has left. The deadlines within one key differ by up to a sixth; a retry after
	// a refusal and its Retry-After has less left.
	firstAttemptShare = 0.75
	// maxDeadlineKeys limits the number of keys kept in memory. When it is reached, all
	// of them are forgotten.
	maxDeadlineKeys = 10_000
)

// deadlines tracks the usual deadline of each key (workspace, template and model), to
// detect retries: requests that were refused before and come with a shorter deadline.
//
// Without it, a retry in an overload would look like a new request. Its target has
// passed for its caller, and it would take the slot of a request that could be in time.
// That one would be shed and return late in turn.
type deadlines map[estimate.Key]*usualDeadline

// usualDeadline is the longest deadline of the current and the previous window.
type usualDeadline struct {
	windowStart              time.Time
	longest, previousLongest time.Duration
	samples, previousSamples int
}

// sinceFirstAttempt records the deadline of a request, and estimates the time since the
// caller's first attempt: the difference to the usual deadline, or zero for a first
// attempt.
func (d deadlines) sinceFirstAttempt(now time.Time, key estimate.Key, deadline time.Duration) time.Duration {
	u := d[key]
	if u == nil {
		if len(d) >= maxDeadlineKeys {
			clear(d)
		}
		u = &usualDeadline{windowStart: now}
		d[key] = u
	}
	u.rotate(now)
	u.samples++
	u.longest = max(u.longest, deadline)
	usual := max(u.longest, u.previousLongest)
	if u.samples+u.previousSamples < deadlineMinSamples || float64(deadline) >= firstAttemptShare*float64(usual) {
		return 0
	}
	return usual - deadline
}

// rotate starts a new window if the current one is over.
func (u *usualDeadline) rotate(now time.Time) {
	switch age := now.Sub(u.windowStart); {
	case age < deadlineWindow:
		return
	case age < 2*deadlineWindow:
		u.previousLongest, u.previousSamples = u.longest, u.samples
	default:
		u.previousLongest, u.previousSamples = 0, 0
	}
	u.windowStart, u.longest, u.samples = now, 0, 0
}
