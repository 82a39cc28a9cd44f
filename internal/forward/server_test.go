package forward

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a drain of which nobody can tell what it waits for.
func TestOpenTellsWhatKeepsAShutdownWaiting(t *testing.T) {
	Convey("A stream that goes on and an idle connection are told apart", t, func() {
		m := newMoment()
		r := newRig(t, newBackend(t, silentUntil(m)))
		idle := r.dial()
		idle.send("POST", "/none/", "1", "", "x")
		So(idle.receive().status, ShouldEqual, 404)
		c := r.dial()
		c.send("POST", "/stream/", "2", "", "x")
		_, err := c.r.ReadString('\n')
		So(err, ShouldBeNil)
		So(r.server.Open(), ShouldResemble, Open{Requests: 1, Connections: 2})
		m.now()
		r.until("the stream has ended", func() bool { return r.server.Open().Requests == 0 })
	})
}
