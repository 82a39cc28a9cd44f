package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testRetryWindow = 10 * time.Second

// retriesWithoutRequests returns how many retries a service gets in one window without
// requests, once its budget is older than a window.
func retriesWithoutRequests(b *retryBudgets) int {
	now := time.Now().Add(2 * testRetryWindow)
	n := 0
	for budget := b.forService("llm"); budget.Reserve(now); n++ {
		if !budget.Send(now) {
			break
		}
	}
	return n
}

func testBounds(slack float64) BoundsSettings {
	return BoundsSettings{RetryRatio: 0.2, RetryWindowS: testRetryWindow.Seconds(), RetrySlack: slack}
}

// Guards against many daemons whose retries together exceed the bound.
func TestRetrySlackIsSharedByAllDaemons(t *testing.T) {
	Convey("Without requests, all daemons together send no more retries than the slack", t, func() {
		for _, daemons := range []int{1, 9, 16, 88, 300} {
			b := newRetryBudgets(testBounds(600))
			b.forService("llm")
			b.setDaemons(daemons)
			retries := retriesWithoutRequests(b)
			So(retries*daemons, ShouldBeLessThanOrEqualTo, 600)
			So(retries, ShouldBeGreaterThan, 0)
		}
	})
	Convey("That holds for more daemons than the slack has retries", t, func() {
		b := newRetryBudgets(testBounds(58))
		b.setDaemons(300)
		So(retriesWithoutRequests(b)*300, ShouldBeLessThanOrEqualTo, 58)
	})
	Convey("A daemon's part does not grow when others are no longer visible", t, func() {
		b := newRetryBudgets(testBounds(600))
		b.forService("llm")
		b.setDaemons(88)
		other := newRetryBudgets(testBounds(600))
		other.setDaemons(88)
		b.setDaemons(2)
		So(retriesWithoutRequests(b), ShouldEqual, retriesWithoutRequests(other))
	})
	Convey("A daemon that does not know the others yet has a slack of one", t, func() {
		So(retriesWithoutRequests(newRetryBudgets(testBounds(600))), ShouldEqual, 1)
	})
}
