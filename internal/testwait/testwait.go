// Package testwait lets tests wait for what must come. The wait ends a test
// that would otherwise hang; it decides nothing else.
package testwait

import (
	"testing"
	"time"
)

// poll is how often a condition is looked at.
const poll = 5 * time.Millisecond

// Until waits until the condition holds, and fails the test where it does not
// within the limit; what names it.
func Until(tb testing.TB, limit time.Duration, what string, holds func() bool) {
	tb.Helper()
	tick := time.NewTicker(poll)
	defer tick.Stop()
	deadline := time.After(limit)
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline:
			tb.Fatalf("not within %v: %s", limit, what)
		}
	}
}
