package pool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a server that runs one more than its slots, since a withdrawn grant was used and freed.
func TestAWithdrawnGrantThatIsUsedAfterAll(t *testing.T) {
	Convey("A withdrawn grant that was repeated keeps its slot", t, func() {
		r := newRig(Config{}, servers(1, 4)...)
		first := r.grant(ask("a", 0))
		r.send(Withdraw{Request: "a", Entry: "e1"})
		So(r.grant(ask("a", 0)), ShouldResemble, first)
		r.pass(2 * withdrawnGrace)
		So(r.Summary(r.now).Running, ShouldEqual, 1)
	})
}
