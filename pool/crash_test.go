package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Symptom: a request crashes the same server four times before it is refused.
// Sequence: a server crashes and is back within a second; the suspect runs
// alone there and crashes it again, less than five seconds after the first.
// Cause: the second crash is taken for another sign of the first.
func TestAServerCrashesTwiceWithinSeconds(t *testing.T) {
	Convey("Given a server that crashed under a request, as its entry reports", t, func() {
		r := newRig(Config{}, servers(1, 3)...)
		r.send(ServerHealth{Server: "s0", Incarnation: 1})
		bad := r.grant(marked("bad", 1))
		late := r.grant(marked("late", 2))
		r.pass(time.Second)
		r.end(bad, OutcomeCrashed)
		So(grants(r.send(marked("bad2", 1))), ShouldBeEmpty)

		Convey("The suspect waits until the server is seen to run again", func() {
			So(grants(r.pass(3*time.Second)), ShouldBeEmpty)
			r.end(late, OutcomeCrashed) // of the first crash, too
			again := grants(r.send(ServerHealth{Server: "s0", Incarnation: 2}))
			So(again, ShouldHaveLength, 1)

			Convey("and a second crash within seconds convicts it, and only it", func() {
				r.pass(500 * time.Millisecond)
				r.end(again[0], OutcomeCrashed)
				So(shedReason(r.send(marked("bad3", 1))), ShouldEqual, request.ReasonConvicted)
				r.send(ServerHealth{Server: "s0", Incarnation: 3})
				r.pass(time.Second)
				So(grants(r.send(marked("late2", 2))), ShouldHaveLength, 1)
			})
			Convey("and so does a restart that the monitor sees first", func() {
				r.pass(500 * time.Millisecond)
				r.send(ServerHealth{Server: "s0", Incarnation: 3})
				So(shedReason(r.send(marked("bad3", 1))), ShouldEqual, request.ReasonConvicted)
			})
		})
	})
}
