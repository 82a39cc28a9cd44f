package test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
)

// runsWithIDs counts the runs of all engines that have one of the request IDs.
func (c *cluster) runsWithIDs(ids map[string]bool) int {
	n := 0
	for _, r := range c.runs() {
		if ids[r.RequestID] {
			n++
		}
	}
	return n
}

// Guards against: a request that crashes engines is retried on one after the
// other, and other callers' answers on them are lost.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 4, options: engine.Options{StepMs: 10, RestartMs: 400}})
	Convey("it is refused after 2 or 3 crashes, and other requests are served", t, func() {
		for _, e := range c.engines {
			c.engineFaults(e, `{"crash_text": "deadly snag"}`)
		}
		l := startLoad(t.Context(), 6, 10, roundRobin(c.nodes))
		eventually(t, "traffic flows", func() bool { return l.count() >= 30 })
		ids := map[string]bool{}
		sent, started := 0, time.Now()
		eventually(t, "the request is confirmed as the cause", func() bool {
			a := chat(t.Context(), c.nodes[sent%3].callerLink.proxy.Addr(), call{prompt: "a deadly snag list", tier: "handover"})
			sent++
			t.Logf("sending %d: %d %s after %v, not_run %v, %v", sent, a.status, a.code, time.Since(started), a.notRun, a.err)
			ids[a.requestID] = true
			return a.code == "convicted"
		})
		crashes := c.runsWithIDs(ids)
		for _, n := range c.nodes {
			eventually(t, "every entry refuses the request", func() bool {
				a := chat(t.Context(), n.callerLink.proxy.Addr(), call{prompt: "a deadly snag list", tier: "handover"})
				return a.code == "convicted" && a.notRun == true && a.status == http.StatusUnprocessableEntity
			})
		}
		before := l.count()
		eventually(t, "other requests are served", func() bool { return l.count() >= before+60 })
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		t.Logf("crashes before confirmation: %d, sent %d times; other requests: %d complete, %v refused, %d failed",
			crashes, sent, complete, refused, failed)
		So(crashes, ShouldBeBetweenOrEqual, 2, 3)
		So(refused["convicted"], ShouldEqual, 0)
		So(complete, ShouldBeGreaterThan, len(results)-20)
	})
}
