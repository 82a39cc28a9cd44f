// Package testwait lets tests wait for what must come. The wait ends a test
// that would otherwise hang; it decides nothing else.
package testwait

import (
	"testing"
	"time"
)

// pollInterval is how often a condition is looked at.
const pollInterval = 5 * time.Millisecond

// Until waits until the condition holds, and fails the test where it does not
// within the limit; what names it.
func Until(tb testing.TB, timeout time.Duration, what string, cond func() bool) {
	tb.Helper()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	deadline := time.After(timeout)
	for !cond() {
		select {
		case <-tick.C:
		case <-deadline:
			tb.Fatalf("not within %v: %s", timeout, what)
		}
	}
}
