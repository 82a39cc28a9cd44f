package revision

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Freshness tracks how long ago a linearizable read last confirmed that the
// active configuration is the store's newest. A confirmation is dated at the time
// when the read was sent. A watch without events, a stale read and a peer's
// statement about its own state confirm nothing.
//
// Without it, a daemon that is partitioned from the store, or whose VM was
// suspended, would accept revoked keys indefinitely. Ages are measured on the
// boot clock, which includes suspended time and is not affected by wall-clock
// steps.
//
// It is safe for concurrent use.
type Freshness struct {
	confirmedAt atomic.Int64 // on the boot clock; 0 means never
	clock       func() time.Duration
}

// NewFreshness returns a Freshness without a confirmation, on the boot clock.
func NewFreshness() *Freshness { return NewFreshnessWithClock(SinceBoot) }

// NewFreshnessWithClock returns a Freshness that uses the given clock.
func NewFreshnessWithClock(clock func() time.Duration) *Freshness { return &Freshness{clock: clock} }

// Now returns the current time on f's clock. Take it before sending a read and
// pass it to Confirm.
func (f *Freshness) Now() time.Duration { return f.clock() }

// Confirm records a confirmation as of time at. It has no effect if a newer one is
// known.
func (f *Freshness) Confirm(at time.Duration) {
	for {
		old := f.confirmedAt.Load()
		if int64(at) <= old || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns the age of the newest confirmation, or false if there is none.
func (f *Freshness) Age() (time.Duration, bool) {
	confirmedAt := f.confirmedAt.Load()
	if confirmedAt == 0 {
		return 0, false
	}
	return f.clock() - time.Duration(confirmedAt), true
}

// ConfirmedAt returns the time of the newest confirmation, by f's clock, or false if there is none.
func (f *Freshness) ConfirmedAt() (time.Duration, bool) {
	confirmedAt := f.confirmedAt.Load()
	return time.Duration(confirmedAt), confirmedAt != 0
}

// Within reports whether the newest confirmation is at most maxAge old.
func (f *Freshness) Within(maxAge time.Duration) bool {
	age, ok := f.Age()
	return ok && age <= maxAge
}

// SinceBoot returns the time since the machine booted, suspended time included.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // without this clock nothing is ever fresh, so the failure shows at once
	}
	return time.Duration(ts.Nano())
}
