package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// rolloutCluster is two gateways in front of three servers of version v1, with callers.
type rolloutCluster struct {
	*cluster
	nodes    []*node
	failed   atomic.Int64 // answers that were not a server's whole answer
	requests atomic.Int64
}

func newRolloutCluster(t *testing.T) *rolloutCluster {
	c := &rolloutCluster{cluster: newCluster(t)}
	for i := range 3 {
		c.addVersion(fmt.Sprint("old-", i), "app", "v1")
	}
	c.putConfig()
	c.nodes = []*node{c.start("a"), c.start("b")}
	for _, n := range c.nodes {
		eventually(t, n.settings.Name+" serves", func() bool { return n.status("/again/", "first", "key-1") == 200 })
	}
	return c
}

// rollOut requests the rollout and adds the servers of v2, which configure may make faulty.
func (c *rolloutCluster) rollOut(durationS float64, configure func(*standin.Server)) {
	c.store.PutRollout("app", "v2", durationS)
	for i := range 3 {
		b := &standin.Server{ID: fmt.Sprint("new-", i)}
		configure(b)
		c.servers[b.ID] = b
		c.store.PutServerVersion(b.ID, "app", c.serve(b.Serve), "v2", 4)
	}
}

// burstSize is the number of requests that show whether a version gets any: a canary's share
// of them is several.
const burstSize = 200

// idle reports whether servers with a prefix get none of a burst of requests, all of which the
// others serve.
func (c *rolloutCluster) idle(prefix, others string) bool {
	before, served := c.arrivals(prefix), c.arrivals(others)
	for i := range burstSize {
		c.nodes[i%2].status("/again/", fmt.Sprint(prefix, c.requests.Add(1)), "key-1")
	}
	return c.arrivals(prefix) == before && c.arrivals(others) >= served+burstSize
}

// call sends requests from several callers until the condition holds.
func (c *rolloutCluster) call(until func() bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for caller := range 8 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("c%d-%d", caller, i)
				status, body, err := c.nodes[caller%2].call("POST", "/again/", id, "key-1", id)
				c.requests.Add(1)
				if err != nil || status != 200 || !strings.HasSuffix(body, " "+id) {
					c.failed.Add(1)
				}
			}
		})
	}
	eventually(c.t, "the rollout has an outcome", until)
	cancel()
	wg.Wait()
}

func (c *rolloutCluster) state() string {
	state, to := c.store.RolloutState("app")
	if to != "v2" {
		return ""
	}
	return state
}

// arrivals returns how many requests the servers with a prefix have started.
func (c *rolloutCluster) arrivals(prefix string) int {
	n := 0
	for id, b := range c.servers {
		if strings.HasPrefix(id, prefix) {
			n += len(b.Arrivals())
		}
	}
	return n
}

// Guards against a good version that is never promoted.
func TestGoodVersionIsPromoted(t *testing.T) {
	Convey("A good version is promoted, and then gets every request", t, func() {
		c := newRolloutCluster(t)
		c.rollOut(4, func(*standin.Server) {})
		eventually(t, "the rollout is acknowledged", func() bool { return c.state() == "running" })
		c.call(func() bool { return c.state() == "succeeded" })
		So(c.failed.Load(), ShouldEqual, 0)
		eventually(t, "all requests go to the new version", func() bool { return c.idle("old-", "new-") })
	})
}

// Guards against a bad version that gets its whole share of the traffic.
func TestBadVersionIsRolledBack(t *testing.T) {
	for what, configure := range map[string]func(*standin.Server){
		"fails half":  func(b *standin.Server) { b.Fails = func(n int) bool { return n%2 == 0 } },
		"fails later": func(b *standin.Server) { b.Fails = func(n int) bool { return n > 15 } },
		"is slow":     func(b *standin.Server) { b.Delay = 40 * time.Millisecond },
	} {
		Convey("A version that "+what+" is rolled back, and gets no more than its share", t, func() {
			c := newRolloutCluster(t)
			c.rollOut(8, configure)
			c.call(func() bool { return c.state() == "rolled_back" })
			So(c.arrivals("new-"), ShouldBeGreaterThan, 0)
			So(c.arrivals("new-"), ShouldBeLessThanOrEqualTo, c.requests.Load()/10+50)
			eventually(t, "the new version gets no more requests", func() bool { return c.idle("new-", "old-") })
		})
	}
}

// Guards against a bad version that stays in use during an outage of the store.
func TestBadVersionIsRolledBackDuringStoreOutage(t *testing.T) {
	Convey("A bad version gets no more requests during an outage of the store, and its rollback is written later", t, func() {
		c := newRolloutCluster(t)
		var bad atomic.Bool
		c.rollOut(30, func(b *standin.Server) { b.Fails = func(int) bool { return bad.Load() } })
		c.call(func() bool { return c.arrivals("new-") >= 3 })
		c.store.SetFaults(standin.Faults{Busy: true})
		bad.Store(true)
		eventually(t, "the new version gets no more requests", func() bool { return c.idle("new-", "old-") })
		So(c.state(), ShouldEqual, "running")
		c.store.SetFaults(standin.Faults{})
		eventually(t, "the outcome is written", func() bool { return c.state() == "rolled_back" })
	})
}

// Guards against a rollout with two outcomes, or none.
func TestOneOutcomeWhenStoreAnswersAreLost(t *testing.T) {
	Convey("When answers to writes are lost, there is one outcome, and it does not change", t, func() {
		c := newRolloutCluster(t)
		c.store.SetFaults(standin.Faults{LoseWriteAnswers: true})
		c.rollOut(8, func(b *standin.Server) { b.Fails = func(n int) bool { return n%2 == 0 } })
		c.call(func() bool { return c.state() == "rolled_back" })
		writes := c.store.Calls("PUT")
		c.call(func() bool { return c.requests.Load() > 2000 })
		So(c.state(), ShouldEqual, "rolled_back")
		So(c.store.Calls("PUT"), ShouldBeLessThanOrEqualTo, writes+1) // one may have been in flight
	})
}

// Guards against a rollout without an outcome, and a bad version that is promoted.
func TestRolloutSurvivesLossOfItsDecider(t *testing.T) {
	for _, leaving := range []int{0, 1} {
		Convey(fmt.Sprint("A bad version is rolled back when daemon ", leaving, " leaves during the rollout"), t, func() {
			c := newRolloutCluster(t)
			c.rollOut(12, func(b *standin.Server) { b.Fails = func(n int) bool { return n%3 == 0 } })
			c.call(func() bool { return c.arrivals("new-") >= 1 })
			c.nodes[leaving].stop()
			c.nodes = []*node{c.nodes[1-leaving], c.nodes[1-leaving]}
			c.call(func() bool { return c.state() == "rolled_back" })
		})
	}
}

// Guards against servers of a withdrawn rollout that still get requests.
func TestWithdrawnRolloutEndsItsCanaries(t *testing.T) {
	Convey("When the rollout is withdrawn the new version gets no more requests", t, func() {
		c := newRolloutCluster(t)
		c.rollOut(30, func(*standin.Server) {})
		c.call(func() bool { return c.arrivals("new-") >= 3 })
		c.store.Remove(standin.KindRollouts, "app")
		eventually(t, "the new version gets no more requests", func() bool { return c.idle("new-", "old-") })
	})
}

// Guards against a rollout to the running version that leaves the service without servers.
func TestRolloutToTheRunningVersion(t *testing.T) {
	Convey("A rollout to the running version succeeds, and no request fails", t, func() {
		c := newRolloutCluster(t)
		c.store.PutRollout("app", "v1", 6)
		c.call(func() bool {
			state, to := c.store.RolloutState("app")
			return state == "succeeded" && to == "v1"
		})
		So(c.failed.Load(), ShouldEqual, 0)
	})
}

// Guards against a rollout that runs forever.
func TestRolloutWithoutServersIsRolledBack(t *testing.T) {
	Convey("A version without servers is rolled back at the deadline", t, func() {
		c := newRolloutCluster(t)
		c.store.PutRollout("app", "v2", 2)
		c.call(func() bool { return c.state() == "rolled_back" })
		So(c.failed.Load(), ShouldEqual, 0)
	})
}

// Guards against a rollout that is decided long after its deadline.
func TestRolloutKeepsItsDeadlineWhenAllDaemonsRestart(t *testing.T) {
	Convey("The new daemons restore the rollout's age", t, func() {
		c := newRolloutCluster(t)
		c.store.PutRollout("app", "v2", 3600) // it has no servers
		eventually(t, "the rollout is acknowledged", func() bool { return c.state() == "running" })
		// The record outlives the daemons. Aged by an hour, it shows that the deadline has passed.
		eventually(t, "its record is written", func() bool { return c.store.AgeRolloutRecord("app", time.Hour) })
		for _, n := range c.nodes {
			n.stop()
			<-n.done
		}
		c.seeds = nil
		c.start("c")
		eventually(t, "the rollout is decided", func() bool { return c.state() == "rolled_back" })
	})
}

// Guards against: the store is restored from a backup older than a rollback, and the version that
// was rolled back is tried on callers again.
func TestRolledBackVersionIsNotTriedAgainAfterRestore(t *testing.T) {
	Convey("Given a version that was rolled back, and a backup of the store from before", t, func() {
		c := newRolloutCluster(t)
		c.store.SetEra(1)
		c.rollOut(8, func(b *standin.Server) { b.Fails = func(int) bool { return true } })
		eventually(t, "the rollout is acknowledged", func() bool { return c.state() == "running" })
		backup := c.store.Backup()
		c.call(func() bool { return c.state() == "rolled_back" })
		eventually(t, "it gets no more", func() bool { return c.idle("new-", "old-") })
		before := c.arrivals("new-")

		c.store.Restore(backup)
		c.call(func() bool { return c.state() == "rolled_back" })
		Convey("it gets no request, and the rollback is written again", func() {
			So(c.idle("new-", "old-"), ShouldBeTrue)
			So(c.arrivals("new-"), ShouldEqual, before)
		})
	})
}

// Guards against: the store has lost which versions a service had, and streams that are taken up
// after all daemons were killed go on at any of them.
func TestVersionsAreArchivedAgainAfterRestore(t *testing.T) {
	Convey("Given a service with two versions, and a backup of the store that lacks that", t, func() {
		c := newRolloutCluster(t)
		c.store.SetEra(1)
		backup := c.store.Backup()
		c.addVersion("other", "app", "v2")
		archived := func() bool { return len(c.store.Spec("lycheekeel-versions", "app")) > 0 }
		eventually(t, "the versions are archived", archived)
		c.store.Restore(backup)
		So(archived(), ShouldBeFalse)
		c.addVersion("other", "app", "v2")
		Convey("they are archived again", func() {
			eventually(t, "the versions are archived again", archived)
		})
	})
}
