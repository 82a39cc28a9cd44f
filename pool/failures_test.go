package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against a failing server that is chosen first, and again for the same request, since it is free again first.
func TestFailingServerIsChosenLast(t *testing.T) {
	call := func(id string, sentTo ...string) Enqueue {
		return Enqueue{
			Request: request.ID(id), Entry: "e1", Workspace: "w", Template: "t",
			FirstTokenIn: 300 * time.Millisecond, DeadlineIn: 4 * time.Second, SentTo: sentTo,
		}
	}
	Convey("Given a server that fails at once and two that take their time", t, func() {
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
		Convey("it soon gets little while the others have free slots", func() {
			So(failed, ShouldBeLessThan, 20)
		})
		Convey("it is well again when its runs succeed", func() {
			before := r.servers["s0"].failureRate.at(r.now)
			for i := range 9 {
				g := r.mustGrant(call(fmt.Sprint("again", i), "s1", "s2"))
				So(g.Server, ShouldEqual, "s0")
				r.endRun(g, OutcomeDone)
			}
			So(r.servers["s0"].failureRate.at(r.now), ShouldBeLessThan, before/2)
		})
		Convey("it is tried again after a while", func() {
			r.now = r.now.Add(2 * time.Minute)
			So(r.servers["s0"].failureRate.at(r.now), ShouldBeLessThan, 0.001)
		})
		Convey("it serves where the others are full", func() {
			for i := range 8 {
				r.mustGrant(call(fmt.Sprint("full", i)))
			}
			So(r.mustGrant(call("more")).Server, ShouldEqual, "s0")
		})
	})
	Convey("A lost answer counts like a failure", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		r.endRun(r.mustGrant(call("lost")), OutcomeStreamLost)
		So(r.servers["s0"].failureRate.at(r.now), ShouldAlmostEqual, failureWeight)
	})
	Convey("A slow server is taken although a fast one is busy, where that one failed the request", t, func() {
		r := newHarness(Config{}, ServerInfo{Name: "fast", Generation: "fast", Slots: 1}, ServerInfo{Name: "slow", Generation: "slow", Slots: 1})
		for range 20 {
			r.servers["fast"].speed.ObservePerToken(1, 4*time.Millisecond, 4*time.Millisecond, score.Profile{})
			r.servers["slow"].speed.ObservePerToken(1, 40*time.Millisecond, 40*time.Millisecond, score.Profile{})
		}
		So(r.mustGrant(enqueue("first", 0)).Server, ShouldEqual, "fast")
		again := enqueue("again", 0)
		again.PerToken = 10 * time.Millisecond
		So(grants(r.send(again)), ShouldBeEmpty)
		again.Request, again.SentTo = "sent", []string{"fast"}
		So(r.mustGrant(again).Server, ShouldEqual, "slow")
	})
	Convey("A request that was sent to a server before waits for another one", t, func() {
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
