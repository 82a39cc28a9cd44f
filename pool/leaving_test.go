package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against: a server that has announced that it leaves is granted again some seconds
// later.
func TestAnnouncedLeavingDoesNotLapse(t *testing.T) {
	Convey("Given two servers of which one has announced that it leaves", t, func() {
		infos := servers(2, 8)
		for i := range infos {
			infos[i].Incarnation = "1"
		}
		r := newHarness(Config{}, infos...)
		r.send(Leaving{Entry: "e", Server: "s0", Incarnation: "0"})
		r.send(Leaving{Entry: "e", Server: "s1", Incarnation: "1"})
		grantedTo := func() map[string]bool {
			all := map[string]bool{}
			for i := range 8 {
				for _, g := range grants(r.send(enqueue(time.Duration(i).String(), 0))) {
					all[g.Server] = true
					r.endRun(g, OutcomeDone)
				}
			}
			return all
		}
		Convey("it gets nothing, however long it stays, and an older incarnation's word does not count", func() {
			for range 4 {
				So(grantedTo(), ShouldResemble, map[string]bool{"s0": true})
				r.advance(leavingTimeout)
			}
		})
		Convey("nor when the servers are listed again", func() {
			r.send(ServerSet{Servers: infos})
			So(grantedTo(), ShouldResemble, map[string]bool{"s0": true})
		})
		Convey("its next incarnation does", func() {
			infos[1].Incarnation = "2"
			infos[0].Slots = 1
			r.send(ServerSet{Servers: infos})
			r.mustGrant(enqueue("first", 0))
			So(r.mustGrant(enqueue("second", 0)).Server, ShouldEqual, "s1")
		})
	})
	Convey("The rest of a stream is refused at once if the only server of its version leaves", t, func() {
		r := newHarness(Config{}, versionedServers(1, "v1", "v2")...)
		r.mustGrant(versioned("full", "v1"))
		r.send(versioned("rest", "v1"))
		out := r.send(Leaving{Entry: "e", Server: "s0"})
		So(sheds(out), ShouldHaveLength, 1)
		So(sheds(out)[0].Reason, ShouldEqual, request.ReasonVersionUnavailable)
	})
}
