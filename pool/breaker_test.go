package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// overload is a pool of two servers, four slots each, whose slots all run and for which
// more wait; s0 goes down. Every entry has some of the requests.
type overload struct {
	*harness
	nextID         int
	running        map[GrantID]Grant
	lost           int // that broke on s0 after it went down
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

// arrive lets n requests come, of all tiers in turn.
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

// step lets 10 ms pass in which requests come, and what runs on s0 breaks where it
// is down; else it ends.
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

// Guards against a server that is down and, alone with a free slot, draws all that waits.
func TestDownServerGetsOnlyProbes(t *testing.T) {
	Convey("Given a pool that is full, and a server that goes down", t, func() {
		c := newOverload()
		for range 100 {
			c.step(true)
		}
		Convey("it takes what ran there, and a probe now and then", func() {
			So(c.lost, ShouldBeLessThanOrEqualTo, 4+breakerLostRuns+4)
		})
		Convey("the probes are of the lowest tier that waits", func() {
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
		Convey("it is used whole as soon as a probe gets through", func() {
			for range 110 {
				c.step(false)
			}
			So(c.runningOn("s0"), ShouldHaveLength, 4)
			So(c.breakerChanges, ShouldResemble, []BreakerChanged{{Server: "s0", Open: true}, {Server: "s0", Open: false}})
		})
		Convey("it counts as full to the sibling pools meanwhile", func() {
			So(c.Summary(c.now).Free, ShouldEqual, 0)
		})
		Convey("and it is new when it starts again", func() {
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
	Convey("A server that answers in between is not down, though a part of its answers is lost", t, func() {
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
	Convey("Its own refusals are answers", t, func() {
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
	Convey("Failures of its own are answers, while it answers otherwise in between", t, func() {
		c := newOverload()
		for range 50 {
			for i, g := range c.runningOn("s0") {
				c.finish(g, []Outcome{OutcomeFailed, OutcomeDone}[i%2])
			}
			c.arrive(8)
			So(c.servers["s0"].breaker.open, ShouldBeFalse)
		}
	})
	Convey("A single entry whose runs break may be what is cut off", t, func() {
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
	Convey("Where there is no other entry its word is enough", t, func() {
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
	Convey("Where every server is down each is probed all the same", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		for i := range breakerLostRuns {
			r.endRun(r.mustGrant(enqueue(fmt.Sprint("r", i), 0)), OutcomeStreamLost)
		}
		So(grants(r.send(enqueue("waits", 0))), ShouldBeEmpty)
		So(grants(r.advance(breakerBackoffMin)), ShouldHaveLength, 1)
	})
}

// overloadWithFailing is a crowd before three servers, of which some fail all they run, at once.
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

// Guards against a server that fails all it runs at once and, alone with a free slot, draws all that waits.
func TestFailingServerGetsOnlyProbes(t *testing.T) {
	Convey("A server that fails all it runs gets a probe now and then", t, func() {
		c := overloadWithFailing("s0")
		probes := int(time.Second/breakerBackoffMin) + 1
		So(c.lost, ShouldBeLessThanOrEqualTo, breakerFailedRuns+4+probes)
		Convey("and is used whole as soon as one succeeds", func() {
			for range 110 {
				c.step(false)
			}
			So(c.runningOn("s0"), ShouldHaveLength, 4)
			So(c.servers["s0"].breaker.open, ShouldBeFalse)
		})
	})
	Convey("A refusal does not bring it back: it says nothing of how its runs end", t, func() {
		c := overloadWithFailing("s0")
		c.arrive(30)
		c.record(c.advance(breakerBackoffMax))
		for _, g := range c.runningOn("s0") {
			c.finish(g, OutcomeRefused)
		}
		So(c.servers["s0"].breaker.open, ShouldBeTrue)
	})
	Convey("A server that was down is back when it answers a probe, if with a failure", t, func() {
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
	Convey("Where most servers fail all they run, it is no matter of single ones: one is left out", t, func() {
		c := overloadWithFailing("s0", "s1")
		open := 0
		for _, s := range c.sorted {
			if s.breaker.open {
				open++
			}
		}
		So(open, ShouldEqual, 1)
	})
	Convey("A pool's only server stays in use", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		for i := range 3 * breakerFailedRuns {
			r.endRun(r.mustGrant(enqueue(fmt.Sprint("r", i), 0)), OutcomeFailed)
		}
		So(r.servers["s0"].breaker.open, ShouldBeFalse)
	})
}
