package pool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a server that runs one request more than its slots because a withdrawn
// grant was freed although its entry used it.
func TestRepeatedGrantCancelsWithdrawal(t *testing.T) {
	Convey("A withdrawn grant that was repeated keeps its slot", t, func() {
		r := newHarness(Config{}, servers(1, 4)...)
		first := r.mustGrant(enqueue("a", 0))
		r.send(Withdraw{Request: "a", Entry: "e1"})
		So(r.mustGrant(enqueue("a", 0)), ShouldResemble, first)
		r.advance(2 * withdrawnGrace)
		So(r.Summary(r.now).Running, ShouldEqual, 1)
	})
}
