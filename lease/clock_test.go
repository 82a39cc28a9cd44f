package lease_test

import (
	"testing"

	"github.com/lycheekeel/lycheekeel/lease"
)

// Held may run fast and never slow: between any two readings it advances at
// least as much as Waited between its own two inside them.
func TestHolderElapsedIsNeverBehindWaiterElapsed(t *testing.T) {
	c := lease.NewSystemClock()
	for range 100_000 {
		h0, w0 := c.HolderElapsed(), c.WaiterElapsed()
		w1, h1 := c.WaiterElapsed(), c.HolderElapsed()
		if h1-h0 < w1-w0 || w1 < w0 {
			t.Fatalf("held advanced %s, waited %s", h1-h0, w1-w0)
		}
	}
}

// BenchmarkHolderElapsed is what a Check costs: one reading of the clocks.
func BenchmarkHolderElapsed(b *testing.B) {
	c := lease.NewSystemClock()
	for b.Loop() {
		c.HolderElapsed()
	}
}
