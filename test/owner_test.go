package test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// slowEngine makes answers take one to two seconds, so that faults hit both
// running and waiting requests.
var slowEngine = engine.Options{StepMs: 20, Slots: 8}

// others returns every node except one.
func (c *cluster) others(excluded *node) []*node {
	var out []*node
	for _, n := range c.nodes {
		if n != excluded {
			out = append(out, n)
		}
	}
	return out
}

// roundRobin returns a function that picks the nodes' caller addresses in turn.
func roundRobin(nodes []*node) func(caller, n int) string {
	return func(caller, n int) string { return nodes[(caller+n)%len(nodes)].callerLink.proxy.Addr() }
}

// firstRunAfter returns the time from at to the start of the first later run, or
// false if there is none.
func (c *cluster) firstRunAfter(at time.Time) (time.Duration, bool) {
	var first time.Time
	for _, r := range c.runs() {
		if r.StartedAt.After(at) && (first.IsZero() || r.StartedAt.Before(first)) {
			first = r.StartedAt
		}
	}
	return first.Sub(at), !first.IsZero()
}

// Guards against: after the loss of a VM, callers of the other entries get errors or wait forever.
func TestOwnerCrash(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 4, engines: 2, options: slowEngine, slots: 4})
	Convey("all requests of the other entries are answered completely and run once", t, func() {
		owner := c.owner(testPool)
		l := startLoad(t.Context(), 30, 10, roundRobin(c.others(owner)))
		eventually(t, "traffic flows", func() bool { return l.count() >= 60 })
		owner.kill()
		before, killed := l.count(), time.Now()
		eventually(t, "traffic resumes", func() bool { return l.count() >= before+120 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		after, ok := c.firstRunAfter(killed)
		So(ok, ShouldBeTrue)
		t.Logf("first run after the owner was killed: %v", after)
		for _, e := range c.engines {
			peak := maxConcurrent(c.runsOf(e))
			t.Logf("%s: at most %d concurrent runs, 4 slots", e.name, peak)
			So(peak, ShouldBeLessThanOrEqualTo, 2*4) // runs of the old owner and of the new one
		}
	})
}

// Guards against: requests are lost or run twice after a paused owner resumes.
func TestOwnerPauseAndResume(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 4, engines: 2, options: slowEngine, slots: 4})
	Convey("no request is lost or run twice while there are two owners", t, func() {
		owner := c.owner(testPool)
		l := startLoad(t.Context(), 30, 10, roundRobin(c.others(owner)))
		eventually(t, "traffic flows", func() bool { return l.count() >= 60 })
		owner.signal(syscall.SIGSTOP)
		eventually(t, "the other nodes see a new owner", func() bool {
			for _, n := range c.others(owner) {
				for _, p := range c.status(n).Pools {
					if p.Pool == testPool && p.Owner == owner.settings.Name {
						return false
					}
				}
			}
			return true
		})
		before := l.count()
		eventually(t, "traffic resumes", func() bool { return l.count() >= before+90 })
		owner.signal(syscall.SIGCONT)
		c.awaitMembers()
		before = l.count()
		eventually(t, "traffic continues", func() bool { return l.count() >= before+90 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
	})
}

// Guards against: a request is never run, or is run twice, after its entry crashed.
func TestEntryCrashWithWaitingRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 4, engines: 2, options: slowEngine, slots: 3})
	Convey("only its own callers are affected, and its slots are released", t, func() {
		victim := c.others(c.owner(testPool))[0]
		lost := startLoad(t.Context(), 9, 10, roundRobin([]*node{victim}))
		l := startLoad(t.Context(), 9, 10, roundRobin(c.others(victim)))
		eventually(t, "traffic flows", func() bool { return l.count() >= 30 && lost.count() >= 10 })
		lost.cancel() // stops new requests, which would only fail at a dead entry; those in flight stay
		victim.kill()
		before := l.count()
		eventually(t, "traffic continues at the other entries", func() bool { return l.count() >= before+120 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		checkAnswers(t, c, lost.stop())
		eventually(t, "the owner has no running requests", func() bool {
			for _, s := range c.status(c.owner(testPool)).Owned {
				if s.Pool == testPool {
					return s.Running == 0
				}
			}
			return false
		})
	})
}
