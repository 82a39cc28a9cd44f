package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/estimate"
)

const (
	// deadlineWindow is over how long the longest deadline is looked for, this time
	// and the time before. Callers that begin to give shorter ones count as late for
	// no longer than two of them.
	deadlineWindow = 5 * time.Second
	// deadlineMinSamples is how many requests must have shown their deadlines before any
	// is judged by them.
	deadlineMinSamples = 8
	// firstAttemptShare is the part of the usual deadline that a first attempt has
	// left at the least. Callers of one mix were seen to differ by a sixth; one that
	// was refused, waited as it was told, and comes back has less.
	firstAttemptShare = 0.75
	// maxMixes bounds the memory; beyond it all is learnt anew.
	maxMixes = 10_000
)

// deadlines knows the deadline that the callers of each mix usually give, and by that
// which requests have been under way before they came: refused once, and back.
//
// What goes wrong without it: a request that comes back in an overload looks like a
// new one. Its target has long passed for its caller; it takes the slot of one that
// would still be in time, which is refused, and comes back late in its turn.
type deadlines map[estimate.Key]*usualDeadline

// usualDeadline is the longest deadline of the current window and of the one before.
type usualDeadline struct {
	windowStart              time.Time
	longest, previousLongest time.Duration
	samples, previousSamples int
}

// sinceFirstAttempt notes the deadline that a request came with, and returns for how long its
// caller has been waiting before that, as far as can be known.
func (d deadlines) sinceFirstAttempt(now time.Time, mix estimate.Key, deadline time.Duration) time.Duration {
	u := d[mix]
	if u == nil {
		if len(d) >= maxMixes {
			clear(d)
		}
		u = &usualDeadline{windowStart: now}
		d[mix] = u
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

// rotate begins a new window where the current one is over.
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
