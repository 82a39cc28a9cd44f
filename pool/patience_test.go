package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Symptom: in a burst callers are refused after two seconds, when nobody else
// could serve them in time any more, and those served are late.
// Sequence: all slots are taken; requests with a target of one second wait.
// Cause: patience was a part of the deadline, which is far beyond the target.
func TestPatience(t *testing.T) {
	full := func() *rig {
		r := newRig(Config{Patience: 0.1}, servers(1, 1)...)
		r.grant(ask("running", 0))
		return r
	}
	Convey("A request is shed after its part of the first-token target", t, func() {
		r := full()
		r.send(ask("waits", 0))
		So(sheds(r.pass(99*time.Millisecond)), ShouldBeEmpty)
		So(shedReason(r.pass(time.Millisecond)), ShouldEqual, request.ReasonShed)
	})
	Convey("Time that it waited at its entry counts", t, func() {
		r := full()
		e := ask("waits", 0)
		e.Waited, e.FirstTokenIn = 60*time.Millisecond, 940*time.Millisecond
		r.send(e)
		So(shedReason(r.pass(40*time.Millisecond)), ShouldEqual, request.ReasonShed)
	})
	Convey("Without a target it is a part of the deadline", t, func() {
		r := full()
		e := ask("waits", 0)
		e.FirstTokenIn, e.DeadlineIn = 0, 10*time.Second
		r.send(e)
		So(sheds(r.pass(999*time.Millisecond)), ShouldBeEmpty)
		So(shedReason(r.pass(time.Millisecond)), ShouldEqual, request.ReasonShed)
	})
	Convey("One that was sent before waits up to its deadline", t, func() {
		r := full()
		e := ask("sent", 0)
		e.DeadlineIn, e.Sent = 10*time.Second, true
		r.send(e)
		So(sheds(r.pass(9999*time.Millisecond)), ShouldBeEmpty)
		So(shedReason(r.pass(time.Millisecond)), ShouldEqual, request.ReasonExpired)
	})
	Convey("Nobody is shed while a lower tier, whose patience is longer, goes on waiting", t, func() {
		r := full()
		low := ask("low", 2)
		low.FirstTokenIn = 10 * time.Second
		r.send(low)
		r.send(ask("high", 1))
		out := sheds(r.pass(100 * time.Millisecond))
		So(out, ShouldHaveLength, 2)
		So(out[0].Request, ShouldEqual, request.ID("low"))
		So(out[1].Request, ShouldEqual, request.ID("high"))
	})
	Convey("One whose patience is over goes to a sibling with a free slot", t, func() {
		r := full()
		r.send(ask("waits", 0))
		r.send(Sibling{Pool: "q", Free: 1})
		So(r.pass(100*time.Millisecond), ShouldContain, Redirect{Request: "waits", Entry: "e1", Pool: "q"})
	})
}
