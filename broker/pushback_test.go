package broker

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
)

// Guards against: an entry uses grants of a server that pushed it back, since the pool's owner
// is new or does not know of pushbacks.
func TestPushbackOutlivesOwners(t *testing.T) {
	Convey("Given a server that has pushed an entry back", t, func() {
		sim := newSimulation(4, "a", "b", "c")
		sim.policy = pool.PolicyLycheekeel
		sim.advance(time.Second)
		dying := sim.owner()
		survivors := sim.namesWithout(dying)
		_, n := sim.nextOwner(survivors)
		work := newWorkload(sim)
		work.acquire(n, 1)
		g := work.running[0]
		other := g.server
		other.Incarnation = "another"
		So(g.PushedBack(), ShouldBeFalse)
		g.Pushback(3 * time.Second)
		So(g.PushedBack(), ShouldBeTrue)
		So(n.entry.pushbacks.remaining(other, sim.now), ShouldEqual, 0)
		work.running = nil
		g.Release(Completion{Outcome: pool.OutcomeRefused})

		gets := func() int {
			count := 0
			work.acquire(n, 4)
			for _, x := range work.running {
				if x.server.Name == g.server.Name {
					count++
				}
				x.Release(Completion{Outcome: pool.OutcomeDone})
			}
			work.running = nil
			return count
		}
		Convey("it gets no grant there until the time is up", func() {
			So(gets(), ShouldEqual, 0)
			sim.advance(3 * time.Second)
			So(n.entry.pushbacks.remaining(g.server, sim.now), ShouldEqual, 0)
		})
		Convey("a new owner hears of it", func() {
			sim.kill(dying)
			sim.setMembers(survivors...)
			sim.advance(time.Second)
			So(gets(), ShouldEqual, 0)
			So(sim.counter(n, "pushed_back"), ShouldEqual, "0")
		})
		Convey("a grant of an owner that does not know is returned, and the request waits", func() {
			work.acquire(n, 4) // all slots of the other server
			later := n.acquire(1, time.Hour)
			l := n.entry.link(g.link.pool)
			l.handleGrant(pool.Grant{Request: later.id(), Grant: pool.GrantID{Epoch: l.session.epoch, Seq: l.session.lastGrant + 1}, Server: g.server.Name})
			So(sim.counter(n, "pushed_back"), ShouldEqual, "1")
			_, granted := poll(later)
			So(granted, ShouldBeFalse)
			sim.advance(4 * time.Second)
			_, granted = poll(later)
			So(granted, ShouldBeTrue)
		})
	})
}
