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
func TestCallersLeave(t *testing.T) {
	t.Parallel()
	const slots, left, stay = 3, 9, 6
	c := newCluster(t, plan{nodes: 3, engines: 1, options: slowEngine, slots: slots})
	Convey("their runs are cancelled, and what waited never runs", t, func() {
		_, leave := c.startHolders(slots)
		held := len(c.runs())
		going, leaveQueue := context.WithCancel(t.Context())
		defer leaveQueue()
		gone := c.sendAll(going, "handover", 1, left)
		eventually(t, "they wait", func() bool { return c.waiting(testPool) == left })
		staying := c.sendAll(t.Context(), "tag", 2, stay)
		eventually(t, "others wait behind them", func() bool { return c.waiting(testPool) == left+stay })
		leaveQueue()
		gone.lanes.Wait()
		eventually(t, "those that left wait no more", func() bool { return c.waiting(testPool) == stay })
		leave()
		staying.lanes.Wait()
		whole, refused, broken := checkAnswers(t, c, staying.all())
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, stay)
		runs := c.runs()
		So(len(runs), ShouldEqual, held+stay)
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
func TestCallerConnectionsGoSilentInMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 2, engines: 1, options: slowEngine, slots: 6})
	Convey("others are served on new connections, every slot comes free, the daemon ends", t, func() {
		ctx, leave := context.WithCancel(t.Context())
		lost := startStreams(ctx, 6, 0, through(c.nodes[:1]))
		eventually(t, "every stream has begun", func() bool { return lost.begun.Load() == 6 })
		c.nodes[0].callers.proxy.Silence(faultproxy.Both)
		others := c.sendAll(t.Context(), "tag", 7, 20)
		others.lanes.Wait()
		whole, refused, broken := checkAnswers(t, c, others.all())
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, 20)
		eventually(t, "every run has ended", func() bool { return c.running() == 0 })
		So(c.nodes[0].stop(), ShouldBeNil)
		leave()
		lost.lanes.Wait()
		checkAnswers(t, c, lost.all())
	})
}

// Guards against this: a release cuts answers off, or loses requests that waited.
func TestADaemonStopsWithWaitingAndStreamingRequests(t *testing.T) {
	for name, nodes := range map[string]int{"the last one": 1, "one of three": 3} {
		t.Run(name, func(t *testing.T) { testStop(t, nodes) })
	}
}

func testStop(t *testing.T, nodes int) {
	t.Parallel()
	c := newCluster(t, plan{nodes: nodes, engines: 1, options: slowEngine, slots: 4})
	Convey("every request gets its whole answer and the exit code is 0", t, func() {
		victim := c.owner(testPool)
		s := startStreams(t.Context(), 16, 0, through([]*node{victim}))
		eventually(t, "some stream and others wait", func() bool {
			return s.begun.Load() >= 1 && c.waiting(testPool) >= 4
		})
		So(victim.stop(), ShouldBeNil)
		s.lanes.Wait()
		whole, refused, broken := checkAnswers(t, c, s.all())
		So(refused, ShouldBeEmpty)
		So(broken, ShouldEqual, 0)
		So(whole, ShouldEqual, 16)
	})
}
