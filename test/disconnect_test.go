package test

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// running counts the runs that the engines have not ended.
func (c *cluster) running() int {
	n := 0
	for _, r := range c.runs() {
		if r.Ended == nil {
			n++
		}
	}
	return n
}

// Guards against this: engines compute for nobody while callers wait.
func TestCallersDisconnect(t *testing.T) {
	t.Parallel()
	const slots, left, stay = 3, 9, 6
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1, options: slowEngine, slots: slots})
	Convey("their runs are cancelled, and what waited never runs", t, func() {
		_, cancel := c.occupySlots(slots)
		before := len(c.runs())
		queueCtx, cancelQueued := context.WithCancel(t.Context())
		defer cancelQueued()
		abandoned := c.sendConcurrently(queueCtx, "handover", 1, left)
		eventually(t, "they wait", func() bool { return c.waitingRequests(testPool) == left })
		remaining := c.sendConcurrently(t.Context(), "tag", 2, stay)
		eventually(t, "others wait behind them", func() bool { return c.waitingRequests(testPool) == left+stay })
		cancelQueued()
		abandoned.wg.Wait()
		eventually(t, "those that left wait no more", func() bool { return c.waitingRequests(testPool) == stay })
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

// Guards against this: slots and a daemon's exit hang on callers that are not there.
func TestSilentCallerConnectionsMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 2, engines: 1, options: slowEngine, slots: 6})
	Convey("others are served on new connections, every slot comes free, the daemon ends", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		silenced := startStreams(ctx, 6, 0, roundRobin(c.nodes[:1]))
		eventually(t, "every stream has begun", func() bool { return silenced.started.Load() == 6 })
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

// Guards against this: a release cuts answers off, or loses requests that waited.
func TestGracefulStopWithWaitingAndStreamingRequests(t *testing.T) {
	for name, nodes := range map[string]int{"the last one": 1, "one of three": 3} {
		t.Run(name, func(t *testing.T) { testGracefulStop(t, nodes) })
	}
}

func testGracefulStop(t *testing.T, nodes int) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: nodes, engines: 1, options: slowEngine, slots: 4})
	Convey("every request gets its whole answer and the exit code is 0", t, func() {
		victim := c.owner(testPool)
		s := startStreams(t.Context(), 16, 0, roundRobin([]*node{victim}))
		eventually(t, "some stream and others wait", func() bool {
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
