package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// overload is a pool of two servers with four slots each. All slots are in use and more
// requests wait. The requests come from three entries.
type overload struct {
	*harness
	nextID         int
	running        map[GrantID]Grant
	lost           int // runs lost or failed on the servers under test
	breakerChanges []BreakerChanged
}

func newOverload() *overload {
	c := &overload{harness: newHarness(Config{Headroom: 0.01}, servers(2, 4)...), running: map[GrantID]Grant{}}
	c.send(EntrySet{Entries: []EntryID{"e0", "e1", "e2"}})
	for i := range 3 {
		c.send(EntryReported{Entry: EntryID(fmt.Sprint("e", i))})
	}
	c.arrive(8)
	return c
}

// arrive enqueues n requests that cycle through the tiers.
func (c *overload) arrive(n int) {
	for range n {
		e := enqueue(fmt.Sprint("r", c.nextID), request.Tier(c.nextID%3))
		e.Entry = EntryID(fmt.Sprint("e", c.nextID%3))
		c.nextID++
		c.record(c.send(e))
	}
}

func (c *overload) record(out []Command) {
	for _, g := range grants(out) {
		c.running[g.Grant] = g
	}
	for _, cmd := range out {
		if d, ok := cmd.(BreakerChanged); ok {
			c.breakerChanges = append(c.breakerChanges, d)
		}
	}
}

func (c *overload) finish(g Grant, o Outcome) {
	delete(c.running, g.Grant)
	c.record(c.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: o,
		FirstToken: 30 * time.Millisecond, Total: 100 * time.Millisecond, OutputTokens: 10, PromptTokens: 100}))
}

func (c *overload) runningOn(server string) []Grant {
	var all []Grant
	for _, g := range c.running {
		if g.Server == server {
			all = append(all, g)
		}
	}
	return all
}

// step advances 10 ms, in which requests arrive. The runs on s0 end; their streams are
// lost if s0 is down.
func (c *overload) step(down bool) {
	c.now = c.now.Add(10 * time.Millisecond)
	c.arrive(2)
	for _, g := range c.runningOn("s0") {
		if down {
			c.lost++
			c.finish(g, OutcomeStreamLost)
		} else {
			c.finish(g, OutcomeDone)
		}
	}
	c.record(c.send(Tick{}))
}

// Guards against a server that is down and, as the only one with free slots, attracts
// all waiting requests.
func TestDownServerGetsOnlyProbes(t *testing.T) {
	Convey("Given a full pool and a server that goes down", t, func() {
		c := newOverload()
		for range 100 {
			c.step(true)
		}
		Convey("it only loses the runs it had and a few probes", func() {
			So(c.lost, ShouldBeLessThanOrEqualTo, 4+breakerLostRuns+4)
		})
		Convey("the probes are requests of the lowest waiting tier", func() {
			c.arrive(30)
			before := len(c.running)
			c.record(c.advance(breakerBackoffMax))
			So(len(c.running), ShouldEqual, before+1)
			for _, g := range c.runningOn("s0") {
				var n int
				_, err := fmt.Sscanf(string(g.Request), "r%d", &n)
				So(err, ShouldBeNil)
				So(n%3, ShouldEqual, 2)
			}
		})
		Convey("all its slots are used as soon as a probe succeeds", func() {
			for range 110 {
				c.step(false)
			}
			So(c.runningOn("s0"), ShouldHaveLength, 4)
			So(c.breakerChanges, ShouldResemble, []BreakerChanged{{Server: "s0", Open: true}, {Server: "s0", Open: false}})
		})
		Convey("it reports no free slots to sibling pools in the meantime", func() {
			So(c.Summary(c.now).Free, ShouldEqual, 0)
		})
		Convey("its breaker is reset when it restarts", func() {
			all := servers(2, 4)
			for i := range all {
				all[i].Incarnation = "1"
			}
			c.record(c.send(ServerSet{Servers: all}))
			all[0].Incarnation = "2"
			c.record(c.send(ServerSet{Servers: all}))
			So(c.runningOn("s0"), ShouldHaveLength, 4)
		})
	})
	Convey("The breaker stays closed if a server loses some answers and completes others", t, func() {
		c := newOverload()
		for range 200 {
			c.now = c.now.Add(10 * time.Millisecond)
			c.arrive(8)
			for i, g := range c.runningOn("s0") {
				if i < 3 {
					c.finish(g, OutcomeStreamLost)
				} else {
					c.finish(g, OutcomeDone)
				}
			}
			So(c.servers["s0"].breaker.open, ShouldBeFalse)
		}
	})
	Convey("Refusals do not open the breaker", t, func() {
		c := newOverload()
		for range 3 {
			for _, g := range c.runningOn("s0") {
				c.finish(g, OutcomeRefused)
			}
			c.now = c.now.Add(unreachableBackoffMax)
			c.arrive(8)
		}
		So(c.servers["s0"].breaker.open, ShouldBeFalse)
	})
	Convey("Failures do not open the breaker if other runs succeed in between", t, func() {
		c := newOverload()
		for range 50 {
			for i, g := range c.runningOn("s0") {
				c.finish(g, []Outcome{OutcomeFailed, OutcomeDone}[i%2])
			}
			c.arrive(8)
			So(c.servers["s0"].breaker.open, ShouldBeFalse)
		}
	})
	Convey("Lost runs of a single entry do not open the breaker, since its own network may be down", t, func() {
		c := newOverload()
		for range 3 {
			for _, g := range c.runningOn("s0") {
				if g.Entry == "e0" {
					c.finish(g, OutcomeStreamLost)
				}
			}
			c.arrive(8)
		}
		So(c.servers["s0"].breaker.open, ShouldBeFalse)
	})
	Convey("Lost runs of a single entry open the breaker if there is no other entry", t, func() {
		r := newHarness(Config{}, servers(2, 1)...)
		for i := range breakerLostRuns {
			g := r.mustGrant(enqueue(fmt.Sprint("r", i), 0))
			So(g.Server, ShouldEqual, "s0")
			r.endRun(g, OutcomeStreamLost)
			if i == 0 {
				r.mustGrant(enqueue("other", 0))
			}
		}
		So(r.servers["s0"].breaker.open, ShouldBeTrue)
	})
	Convey("A server is probed even if all servers are down", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		for i := range breakerLostRuns {
			r.endRun(r.mustGrant(enqueue(fmt.Sprint("r", i), 0)), OutcomeStreamLost)
		}
		So(grants(r.send(enqueue("waits", 0))), ShouldBeEmpty)
		So(grants(r.advance(breakerBackoffMin)), ShouldHaveLength, 1)
	})
}

// overloadWithFailing is an overload of three servers, of which the named ones fail all
// their runs at once.
func overloadWithFailing(servers ...string) *overload {
	c := newOverload()
	c.record(c.send(ServerSet{Servers: threeServers}))
	for range 100 {
		c.now = c.now.Add(10 * time.Millisecond)
		c.arrive(3)
		for _, s := range servers {
			for _, g := range c.runningOn(s) {
				c.lost++
				c.finish(g, OutcomeFailed)
			}
		}
		c.record(c.send(Tick{}))
	}
	return c
}

var threeServers = servers(3, 4)

// Guards against a server that fails all its runs at once and, as the only one with free
// slots, attracts all waiting requests.
func TestFailingServerGetsOnlyProbes(t *testing.T) {
	Convey("A server that fails all its runs only gets probes", t, func() {
		c := overloadWithFailing("s0")
		probes := int(time.Second/breakerBackoffMin) + 1
		So(c.lost, ShouldBeLessThanOrEqualTo, breakerFailedRuns+4+probes)
		Convey("all its slots are used as soon as a probe succeeds", func() {
			for range 110 {
				c.step(false)
			}
			So(c.runningOn("s0"), ShouldHaveLength, 4)
			So(c.servers["s0"].breaker.open, ShouldBeFalse)
		})
	})
	Convey("A refusal does not close its breaker, since it does not show that runs succeed", t, func() {
		c := overloadWithFailing("s0")
		c.arrive(30)
		c.record(c.advance(breakerBackoffMax))
		for _, g := range c.runningOn("s0") {
			c.finish(g, OutcomeRefused)
		}
		So(c.servers["s0"].breaker.open, ShouldBeTrue)
	})
	Convey("A breaker opened by lost runs closes when a probe is answered, even with a failure", t, func() {
		c := newOverload()
		for range 100 {
			c.step(true)
		}
		So(c.servers["s0"].breaker.open, ShouldBeTrue)
		c.arrive(30)
		c.record(c.advance(breakerBackoffMax))
		for _, g := range c.runningOn("s0") {
			c.finish(g, OutcomeFailed)
		}
		So(c.servers["s0"].breaker.open, ShouldBeFalse)
	})
	Convey("If most servers fail all their runs, only one of them is taken out of use", t, func() {
		c := overloadWithFailing("s0", "s1")
		open := 0
		for _, s := range c.sorted {
			if s.breaker.open {
				open++
			}
		}
		So(open, ShouldEqual, 1)
	})
	Convey("The only server of a pool stays in use", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		for i := range 3 * breakerFailedRuns {
			r.endRun(r.mustGrant(enqueue(fmt.Sprint("r", i), 0)), OutcomeFailed)
		}
		So(r.servers["s0"].breaker.open, ShouldBeFalse)
	})
}
