package test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Symptom: in the first moments after a daemon's start its callers' requests
// run beside those that the pools' owners know of.
// Sequence: a daemon starts beside others and gets callers as soon as it is
// ready.
// Cause: until it has met the others, its view holds itself alone, and it
// takes every pool for its own.
func TestADaemonIsReadyWhenItKnowsTheOthers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 1})
	Convey("a daemon that is started again names the others as soon as it serves", t, func() {
		c.awaitMembers()
		for range 3 {
			n := c.nodes[2]
			owner := c.owner(testPool)
			n.kill()
			c.startNode(n)
			var s = c.status(n)
			eventually(t, "the daemon serves", func() bool {
				s = c.status(n)
				return s.State == "serving"
			})
			So(len(s.Members), ShouldEqual, 3)
			if owner != n {
				So(s.Pools[0].Owner, ShouldNotEqual, n.settings.Name)
			}
			c.awaitMembers()
		}
	})
}
