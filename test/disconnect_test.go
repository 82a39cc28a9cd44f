package test

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// running returns the number of runs that no engine has ended.
func (c *cluster) running() int {
	n := 0
	for _, r := range c.runs() {
		if r.Ended == nil {
			n++
		}
	}
	return n
}

// Guards against: engines run requests of disconnected callers while others wait.
func TestCallersDisconnect(t *testing.T) {
	t.Parallel()
	const slots, left, stay = 3, 9, 6
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1, options: slowEngine, slots: slots})
	Convey("their runs are cancelled, and their waiting requests never run", t, func() {
		_, cancel := c.occupySlots(slots)
		before := len(c.runs())
		queueCtx, cancelQueued := context.WithCancel(t.Context())
		defer cancelQueued()
		abandoned := c.sendConcurrently(queueCtx, "handover", 1, left)
		eventually(t, "the first group waits", func() bool { return c.waitingRequests(testPool) == left })
		remaining := c.sendConcurrently(t.Context(), "tag", 2, stay)
		eventually(t, "the second group waits behind it", func() bool { return c.waitingRequests(testPool) == left+stay })
		cancelQueued()
		abandoned.wg.Wait()
		eventually(t, "the disconnected callers' requests have left the queue", func() bool { return c.waitingRequests(testPool) == stay })
		cancel()
		remaining.wg.Wait()
		complete, refused, failed := checkAnswers(t, c, remaining.all())
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, stay)
		runs := c.runs()
		So(len(runs), ShouldEqual, before+stay)
		cancelled := 0
		for _, r := range runs {
			if r.Outcome == engine.OutcomeCancelled {
				cancelled++
			}
		}
		So(cancelled, ShouldEqual, slots)
		So(c.running(), ShouldEqual, 0)
	})
}

// Guards against: lost caller connections hold slots and block the daemon's exit.
func TestSilentCallerConnectionsMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 2, engines: 1, options: slowEngine, slots: 6})
	Convey("new connections are served, every slot is released, and the daemon exits", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		silenced := startStreams(ctx, 6, 0, roundRobin(c.nodes[:1]))
		eventually(t, "every stream has started", func() bool { return silenced.started.Load() == 6 })
		c.nodes[0].callerLink.proxy.Silence(faultproxy.Both)
		others := c.sendConcurrently(t.Context(), "tag", 7, 20)
		others.wg.Wait()
		complete, refused, failed := checkAnswers(t, c, others.all())
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, 20)
		eventually(t, "every run has ended", func() bool { return c.running() == 0 })
		So(c.nodes[0].stop(), ShouldBeNil)
		cancel()
		silenced.wg.Wait()
		checkAnswers(t, c, silenced.all())
	})
}

// Guards against: a graceful stop truncates answers or loses waiting requests.
func TestGracefulStopWithWaitingAndStreamingRequests(t *testing.T) {
	for name, nodes := range map[string]int{"the only daemon": 1, "one of three": 3} {
		t.Run(name, func(t *testing.T) { testGracefulStop(t, nodes) })
	}
}

func testGracefulStop(t *testing.T, nodes int) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: nodes, engines: 1, options: slowEngine, slots: 4})
	Convey("every request gets its complete answer and the exit code is 0", t, func() {
		victim := c.owner(testPool)
		s := startStreams(t.Context(), 16, 0, roundRobin([]*node{victim}))
		eventually(t, "some requests stream and others wait", func() bool {
			return s.started.Load() >= 1 && c.waitingRequests(testPool) >= 4
		})
		So(victim.stop(), ShouldBeNil)
		s.wg.Wait()
		complete, refused, failed := checkAnswers(t, c, s.all())
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, 16)
	})
}
