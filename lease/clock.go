package lease

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the two readings that a lease needs. They are elapsed times
// since an arbitrary start and never go back.
//
// What goes wrong with one reading: a clock that stops while the machine is
// suspended lets a holder trust a lease that has long passed to another; a
// clock that jumps forward lets a waiter take a lease that is still held.
// One would see two holders act at once. So each side reads the clock that
// can only err to its own disadvantage.
type Clock interface {
	// HolderElapsed is for the deadline of what this process holds: it may run fast,
	// never slow. Suspended time counts.
	HolderElapsed() time.Duration
	// WaiterElapsed is for judging when another's lease has ended: it may run slow,
	// never fast. Suspended time need not count.
	WaiterElapsed() time.Duration
	// Sleep waits for about d, or until the context ends.
	Sleep(ctx context.Context, d time.Duration)
}

// SystemClock reads the machine's clocks. Waited is CLOCK_MONOTONIC, which
// stops while the machine is suspended. Held adds up, from reading to
// reading, the largest advance among CLOCK_MONOTONIC, CLOCK_BOOTTIME (counts
// suspension) and CLOCK_REALTIME (set right by a guest agent or NTP after a
// hypervisor paused the VM without telling it). A VM that was paused and whose
// clocks all know nothing of it can't be noticed from inside: there only the
// fencing token protects. It is safe for concurrent use.
type SystemClock struct {
	mu            sync.Mutex
	holderElapsed time.Duration
	start         time.Time
	lastReading   time.Time // carries CLOCK_MONOTONIC and CLOCK_REALTIME
	lastBoot      time.Duration
}

// NewSystemClock returns a clock that starts at zero.
func NewSystemClock() *SystemClock {
	now := time.Now()
	return &SystemClock{start: now, lastReading: now, lastBoot: bootClock()}
}

// HolderElapsed implements Clock.
func (c *SystemClock) HolderElapsed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, boot := time.Now(), bootClock()
	mono := now.Sub(c.lastReading)
	wall := now.Round(0).Sub(c.lastReading.Round(0)) // Round strips the monotonic reading
	c.holderElapsed += max(mono, wall, boot-c.lastBoot, 0)
	c.lastReading, c.lastBoot = now, boot
	return c.holderElapsed
}

// WaiterElapsed implements Clock.
func (c *SystemClock) WaiterElapsed() time.Duration { return time.Since(c.start) }

// Sleep implements Clock with a timer on CLOCK_MONOTONIC.
func (c *SystemClock) Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// bootClock reads CLOCK_BOOTTIME; zero where the kernel has none, which leaves
// the other two clocks.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
