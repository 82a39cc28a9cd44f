package lease

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides the two clocks that a lease needs. Both return the time elapsed since
// an arbitrary start and never go back.
//
// A single clock could let two holders act at once: a clock that stops while the
// machine is suspended lets a holder rely on a lease that has passed to another, and a
// clock that jumps forward lets a waiter take a lease that is still held. So each side
// reads a clock that can only err to its own disadvantage.
type Clock interface {
	// HolderElapsed is the clock for the deadlines of leases that this process holds.
	// It may run fast, never slow. It includes suspended time.
	HolderElapsed() time.Duration
	// WaiterElapsed is the clock by which another holder's lease expires. It may run
	// slow, never fast. It need not include suspended time.
	WaiterElapsed() time.Duration
	// Sleep waits for approximately d, or until the context ends.
	Sleep(ctx context.Context, d time.Duration)
}

// SystemClock reads the machine's clocks. It is safe for concurrent use.
//
// WaiterElapsed is CLOCK_MONOTONIC, which stops while the machine is suspended.
// HolderElapsed adds up, from reading to reading, the largest advance among
// CLOCK_MONOTONIC, CLOCK_BOOTTIME (which includes suspended time) and CLOCK_REALTIME
// (which a guest agent or NTP corrects after a hypervisor has paused the VM unnoticed).
// If no clock of a VM shows that it was paused, the pause can't be detected from
// inside, and only the fencing token protects.
type SystemClock struct {
	mu            sync.Mutex
	holderElapsed time.Duration
	start         time.Time
	lastReading   time.Time // holds CLOCK_MONOTONIC and CLOCK_REALTIME
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

// bootClock reads CLOCK_BOOTTIME. It returns zero if the kernel has none, which leaves
// the other two clocks.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
