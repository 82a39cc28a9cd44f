package forward

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against: a stream that breaks goes on, within its answer, at a server of another
// version.
func TestBrokenStreamKeepsItsVersion(t *testing.T) {
	Convey("Given a stream that a server of v1 has begun and breaks off", t, func() {
		breaks, other, same := newBackend(t, streamEvents(20, 7, "")), newBackend(t, streamEvents(20, 0, "")), newBackend(t, streamEvents(20, 0, ""))
		r := newHarness(t, breaks, other, same)
		Convey("it goes on at the other server of v1", func() {
			r.setVersions("", "v1", "v2", "v1")
			got := r.call("POST", "/resume/", "1", "", "x")
			So(got.body, ShouldEqual, eventsText(1, 20))
			So(other.requests(), ShouldBeEmpty)
			So(r.broker.demands[0].Version, ShouldBeEmpty)
			So(r.broker.demands[1].Version, ShouldEqual, "v1")
		})
		Convey("it is cut if no server of v1 is left, and asks for no slot", func() {
			r.setVersions("", "v1", "v2", "v2")
			removeServer(r, "i-1")
			got := r.call("POST", "/resume/", "1", "", "x")
			So(got.body, ShouldEqual, eventsText(1, 7))
			So(got.complete, ShouldBeFalse)
			So(r.broker.acquireCount(), ShouldEqual, 1)
		})
		Convey("on trial, it goes on at the version on trial, and counts as its run", func() {
			r.setVersions("v1", "v1", "v2", "v1")
			f := r.withRollouts(true)
			f.version = "v1"
			got := r.call("POST", "/resume/", "1", "", "x")
			So(got.body, ShouldEqual, eventsText(1, 20))
			So(other.requests(), ShouldBeEmpty)
			So(f.canaryRuns(), ShouldResemble, []bool{true, true})
		})
		Convey("on trial, it is cut if the version may get no more", func() {
			r.setVersions("v1", "v1", "v2", "v1")
			f := r.withRollouts(true)
			f.version, f.denyResumes = "v1", true
			got := r.call("POST", "/resume/", "1", "", "x")
			So(got.complete, ShouldBeFalse)
			So(r.broker.acquireCount(), ShouldEqual, 1)
		})
	})
	Convey("A stream that breaks before its first event may begin at another version", t, func() {
		breaks := newBackend(t, func(_ int, head, _ string, c net.Conn) bool { writeStreamHead(c, head); return false })
		r := newHarness(t, breaks, newBackend(t, streamEvents(20, 0, "")))
		r.setVersions("", "v1", "v2")
		So(r.call("POST", "/resume/", "1", "", "x").body, ShouldEqual, eventsText(1, 20))
	})
}

// Guards against: a silent stream is hedged at a server of another version.
func TestSilentStreamKeepsItsVersion(t *testing.T) {
	Convey("The server of v1 goes on, the one of v2 gets no request", t, func() {
		goOn := make(chan struct{})
		silent := newBackend(t, func(n int, head, _ string, c net.Conn) bool {
			writeStreamHead(c, head)
			if n > 1 { // the hedge, which may go to the same server
				_, _ = c.Read(make([]byte, 1))
				return false
			}
			writeChunk(c, eventsText(1, 3))
			<-goOn
			writeChunk(c, eventsText(4, 9))
			writeStreamEnd(c)
			return true
		})
		other := newBackend(t, streamEvents(9, 0, ""))
		r := newHarness(t, silent, other)
		r.setVersions("", "v1", "v2")
		c := r.dial()
		c.send("POST", "/resume/", "1", "", "x")
		r.waitUntil("the hedge asks for a slot", func() bool { return r.broker.acquireCount() >= 2 })
		close(goOn)
		So(c.receive().body, ShouldEqual, eventsText(1, 9))
		So(r.broker.demands[1].Version, ShouldEqual, "v1")
		So(other.requests(), ShouldBeEmpty)
	})
}
