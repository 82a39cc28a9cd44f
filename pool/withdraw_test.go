package pool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Symptom: for some seconds a server runs one more than its slots.
// Sequence: a caller leaves while its grant is on the way; the request comes
// again under the same identifier, and the entry uses the repeated grant.
// Cause: the grant is still marked as withdrawn, and freed as one that was
// lost, although it is in use.
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
