package pool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a server that runs one more than its slots, since a withdrawn grant was used and freed.
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
