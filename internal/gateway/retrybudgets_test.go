package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// savedRetries returns how many retries a full budget allows.
func savedRetries(b *retryBudgets) int {
	for range 10_000 {
		b.forService("llm").RecordRequest()
	}
	n := 0
	for b.forService("llm").Take() {
		n++
	}
	return n
}

// Guards against many daemons whose retries together exceed the bound.
func TestRetrySlackIsSharedByAllDaemons(t *testing.T) {
	Convey("All daemons together save up no more retries than the slack", t, func() {
		for _, daemons := range []int{1, 9, 16, 88, 300} {
			b := newRetryBudgets(BoundsSettings{RetryRatio: 0.2, RetrySlack: 600})
			b.forService("llm")
			b.setDaemons(daemons)
			So(savedRetries(b)*daemons, ShouldBeLessThanOrEqualTo, 600)
			So(savedRetries(b), ShouldBeGreaterThan, 0)
		}
	})
	Convey("A daemon's part does not grow when others are no longer visible", t, func() {
		b := newRetryBudgets(BoundsSettings{RetryRatio: 0.2, RetrySlack: 600})
		b.forService("llm")
		b.setDaemons(88)
		before := savedRetries(b)
		b.setDaemons(2)
		So(savedRetries(b), ShouldEqual, before)
	})
	Convey("A daemon that has just started saves up one retry", t, func() {
		So(savedRetries(newRetryBudgets(BoundsSettings{RetryRatio: 0.2, RetrySlack: 600})), ShouldEqual, 1)
	})
}
