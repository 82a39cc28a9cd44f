package test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// mostAtOnce returns the most runs that an engine had at the same time, by its
// run log.
func mostAtOnce(runs []engine.RunRecord) int {
	type edge struct {
		at   time.Time
		step int
	}
	var edges []edge
	for _, r := range runs {
		edges = append(edges, edge{r.StartedAt, 1})
		if r.Ended != nil {
			edges = append(edges, edge{*r.Ended, -1})
		}
	}
	slices.SortStableFunc(edges, func(a, b edge) int { return a.at.Compare(b.at) })
	now, most := 0, 0
	for _, e := range edges {
		now += e.step
		most = max(most, now)
	}
	return most
}

// degraded adds up how often daemons served from their own share; tests log
// it, verdicts don't rest on it.
func (c *cluster) degraded() (sum int) {
	for _, n := range c.nodes {
		var vars struct {
			Lycheekeel struct {
				Broker struct {
					Entered int `json:"degraded_entered"`
				}
			}
		}
		c.getJSON(n.settings.Admin, "/debug/vars", &vars)
		sum += vars.Lycheekeel.Broker.Entered
	}
	return sum
}

// Guards against this: callers of some entries wait in vain, or servers are overrun, while the network between daemons fails.
func TestDaemonsCannotReachEachOther(t *testing.T) {
	t.Parallel()
	const slots, nodes = 4, 3
	c := newCluster(t, plan{nodes: nodes, engines: 2, options: slowEngine, slots: slots})
	Convey("every entry goes on, nothing is lost or doubled, and they find together again", t, func() {
		l := startLoad(t.Context(), 18, 5, through(c.nodes))
		flows := func(n int) {
			at := l.count()
			eventually(t, "traffic flows", func() bool { return l.count() >= at+n })
		}
		flows(50)
		owner := c.owner(testPool)
		owner.peers.proxy.Cut()
		flows(120)
		t.Logf("owner cut off: %d times degraded", c.degraded())
		for _, n := range c.nodes {
			n.peers.proxy.Cut()
		}
		eventually(t, "every daemon is alone", func() bool {
			return !slices.ContainsFunc(c.nodes, func(n *node) bool { return c.aliveAt(n) > 1 })
		})
		flows(120)
		t.Logf("all cut off: %d times degraded", c.degraded())
		for _, n := range c.nodes {
			n.peers.proxy.Pass()
		}
		c.awaitMembers()
		c.owner(testPool)
		flows(120)
		results := l.stop()
		whole, refused, broken := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, len(results))
		for _, e := range c.engines {
			most := mostAtOnce(c.runsOf(e))
			t.Logf("%s: at most %d runs at once, %d slots", e.name, most, slots)
			So(most, ShouldBeLessThanOrEqualTo, nodes*slots) // an owner each
		}
	})
}
