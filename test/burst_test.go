package test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// occupyingTokens makes an answer longer than any test; its caller disconnects.
const occupyingTokens = 4000

// occupySlots occupies n slots with answers that stream until their callers
// disconnect. Calling cancel disconnects them.
func (c *cluster) occupySlots(n int) (s *streams, cancel context.CancelFunc) {
	c.t.Helper()
	s = &streams{}
	ctx, cancel := context.WithCancel(c.t.Context())
	for i := range n {
		s.wg.Go(func() {
			req := call{prompt: fmt.Sprintf("%s%d holder %d", engine.PrefixGenerate, occupyingTokens, i), stream: true, maxTokens: occupyingTokens, tier: "handover"}
			req.onFirstText = func() { s.started.Add(1) }
			s.add(req, chat(ctx, c.nodes[i%len(c.nodes)].callerLink.proxy.Addr(), req))
		})
	}
	c.t.Cleanup(func() { cancel(); s.wg.Wait() })
	eventually(c.t, "every slot is occupied", func() bool { return int(s.started.Load()) == n })
	return s, cancel
}

// waitingRequests returns how many requests wait at the pool's owner. Tests use
// it to order their steps, not in assertions.
func (c *cluster) waitingRequests(pool string) int {
	sum := 0
	for _, n := range c.nodes {
		for _, s := range c.status(n).Owned {
			if s.Pool == pool {
				for _, w := range s.Waiting {
					sum += w
				}
			}
		}
	}
	return sum
}

// sendConcurrently sends n requests of one tier concurrently, each from its
// own caller.
func (c *cluster) sendConcurrently(ctx context.Context, tier string, caller, n int) *streams {
	s := &streams{}
	for i := range n {
		s.wg.Go(func() {
			r, _ := echoCall(caller, i, 3)
			r.tier = tier
			s.add(r, chat(ctx, c.nodes[i%len(c.nodes)].callerLink.proxy.Addr(), r))
		})
	}
	return s
}

// Guards against: urgent requests are refused in a burst while low-tier requests
// are run.
//
// All slots stay occupied until every refusal has arrived, and all low-tier
// requests wait before the burst begins. So a low-tier request that runs was
// waiting while a higher one was refused.
func TestBurstShedsLowestTierFirst(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1, options: slowEngine, slots: burstSlots})
	Convey("no higher tier is shed while a lower tier waits", t, func() {
		urgent, tags := c.burst("")
		So(urgent.complete, ShouldEqual, burstQueue)
		So(urgent.refused, ShouldResemble, map[string]int{"shed": burstSize - burstQueue})
		So(tags.complete, ShouldEqual, 0)
		So(tags.refused, ShouldResemble, map[string]int{"shed": burstQueue})
	})
	// Guards against: an accepted change of a pool's policy has no effect.
	Convey("under the fifo policy the requests that came first stay queued", t, func() {
		urgent, tags := c.burst("fifo")
		So(tags.complete, ShouldEqual, burstQueue)
		So(tags.refused, ShouldBeEmpty)
		So(urgent.complete, ShouldEqual, 0)
		So(urgent.refused, ShouldResemble, map[string]int{"shed": burstSize})
	})
}

const burstSlots, burstQueue, burstSize = 4, 12, 40

// outcome counts complete answers, and refusals by code.
type outcome struct {
	complete int
	refused  map[string]int
}

// burst fills the queue with requests of tier "tag" while every slot is
// occupied, sends a burst of the highest tier, and releases the slots once all
// excess requests are refused.
func (c *cluster) burst(policy string) (urgent, tags outcome) {
	c.awaitVersion(uint64(c.put(workspace.KindPool, testPool, workspace.Pool{
		Name: testPool, Region: testRegion, Model: testModel, Version: "v1", MaxWaiting: burstQueue, Policy: policy,
	})))
	_, cancel := c.occupySlots(burstSlots)
	before := len(c.runs())
	low := c.sendConcurrently(c.t.Context(), "tag", 1, burstQueue)
	eventually(c.t, "the queue is full of low-tier requests", func() bool { return c.waitingRequests(testPool) == burstQueue })
	high := c.sendConcurrently(c.t.Context(), "handover", 2, burstSize)
	eventually(c.t, "the excess requests are refused", func() bool { return low.count()+high.count() >= burstSize })
	So(len(c.runs()), ShouldEqual, before) // no request ran: every slot was occupied
	cancel()
	low.wg.Wait()
	high.wg.Wait()
	for _, r := range append(high.all(), low.all()...) {
		So(r.answer.complete || r.answer.notRun == true, ShouldBeTrue)
	}
	return c.outcomeOf(high), c.outcomeOf(low)
}

func (c *cluster) outcomeOf(s *streams) outcome {
	complete, refused, failed := checkAnswers(c.t, c, s.all())
	So(failed, ShouldEqual, 0)
	return outcome{complete, refused}
}

// Guards against: a straggler keeps its share of requests, so its answers take ten times as long.
func TestStragglerWithLateAndMissingReports(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 3, options: slowEngine, slots: 6})
	Convey("its share falls, and every caller gets its own complete answer", t, func() {
		for i, e := range c.engines {
			c.engineFaults(e, fmt.Sprintf(`{"report_lag_ms": 1500, "drop_events": %d}`, i+1))
		}
		l := startLoad(t.Context(), 16, 10, roundRobin(c.nodes))
		eventually(t, "traffic flows", func() bool { return l.count() >= 100 })
		slow := c.engines[0]
		c.engineFaults(slow, `{"speed": 0.1}`)
		before, ran, all := l.count(), len(c.runsOf(slow)), len(c.runs())
		eventually(t, "traffic continues", func() bool { return l.count() >= before+300 })
		share := float64(len(c.runsOf(slow))-ran) / float64(len(c.runs())-all)
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		t.Logf("the straggler's share of the runs: %.3f", share)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
		So(share, ShouldBeLessThan, 0.2) // from one third; a share in proportion to speed would be 0.05
	})
}
