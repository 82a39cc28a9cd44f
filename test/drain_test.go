package test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// awaitVersion waits until a configuration version is in force everywhere.
func (c *cluster) awaitVersion(version uint64) {
	c.t.Helper()
	eventually(c.t, "the version is in force at every daemon", func() bool {
		for _, n := range c.nodes {
			if uint64(c.status(n).Configuration.Version) < version {
				return false
			}
		}
		return true
	})
}

// balancer sends callers to the nodes whose /readyz answers, as the
// platform's does; it looks again at intervals.
type balancer struct {
	ready atomic.Pointer[[]*node]
}

func (b *balancer) pick(lane, n int) string {
	ready := *b.ready.Load()
	return ready[(lane+n)%len(ready)].callers.proxy.Addr()
}

// check looks once which nodes are ready. It keeps the last ones where none is.
func (b *balancer) check(nodes []*node) {
	var ready []*node
	for _, n := range nodes {
		resp, err := http.Get("http://" + n.settings.Admin + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, n)
		}
	}
	if len(ready) > 0 {
		b.ready.Store(&ready)
	}
}

// Guards against this: callers get resets and errors while operators roll out a release.
func TestARollingRestartUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 2, options: slowEngine, slots: 6})
	Convey("no caller notices", t, func() {
		b := &balancer{}
		b.check(c.nodes)
		nodes := append([]*node(nil), c.nodes...)
		l := startLoad(t.Context(), 16, 10, b.pick)
		for _, n := range nodes {
			at := l.count()
			eventually(t, "traffic flows", func() bool { return l.count() >= at+32 })
			stopped := make(chan error, 1)
			p := n.process
			go func() { stopped <- p.stop() }()
			for waiting := true; waiting; {
				select {
				case err := <-stopped:
					So(err, ShouldBeNil)
					waiting = false
				case <-time.After(100 * time.Millisecond):
					b.check(nodes)
				}
			}
			c.startNode(n)
			c.awaitReady(n)
			c.awaitMembers()
			b.check(nodes)
		}
		results := l.stop()
		whole, refused, broken := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, len(results))
	})
}

// Guards against this: requests are sent to a backend server that is about to go.
func TestABackendServerLeavesInMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 3, options: slowEngine, slots: 6})
	Convey("its streams end whole and it gets nothing new after the change is in force", t, func() {
		l := startLoad(t.Context(), 16, 20, through(c.nodes))
		eventually(t, "traffic flows", func() bool { return l.count() >= 48 })
		leaving := c.engines[0]
		s := c.backendServer(leaving, 0, plan{slots: 6})
		s.Leaving = true
		c.awaitVersion(uint64(c.put(workspace.KindBackendServer, leaving.name, s)))
		noticed := time.Now()
		at := l.count()
		eventually(t, "traffic goes on", func() bool { return l.count() >= at+150 })
		results := l.stop()
		whole, refused, broken := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, len(results))
		for _, r := range c.runsOf(leaving) {
			So(r.StartedAt, ShouldHappenBefore, noticed.Add(3*time.Second))
		}
	})
}
