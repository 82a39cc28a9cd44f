package test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/workspace"
)

// awaitVersion waits until the configuration version, or a later one, is active at every daemon.
func (c *cluster) awaitVersion(version uint64) {
	c.t.Helper()
	eventually(c.t, "the version is active at every daemon", func() bool {
		for _, n := range c.nodes {
			if uint64(c.status(n).Configuration.Version) < version {
				return false
			}
		}
		return true
	})
}

// balancer sends callers to the nodes whose /readyz returned 200 at the last
// refresh, as the platform's load balancer does.
type balancer struct {
	ready atomic.Pointer[[]*node]
}

func (lb *balancer) pick(caller, n int) string {
	ready := *lb.ready.Load()
	return ready[(caller+n)%len(ready)].callerLink.proxy.Addr()
}

// refresh probes which nodes are ready. If none is, it keeps the previous set.
func (lb *balancer) refresh(nodes []*node) {
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
		lb.ready.Store(&ready)
	}
}

// Guards against: a rolling restart causes connection resets or errors for callers.
func TestRollingRestartUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 2, options: slowEngine, slots: 6})
	Convey("every caller gets complete answers", t, func() {
		lb := &balancer{}
		lb.refresh(c.nodes)
		nodes := append([]*node(nil), c.nodes...)
		l := startLoad(t.Context(), 16, 10, lb.pick)
		for _, n := range nodes {
			before := l.count()
			eventually(t, "traffic flows", func() bool { return l.count() >= before+32 })
			stopped := make(chan error, 1)
			p := n.process
			go func() { stopped <- p.stop() }()
			for waiting := true; waiting; {
				select {
				case err := <-stopped:
					So(err, ShouldBeNil)
					waiting = false
				case <-time.After(100 * time.Millisecond):
					lb.refresh(nodes)
				}
			}
			c.startNode(n)
			c.awaitReady(n)
			c.awaitMembers()
			lb.refresh(nodes)
		}
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
	})
}

// Guards against: requests are sent to a backend server that is leaving.
func TestBackendServerDrainsMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 3, options: slowEngine, slots: 6})
	Convey("its streams complete, and it gets no new requests once the change is active", t, func() {
		l := startLoad(t.Context(), 16, 20, roundRobin(c.nodes))
		eventually(t, "traffic flows", func() bool { return l.count() >= 48 })
		leaving := c.engines[0]
		s := c.backendServer(leaving, 0, clusterSpec{slots: 6})
		s.Leaving = true
		c.awaitVersion(uint64(c.put(workspace.KindBackendServer, leaving.name, s)))
		activeAt := time.Now()
		before := l.count()
		eventually(t, "traffic continues", func() bool { return l.count() >= before+150 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		for _, r := range c.runsOf(leaving) {
			So(r.StartedAt, ShouldHappenBefore, activeAt.Add(3*time.Second))
		}
	})
}
