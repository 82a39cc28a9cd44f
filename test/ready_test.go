package test

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this: in the first moments after a daemon's start its callers' requests run beside those that the pools' owners know of.
func TestADaemonIsReadyWhenItHasLookedForTheOthers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 1})
	n := c.nodes[2]
	restart := func() (status int, met bool) {
		n.kill()
		c.startNode(n)
		eventually(t, "the daemon serves", func() bool {
			s := c.status(n)
			status = len(s.Members)
			return s.State == "serving"
		})
		return status, bytes.Contains(n.process.output.bytes(), []byte("members met"))
	}
	Convey("a daemon that is started again knows the others when it serves", t, func() {
		c.awaitMembers()
		members, met := restart()
		So(members, ShouldEqual, 3)
		So(met, ShouldBeTrue)

		Convey("and, where nobody answers, has tried", func() {
			c.nodes[0].kill()
			c.nodes[1].kill()
			_, met := restart()
			So(met, ShouldBeTrue)
		})
	})
}
