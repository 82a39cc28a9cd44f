package test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/claim"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	service "github.com/lycheekeel/lycheekeel/internal/standin/service"
)

// dispatchPath is a path of the plain service whose POSTs are not idempotent.
const dispatchPath = "/services/" + testService + "/dispatch/site-7"

// dispatch sends a non-idempotent call.
func dispatch(ctx context.Context, address, key, body string) answer {
	return send(ctx, address, dispatchPath, []byte(body), call{header: map[string]string{
		"Idempotency-Key": key, "X-Lycheekeel-Deadline-Ms": "8000",
	}})
}

// serviceRuns returns the number of POSTs that reached the plain service.
func (c *cluster) serviceRuns() int {
	var calls []service.CallCount
	c.getJSON(c.service.link.target, service.PathCalls, &calls)
	sum := 0
	for _, k := range calls {
		if k.Method == http.MethodPost {
			sum += k.Count
		}
	}
	return sum
}

// Guards against: a call that a caller repeats at several entries runs more than once.
func TestNonIdempotentCallSentToEveryEntryRunsOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	Convey("it runs once; repeats get its answer or a truthful refusal", t, func() {
		for n := range 5 {
			before := c.serviceRuns()
			key, body := fmt.Sprintf("confirm-%d", n), fmt.Sprintf("send crew %d", n)
			var wg conc.WaitGroup
			answers := make([]answer, 9)
			for i := range answers {
				wg.Go(func() {
					answers[i] = dispatch(t.Context(), c.nodes[i%3].callerLink.proxy.Addr(), key, body)
				})
			}
			wg.Wait()
			So(c.serviceRuns()-before, ShouldEqual, 1)
			for _, a := range answers {
				So(a.err, ShouldBeNil)
				So(a.notRun, ShouldNotEqual, true)
			}
			repeated := dispatch(t.Context(), c.nodes[n%3].callerLink.proxy.Addr(), key, body)
			So(repeated.status, ShouldEqual, http.StatusOK)
			So(repeated.text, ShouldContainSubstring, body)
			conflicting := dispatch(t.Context(), c.nodes[n%3].callerLink.proxy.Addr(), key, body+", another one")
			So(conflicting.code, ShouldEqual, "claim_conflict")
			So(c.serviceRuns()-before, ShouldEqual, 1)
		}
	})
}

// Guards against: calls run twice, or are refused as not run although they ran,
// while the store loses answers to writes.
func TestStoreLosesAnswersAfterWrites(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	Convey("each call runs at most once, and its answer tells whether it ran", t, func() {
		c.storeFaults(standin.Faults{LoseFraction: 0.3})
		var ran, refusedNotRun atomic.Int32
		var wg conc.WaitGroup
		for caller := range 6 {
			wg.Go(func() {
				for n := range 8 {
					key := fmt.Sprintf("lost-%d-%d", caller, n)
					a := dispatch(t.Context(), c.nodes[caller%3].callerLink.proxy.Addr(), key, "send crew "+key)
					switch {
					case a.status == http.StatusOK:
						ran.Add(1)
					case a.notRun == true:
						refusedNotRun.Add(1)
					}
				}
			})
		}
		wg.Wait()
		So(ran.Load()+refusedNotRun.Load(), ShouldEqual, 48)
		So(c.serviceRuns(), ShouldEqual, ran.Load())
		So(ran.Load(), ShouldBeGreaterThan, 40)
	})
}

// Guards against: a store outage stops requests that don't need the store.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 2})
	Convey("other requests are served; a non-idempotent call is refused and does not run", t, func() {
		l := startLoad(t.Context(), 9, 5, roundRobin(c.nodes))
		eventually(t, "traffic flows", func() bool { return l.count() >= 50 })
		c.storeFaults(standin.Faults{Down: true})
		before := l.count()
		a := dispatch(t.Context(), c.nodes[0].callerLink.proxy.Addr(), "down-1", "send crew")
		So(a.code, ShouldEqual, "store_unavailable")
		So(a.notRun, ShouldEqual, true)
		So(c.serviceRuns(), ShouldEqual, 0)
		eventually(t, "traffic continues without the store", func() bool { return l.count() >= before+300 })
		c.storeFaults(standin.Faults{})
		eventually(t, "the same call runs after the store has recovered", func() bool {
			return dispatch(t.Context(), c.nodes[1].callerLink.proxy.Addr(), "down-1", "send crew").status == http.StatusOK
		})
		So(c.serviceRuns(), ShouldEqual, 1)
		results := l.stop()
		complete, refused, failed := checkAnswers(t, c, results)
		So(refused, ShouldBeEmpty)
		So(failed, ShouldEqual, 0)
		So(complete, ShouldEqual, len(results))
	})
}

// Guards against: a call that a crashed entry had sent runs a second time.
func TestEntryCrashDuringNonIdempotentCall(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	Convey("the repeat is refused with unknown outcome and does not run", t, func() {
		c.post(c.service.link.target, service.PathFaults, `{"delay_ms": 60000}`)
		victim := c.nodes[0]
		go dispatch(t.Context(), victim.callerLink.proxy.Addr(), "dies-1", "send crew")
		eventually(t, "the call reaches the service", func() bool { return c.serviceRuns() == 1 })
		victim.kill()
		c.post(c.service.link.target, service.PathFaults, `{"delay_ms": 0}`)
		for _, n := range c.nodes[1:] {
			a := dispatch(t.Context(), n.callerLink.proxy.Addr(), "dies-1", "send crew")
			So(a.status, ShouldEqual, http.StatusConflict)
			So(a.notRun, ShouldEqual, "unknown")
		}
		So(c.serviceRuns(), ShouldEqual, 1)
	})
}

// Guards against: a call that was refused as not run stays blocked, or runs.
func TestStoreSlowerThanCallerDeadlines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 1})
	Convey("refused calls don't run, and each runs once when repeated", t, func() {
		c.storeFaults(standin.Faults{SlowMs: 4000})
		const calls = 9
		var wg conc.WaitGroup
		answers := make([]answer, calls)
		for i := range answers {
			wg.Go(func() {
				answers[i] = send(t.Context(), c.nodes[i%3].callerLink.proxy.Addr(), dispatchPath, []byte("send crew"), call{header: map[string]string{
					"Idempotency-Key": fmt.Sprint("slow-", i), "X-Lycheekeel-Deadline-Ms": "1500",
				}})
			})
		}
		wg.Wait()
		for _, a := range answers {
			So(a.notRun, ShouldEqual, true)
			t.Logf("refused: %s", a.code)
		}
		So(c.serviceRuns(), ShouldEqual, 0)
		c.storeFaults(standin.Faults{})
		eventually(t, "the late writes take effect", func() bool {
			claims, err := c.api.List(t.Context(), claim.Kind, "")
			return err == nil && len(claims.Objects) >= calls
		})
		for i := range answers {
			eventually(t, "the call runs after the store has recovered", func() bool {
				a := dispatch(t.Context(), c.nodes[(i+1)%3].callerLink.proxy.Addr(), fmt.Sprint("slow-", i), "send crew")
				if a.status != http.StatusOK {
					t.Logf("repeat refused: %s, not_run %v", a.code, a.notRun)
				}
				return a.status == http.StatusOK
			})
		}
		So(c.serviceRuns(), ShouldEqual, calls)
	})
}
