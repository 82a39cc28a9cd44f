package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// saved returns how many retries a budget gives when all that can be is saved.
func saved(b *budgets) int {
	for range 10_000 {
		b.of("llm").RecordRequest()
	}
	n := 0
	for b.of("llm").Take() {
		n++
	}
	return n
}

// Guards against this: many daemons together retry more than the bound allows.
func TestRetrySlackIsSharedByAllDaemons(t *testing.T) {
	Convey("All daemons together save up no more than the slack", t, func() {
		for _, daemons := range []int{1, 9, 16, 88, 300} {
			b := newBudgets(BoundsSettings{RetryRatio: 0.2, RetrySlack: 600})
			b.of("llm")
			b.share(daemons)
			So(saved(b)*daemons, ShouldBeLessThanOrEqualTo, 600)
			So(saved(b), ShouldBeGreaterThan, 0)
		}
	})
	Convey("A part does not grow when others are out of sight", t, func() {
		b := newBudgets(BoundsSettings{RetryRatio: 0.2, RetrySlack: 600})
		b.of("llm")
		b.share(88)
		before := saved(b)
		b.share(2)
		So(saved(b), ShouldEqual, before)
	})
	Convey("A process that has just started saves up one retry", t, func() {
		So(saved(newBudgets(BoundsSettings{RetryRatio: 0.2, RetrySlack: 600})), ShouldEqual, 1)
	})
}
