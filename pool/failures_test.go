package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against a failing server that is preferred, even for a request that it has
// failed before, because its slots are free again first.
func TestFailingServerIsChosenLast(t *testing.T) {
	call := func(id string, sentTo ...string) Enqueue {
		return Enqueue{
			Request: request.ID(id), Entry: "e1", Workspace: "w", Template: "t",
			FirstTokenIn: 300 * time.Millisecond, DeadlineIn: 4 * time.Second, SentTo: sentTo,
		}
	}
	Convey("Given one server that fails its runs at once and two that complete theirs", t, func() {
		r := newHarness(Config{}, servers(3, 4)...)
		failed := 0
		for i := range 120 {
			g := r.mustGrant(call(fmt.Sprint(i)))
			end := Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Total: 60 * time.Millisecond}
			r.now = r.now.Add(10 * time.Millisecond)
			if g.Server == "s0" {
				failed++
				end.Outcome, end.Total = OutcomeFailed, time.Millisecond
			}
			r.send(end)
		}
		Convey("it soon gets few requests while the others have free slots", func() {
			So(failed, ShouldBeLessThan, 20)
		})
		Convey("its failure rate falls when its runs succeed", func() {
			before := r.servers["s0"].failureRate.at(r.now)
			for i := range 9 {
				g := r.mustGrant(call(fmt.Sprint("again", i), "s1", "s2"))
				So(g.Server, ShouldEqual, "s0")
				r.endRun(g, OutcomeDone)
			}
			So(r.servers["s0"].failureRate.at(r.now), ShouldBeLessThan, before/2)
		})
		Convey("its failure rate decays without runs", func() {
			r.now = r.now.Add(2 * time.Minute)
			So(r.servers["s0"].failureRate.at(r.now), ShouldBeLessThan, 0.001)
		})
		Convey("it gets requests when the others are full", func() {
			for i := range 8 {
				r.mustGrant(call(fmt.Sprint("full", i)))
			}
			So(r.mustGrant(call("more")).Server, ShouldEqual, "s0")
		})
	})
	Convey("A lost answer counts as a failure", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		r.endRun(r.mustGrant(call("lost")), OutcomeStreamLost)
		So(r.servers["s0"].failureRate.at(r.now), ShouldAlmostEqual, failureWeight)
	})
	Convey("A request that failed on a fast server does not wait for it but takes a slow one", t, func() {
		r := newHarness(Config{}, ServerInfo{Name: "fast", Generation: "fast", Slots: 1}, ServerInfo{Name: "slow", Generation: "slow", Slots: 1})
		for range 20 {
			r.servers["fast"].latency.ObservePerToken(1, 4*time.Millisecond, 4*time.Millisecond, score.Profile{})
			r.servers["slow"].latency.ObservePerToken(1, 40*time.Millisecond, 40*time.Millisecond, score.Profile{})
		}
		So(r.mustGrant(enqueue("first", 0)).Server, ShouldEqual, "fast")
		again := enqueue("again", 0)
		again.PerToken = 10 * time.Millisecond
		So(grants(r.send(again)), ShouldBeEmpty)
		again.Request, again.SentTo = "sent", []string{"fast"}
		So(r.mustGrant(again).Server, ShouldEqual, "slow")
	})
	Convey("A request waits for a server that it has not been sent to", t, func() {
		r := newHarness(Config{}, servers(2, 1)...)
		first := r.mustGrant(call("first"))
		other := "s0"
		if first.Server == "s0" {
			other = "s1"
		}
		So(grants(r.send(call("again", other))), ShouldBeEmpty)
		So(grants(r.endRun(first, OutcomeDone))[0].Server, ShouldEqual, first.Server)
		Convey("unless there is none", func() {
			So(r.mustGrant(call("nowhere", "s0", "s1")).Server, ShouldEqual, other)
		})
	})
}

// Guards against free slots beside a full queue: requests that failed on the only server with free slots wait in front of all others.
func TestWaitingRetriesDoNotBlockAFreeServer(t *testing.T) {
	Convey("A request behind many that must avoid the free server is granted there, in time or late", t, func() {
		for _, firstTokenIn := range []time.Duration{time.Minute, time.Millisecond} {
			r := newHarness(Config{}, servers(2, 1)...)
			call := func(id string, sentTo ...string) Enqueue {
				return Enqueue{
					Request: request.ID(id), Entry: "e1", Workspace: "w", Template: "t",
					FirstTokenIn: firstTokenIn, DeadlineIn: time.Minute, SentTo: sentTo,
				}
			}
			So(r.mustGrant(call("slow", "s0")).Server, ShouldEqual, "s1")
			for i := range 2 * maxCandidates {
				So(grants(r.send(call(fmt.Sprint("again", i), "s0"))), ShouldBeEmpty)
			}
			So(r.mustGrant(call("new")).Server, ShouldEqual, "s0")
		}
	})
}
