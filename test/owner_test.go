package test

import (
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// slowEngine makes answers take a second or two, so that failures meet
// requests that run and requests that wait.
var slowEngine = engine.Options{StepMs: 20, Slots: 8}

// others returns every node but one.
func (c *cluster) others(excluded *node) []*node {
	var out []*node
	for _, n := range c.nodes {
		if n != excluded {
			out = append(out, n)
		}
	}
	return out
}

// roundRobin picks the caller address of nodes in turn.
func roundRobin(nodes []*node) func(caller, n int) string {
	return func(caller, n int) string { return nodes[(caller+n)%len(nodes)].callerLink.proxy.Addr() }
}

// firstRunAfter returns how long after a moment the first run started that
// the engines took on later than it.
func (c *cluster) firstRunAfter(at time.Time) (time.Duration, bool) {
	var first time.Time
	for _, r := range c.runs() {
		if r.StartedAt.After(at) && (first.IsZero() || r.StartedAt.Before(first)) {
			first = r.StartedAt
		}
	}
	return first.Sub(at), !first.IsZero()
}

// Guards against this: after a VM's death, callers of the other entries get errors or wait for ever.
func TestOwnerCrash(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 4, engines: 2, options: slowEngine, slots: 4})
	Convey("the requests of the other entries are all answered whole, once", t, func() {
		owner := c.owner(testPool)
		l := startLoad(t.Context(), 30, 10, roundRobin(c.others(owner)))
		eventually(t, "traffic flows", func() bool { return l.count() >= 60 })
		owner.kill()
		before, killed := l.count(), time.Now()
		eventually(t, "traffic flows again", func() bool { return l.count() >= before+120 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		after, ok := c.firstRunAfter(killed)
		So(ok, ShouldBeTrue)
		t.Logf("first run after the owner's death: %v", after)
		for _, e := range c.engines {
			peak := maxConcurrent(c.runsOf(e))
			t.Logf("%s: at most %d runs at once, 4 slots", e.name, peak)
			So(peak, ShouldBeLessThanOrEqualTo, 2*4) // the old owner's and the new one's
		}
	})
}

// Guards against this: servers are overrun, or requests run twice, after a daemon comes back from a pause.
func TestOwnerPauseAndResume(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 4, engines: 2, options: slowEngine, slots: 4})
	Convey("no request is lost or doubled while there are two owners", t, func() {
		owner := c.owner(testPool)
		l := startLoad(t.Context(), 30, 10, roundRobin(c.others(owner)))
		eventually(t, "traffic flows", func() bool { return l.count() >= 60 })
		owner.signal(syscall.SIGSTOP)
		eventually(t, "another owner", func() bool {
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
		eventually(t, "traffic flows again", func() bool { return l.count() >= before+90 })
		owner.signal(syscall.SIGCONT)
		c.awaitMembers()
		before = l.count()
		eventually(t, "traffic goes on", func() bool { return l.count() >= before+90 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
	})
}

// Guards against this: a caller's request is run by nobody or by two after its entry died.
func TestEntryCrashWithWaitingRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 4, engines: 2, options: slowEngine, slots: 3})
	Convey("only its own callers notice, and its slots are free again", t, func() {
		victim := c.others(c.owner(testPool))[0]
		lost := startLoad(t.Context(), 9, 10, roundRobin([]*node{victim}))
		l := startLoad(t.Context(), 9, 10, roundRobin(c.others(victim)))
		eventually(t, "traffic flows", func() bool { return l.count() >= 30 && lost.count() >= 10 })
		lost.cancel() // what was sent stays; nobody calls a dead entry again and again
		victim.kill()
		before := l.count()
		eventually(t, "traffic goes on at the others", func() bool { return l.count() >= before+120 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		checkAnswers(t, c, lost.stop())
		eventually(t, "nothing runs at the owner any more", func() bool {
			for _, s := range c.status(c.owner(testPool)).Owned {
				if s.Pool == testPool {
					return s.Running == 0
				}
			}
			return false
		})
	})
}
