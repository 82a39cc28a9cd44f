// Package testwait lets tests wait for a condition that must become true. The
// timeout only ends a test that would otherwise hang.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 5 * time.Millisecond

// Until waits until cond returns true, and fails the test if it does not before
// the timeout. what describes the condition in the failure message.
func Until(tb testing.TB, timeout time.Duration, what string, cond func() bool) {
	tb.Helper()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	deadline := time.After(timeout)
	for !cond() {
		select {
		case <-tick.C:
		case <-deadline:
			tb.Fatalf("condition not met within %v: %s", timeout, what)
		}
	}
}
