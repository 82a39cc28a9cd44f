package test

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this: in the first moments after a daemon's start its callers' requests run beside those that the pools' owners know of.
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
		return members, bytes.Contains(n.process.output.bytes(), []byte("members met"))
	}
	Convey("a daemon that is started again knows the others when it serves", t, func() {
		c.awaitMembers()
		members, joined := restart()
		So(members, ShouldEqual, 3)
		So(joined, ShouldBeTrue)

		Convey("and, where nobody answers, has tried", func() {
			c.nodes[0].kill()
			c.nodes[1].kill()
			_, joined := restart()
			So(joined, ShouldBeTrue)
		})
	})
}
