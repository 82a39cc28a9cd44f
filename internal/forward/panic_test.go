package forward

import (
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
)

// panicAt lets the n-th choice of a server panic.
func panicAt(r *harness, n int) {
	r.admission.onMayUse = func(call int) {
		if call == n {
			panic("of the test")
		}
	}
}

// Guards against: a panic in one request ends the process, keeps the request's slot or leaves
// its caller without an answer.
func TestPanicLosesOneRequestAlone(t *testing.T) {
	answers := func(_ int, head, _ string, c net.Conn) bool {
		writeSignedAnswer(c, head, "200 OK", "whole")
		return true
	}
	Convey("In the handler the request, which was not sent, is refused, and the next is served", t, func() {
		r := newHarness(t, newBackend(t, answers))
		panicAt(r, 1)
		So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.call("POST", "/once/", "2", "", "x").body, ShouldEqual, "whole")
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeStreamLost, pool.OutcomeDone})
		So(r.server.counters.panics.Value(), ShouldEqual, 1)
	})
	Convey("In a hedge the silent stream goes on", t, func() {
		tr := newTrigger()
		r := newHarness(t, newBackend(t, silentUntil(tr)), newBackend(t, silentUntil(tr)))
		panicAt(r, 2)
		c := r.dial()
		c.send("POST", "/resume/", "1", "", "x")
		r.waitUntil("the hedge panics", func() bool { return r.server.counters.panics.Value() > 0 })
		tr.fire()
		got := c.receive()
		So(got.complete, ShouldBeTrue)
		So(got.body, ShouldEqual, eventsText(1, 6))
	})
}
