package lease_test

import (
	"testing"

	"github.com/lycheekeel/lycheekeel/lease"
)

// Guards against a holder's clock that runs slow: between two readings HolderElapsed
// advances at least as much as WaiterElapsed between two readings inside them.
func TestHolderElapsedIsNeverBehindWaiterElapsed(t *testing.T) {
	c := lease.NewSystemClock()
	for range 100_000 {
		h0, w0 := c.HolderElapsed(), c.WaiterElapsed()
		w1, h1 := c.WaiterElapsed(), c.HolderElapsed()
		if h1-h0 < w1-w0 || w1 < w0 {
			t.Fatalf("HolderElapsed advanced by %s, WaiterElapsed by %s", h1-h0, w1-w0)
		}
	}
}

// BenchmarkHolderElapsed measures the cost of a Check: one reading of the clocks.
func BenchmarkHolderElapsed(b *testing.B) {
	c := lease.NewSystemClock()
	for b.Loop() {
		c.HolderElapsed()
	}
}
