package revision

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Freshness knows how old the newest proof is that the configuration in force
// was the store's newest. A proof is a linearizable read that was answered; it
// counts from the moment at which it was sent. A watch without news, a stale
// read or a peer's word of what it has are none.
//
// What goes wrong without it: a daemon that is cut off from the store, or
// whose VM was suspended, goes on to accept a key that was withdrawn. One
// would notice requests of a withdrawn key running long after. The age counts
// suspended time and does not follow the time of day, which may jump.
//
// It is safe for concurrent use.
type Freshness struct {
	confirmedAt atomic.Int64 // on the boot clock; zero: never
	clock       func() time.Duration
}

// NewFreshness returns a freshness without a proof.
func NewFreshness() *Freshness { return NewFreshnessWithClock(SinceBoot) }

// NewFreshnessWithClock returns a Freshness that reads another clock, one that stands
// still in tests.
func NewFreshnessWithClock(clock func() time.Duration) *Freshness { return &Freshness{clock: clock} }

// Now returns the moment to pass to Prove; take it before the read is sent.
func (f *Freshness) Now() time.Duration { return f.clock() }

// Confirm takes a proof as of mark. An older one than the newest changes nothing.
func (f *Freshness) Confirm(at time.Duration) {
	for {
		old := f.confirmedAt.Load()
		if int64(at) <= old || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns the age of the newest proof; false where there was none.
func (f *Freshness) Age() (time.Duration, bool) {
	confirmedAt := f.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0, false
	}
	return f.clock() - time.Duration(confirmedAt), true
}

// Within tells whether the newest proof is at most so old.
func (f *Freshness) Within(maxAge time.Duration) bool {
	age, ok := f.Age()
	return ok && age <= maxAge
}

// SinceBoot is the time since the machine started, suspended time included.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // no such clock: nothing is ever fresh, which is noticed at once
	}
	return time.Duration(ts.Nano())
}
