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
	// deadlineLeast is how many requests must have shown their deadlines before any
	// is judged by them.
	deadlineLeast = 8
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
type deadlines map[estimate.Mix]*usualDeadline

// usualDeadline is the longest deadline of the current window and of the one before.
type usualDeadline struct {
	since            time.Time
	longest, earlier time.Duration
	seen, seenBefore int
}

// elapsed notes the deadline that a request came with, and returns for how long its
// caller has been waiting before that, as far as can be known.
func (d deadlines) elapsed(now time.Time, mix estimate.Mix, given time.Duration) time.Duration {
	u := d[mix]
	if u == nil {
		if len(d) >= maxMixes {
			clear(d)
		}
		u = &usualDeadline{since: now}
		d[mix] = u
	}
	u.turn(now)
	u.seen++
	u.longest = max(u.longest, given)
	usual := max(u.longest, u.earlier)
	if u.seen+u.seenBefore < deadlineLeast || float64(given) >= firstAttemptShare*float64(usual) {
		return 0
	}
	return usual - given
}

// turn begins a new window where the current one is over.
func (u *usualDeadline) turn(now time.Time) {
	switch past := now.Sub(u.since); {
	case past < deadlineWindow:
		return
	case past < 2*deadlineWindow:
		u.earlier, u.seenBefore = u.longest, u.seen
	default:
		u.earlier, u.seenBefore = 0, 0
	}
	u.since, u.longest, u.seen = now, 0, 0
}
