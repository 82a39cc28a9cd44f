package test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// maxConcurrent returns the maximum number of concurrent runs in an engine's run
// log.
func maxConcurrent(runs []engine.RunRecord) int {
	type edge struct {
		at   time.Time
		step int
	}
	var changes []edge
	for _, r := range runs {
		changes = append(changes, edge{r.StartedAt, 1})
		if r.Ended != nil {
			changes = append(changes, edge{*r.Ended, -1})
		}
	}
	slices.SortStableFunc(changes, func(a, b edge) int { return a.at.Compare(b.at) })
	now, peak := 0, 0
	for _, e := range changes {
		now += e.step
		peak = max(peak, now)
	}
	return peak
}

// degradedEntries returns how often daemons entered degraded mode, in which they
// serve from their own static share. Tests log it and assert nothing on it.
func (c *cluster) degradedEntries() (sum int) {
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

// Guards against: during a network partition between daemons, callers of some
// entries are not served, or servers are overloaded.
func TestPartitionBetweenDaemons(t *testing.T) {
	t.Parallel()
	const slots, nodes = 4, 3
	c := newCluster(t, clusterSpec{nodes: nodes, engines: 2, options: slowEngine, slots: slots})
	Convey("every entry serves, no request is lost or run twice, and the members rejoin", t, func() {
		l := startLoad(t.Context(), 18, 5, roundRobin(c.nodes))
		awaitAnswers := func(n int) {
			before := l.count()
			eventually(t, "traffic flows", func() bool { return l.count() >= before+n })
		}
		awaitAnswers(50)
		owner := c.owner(testPool)
		owner.peerLink.proxy.ResetAndRefuse()
		awaitAnswers(120)
		t.Logf("owner partitioned: degraded mode entered %d times", c.degradedEntries())
		for _, n := range c.nodes {
			n.peerLink.proxy.ResetAndRefuse()
		}
		eventually(t, "every daemon sees no other daemon alive", func() bool {
			return !slices.ContainsFunc(c.nodes, func(n *node) bool { return c.countAlive(n) > 1 })
		})
		awaitAnswers(120)
		t.Logf("all daemons partitioned: degraded mode entered %d times", c.degradedEntries())
		for _, n := range c.nodes {
			n.peerLink.proxy.ClearFaults()
		}
		c.awaitMembers()
		c.owner(testPool)
		awaitAnswers(120)
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		for _, e := range c.engines {
			peak := maxConcurrent(c.runsOf(e))
			t.Logf("%s: at most %d concurrent runs, %d slots", e.name, peak, slots)
			So(peak, ShouldBeLessThanOrEqualTo, nodes*slots) // every daemon may own the pool
		}
	})
}
