package test

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against: a daemon that has just started runs requests that the pools'
// owners don't count.
func TestDaemonIsReadyAfterContactingItsPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	n := c.nodes[2]
	restart := func() (members int, joined bool) {
		n.kill()
		c.startNode(n)
		eventually(t, "the daemon serves", func() bool {
			s := c.status(n)
			members = len(s.Members)
			return s.State == "serving"
		})
		return members, bytes.Contains(n.process.output.bytes(), []byte("joined the cluster"))
	}
	Convey("a restarted daemon knows the other members when it starts to serve", t, func() {
		c.awaitMembers()
		members, joined := restart()
		So(members, ShouldEqual, 3)
		So(joined, ShouldBeTrue)

		Convey("and it serves after it has tried, if no member answers", func() {
			c.nodes[0].kill()
			c.nodes[1].kill()
			_, joined := restart()
			So(joined, ShouldBeTrue)
		})
	})
}
