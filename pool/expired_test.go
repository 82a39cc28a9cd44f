package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against requests that expire without a line that tells in which class they waited.
func TestReportsStateOfExpiredRequests(t *testing.T) {
	report := func(out []Command) (found []Expired) {
		for _, c := range out {
			if e, ok := c.(Expired); ok {
				found = append(found, e)
			}
		}
		return found
	}
	full := func() *harness {
		r := newHarness(Config{}, servers(1, 1)...)
		r.mustGrant(enqueue("running", 0))
		r.send(enqueue("waits", 1))
		return r
	}
	Convey("A request that reaches its deadline is reported with its class", t, func() {
		found := report(full().advance(time.Minute))
		So(found, ShouldHaveLength, 1)
		So(found[0].Request, ShouldEqual, request.ID("waits"))
		So(found[0].Class, ShouldEqual, "on_time")
		So(found[0].Waited, ShouldEqual, time.Minute)
		So(found[0].LengthKnown, ShouldBeFalse)
	})
	Convey("So is one whose entry notices the deadline first, but not one withdrawn before", t, func() {
		for before, reports := range map[time.Duration]int{withdrawnAtDeadline / 2: 1, 2 * withdrawnAtDeadline: 0} {
			r := full()
			r.advance(time.Minute - before)
			So(report(r.send(Withdraw{Request: "waits", Entry: "e1"})), ShouldHaveLength, reports)
		}
	})
}
