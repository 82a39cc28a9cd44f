package forward

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a drain that does not show what it waits for.
func TestOpenCountsTellsRequestsFromIdleConnections(t *testing.T) {
	Convey("An open stream counts as a request, an idle connection only as a connection", t, func() {
		tr := newTrigger()
		r := newHarness(t, newBackend(t, silentUntil(tr)))
		idle := r.dial()
		idle.send("POST", "/none/", "1", "", "x")
		So(idle.receive().status, ShouldEqual, 404)
		c := r.dial()
		c.send("POST", "/stream/", "2", "", "x")
		_, err := c.reader.ReadString('\n')
		So(err, ShouldBeNil)
		So(r.server.OpenCounts(), ShouldResemble, OpenCounts{Requests: 1, Connections: 2})
		tr.fire()
		r.waitUntil("the stream has ended", func() bool { return r.server.OpenCounts().Requests == 0 })
	})
}
