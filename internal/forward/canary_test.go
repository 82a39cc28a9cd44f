package forward

import (
	"cmp"
	"context"
	"net"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/rollout"
)

// fakeRollouts makes every request a canary of v2 while canaries is set.
type fakeRollouts struct {
	mu          sync.Mutex
	canaries    bool
	version     string // default v2
	denyResumes bool
	canaryCalls int
	noSlot      int
	sent        int
	first       int
	ended       []rollout.Run
}

func (f *fakeRollouts) Canary(string, string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canaryCalls++
	if !f.canaries {
		return "", false
	}
	return cmp.Or(f.version, "v2"), true
}

func (f *fakeRollouts) ResumeCanary(string, string) bool { return !f.denyResumes }

func (f *fakeRollouts) RecordNoSlot(string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noSlot++
}

func (f *fakeRollouts) RecordSent(_ string, first bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if first {
		f.first++
	}
	return true
}

func (f *fakeRollouts) RecordEnded(_ string, r rollout.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, r)
}

// canaryRuns tells for each ended attempt, in order, whether it was a canary.
func (f *fakeRollouts) canaryRuns() (out []bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.ended {
		out = append(out, r.Canary)
	}
	return out
}

// outcomes returns the outcomes of the ended attempts, in order.
func (f *fakeRollouts) outcomes() (out []rollout.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.ended {
		out = append(out, r.Outcome)
	}
	return out
}

func (r *harness) withRollouts(canaries bool) *fakeRollouts {
	f := &fakeRollouts{canaries: canaries}
	r.server.deps.Rollouts = f
	return f
}

// Guards against retries that raise a bad version's share of requests.
func TestRetryGoesToStableVersion(t *testing.T) {
	fails := func(_ int, head, _ string, c net.Conn) bool {
		writeSignedAnswer(c, head, "500 Internal Server Error", "bad")
		return true
	}
	succeeds := func(_ int, head, body string, c net.Conn) bool {
		writeSignedAnswer(c, head, "200 OK", body)
		return true
	}
	Convey("A failed canary is retried on the stable version if its route allows it", t, func() {
		r := newHarness(t, newBackend(t, fails), newBackend(t, succeeds))
		f := r.withRollouts(true)
		So(r.call("POST", "/again/", "a", "", "x").status, ShouldEqual, 200)
		So(f.canaryCalls, ShouldEqual, 1)
		So(f.canaryRuns(), ShouldResemble, []bool{true, false})
		So(f.sent, ShouldEqual, 2)
		So(f.first, ShouldEqual, 1)
		So(f.outcomes(), ShouldResemble, []rollout.Outcome{rollout.Failed, rollout.Answered})
	})
	Convey("A canary that may not be repeated ends with the failure", t, func() {
		r := newHarness(t, newBackend(t, fails))
		f := r.withRollouts(true)
		So(r.call("POST", "/once/", "a", "", "x").status, ShouldEqual, 500)
		So(f.canaryRuns(), ShouldResemble, []bool{true})
	})
	Convey("A lost answer counts as broken; a server's report that it did not run the request is not counted", t, func() {
		refuses := func(n int, head, _ string, c net.Conn) bool {
			_, _ = c.Write([]byte("HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nX-Request-Id: " + headerOf(head, "X-Request-Id") + "\r\nContent-Length: 0\r\n\r\n"))
			return true
		}
		closes := func(int, string, string, net.Conn) bool { return false }
		r := newHarness(t, newBackend(t, refuses), newBackend(t, closes), newBackend(t, succeeds))
		f := r.withRollouts(true)
		So(r.call("POST", "/again/", "a", "", "x").status, ShouldEqual, 200)
		So(f.outcomes(), ShouldResemble, []rollout.Outcome{rollout.Broken, rollout.Answered})
		So(f.canaryRuns(), ShouldResemble, []bool{false, false}) // the refused first send was the canary
		So(f.first, ShouldEqual, 1)
		So(f.noSlot, ShouldEqual, 0)
	})
}

func TestCanaryWithoutSlotFallsBackToStable(t *testing.T) {
	Convey("If the new version has no free slot, the stable one is used", t, func() {
		succeeds := func(_ int, head, body string, c net.Conn) bool {
			writeSignedAnswer(c, head, "200 OK", body)
			return true
		}
		r := newHarness(t, newBackend(t, succeeds))
		r.broker.refusal, r.broker.refuseFirst = request.Refuse(request.ReasonShed, "full"), 1
		f := r.withRollouts(true)
		So(r.call("POST", "/once/", "a", "", "x").status, ShouldEqual, 200)
		So(f.noSlot, ShouldEqual, 1)
		So(f.canaryRuns(), ShouldResemble, []bool{false})
	})
}

// Guards against requests that wait in a pool whose servers moved away when a version was promoted.
func TestWaitRestartsWhenPoolIsRemoved(t *testing.T) {
	Convey("A request that waits while a pool of its service is removed asks for a slot again", t, func() {
		succeeds := func(_ int, head, body string, c net.Conn) bool {
			writeSignedAnswer(c, head, "200 OK", body)
			return true
		}
		r := newHarness(t, newBackend(t, succeeds))
		r.broker.unblock = make(chan struct{})
		first, gone := context.WithCancel(context.Background())
		r.server.deps.PoolRemoved = func(string) context.Context {
			if first.Err() == nil {
				return first
			}
			return context.Background()
		}
		answered := make(chan int, 1)
		go func() { answered <- r.call("POST", "/once/", "a", "", "x").status }()
		r.waitUntil("the request waits", func() bool { return r.broker.acquireCount() == 1 })
		gone()
		r.waitUntil("the request asks again", func() bool { return r.broker.acquireCount() == 2 })
		close(r.broker.unblock)
		So(<-answered, ShouldEqual, 200)
	})
}

// Guards against taking a working server out of use because it answers 504 under load.
func TestGatewayTimeoutIsNotAServerFailure(t *testing.T) {
	Convey("A 504 from a server counts as a canceled attempt, a 500 as a failed one", t, func() {
		for status, outcome := range map[string]pool.Outcome{"504 Gateway Timeout": pool.OutcomeCanceled, "500 Internal Server Error": pool.OutcomeFailed} {
			r := newHarness(t, newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
				writeSignedAnswer(c, head, status, "")
				return true
			}))
			r.call("POST", "/once/", "a", "", "x")
			So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{outcome})
		}
	})
}

// Guards against a rollout that is judged by the runs of the stable version's servers.
func TestHedgeOfACanaryIsNoCanary(t *testing.T) {
	first := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
		writeStreamHead(c, head)
		writeChunk(c, eventsText(1, 3))
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	r := newHarnessWithHook(t, startHedgesEarly, first, newBackend(t, streamEvents(6, 0, "")))
	f := r.withRollouts(true)
	got := r.call("POST", "/resume/", "1", "", "x")
	r.waitUntil("both attempts have ended", func() bool { return len(f.canaryRuns()) == 2 })
	Convey("The first attempt is a canary, and its hedge, which goes to the stable version, is none", t, func() {
		So(got.body, ShouldEqual, eventsText(1, 6))
		So(f.canaryRuns(), ShouldResemble, []bool{true, false})
	})
}
