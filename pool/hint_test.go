package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool/estimate"
	"github.com/lycheekeel/lycheekeel/pool/score"
)

// Guards against long answers that miss their deadlines on slow servers while short ones
// run on fast servers.
func TestLengthHintsChooseServer(t *testing.T) {
	newFastAndSlow := func() *harness {
		r := newHarness(Config{}, ServerInfo{Name: "fast", Generation: "fast", Slots: 1}, ServerInfo{Name: "slow", Generation: "slow", Slots: 4})
		for range 20 {
			r.servers["fast"].latency.ObservePerToken(1, 4*time.Millisecond, 4*time.Millisecond, score.Profile{})
			r.servers["slow"].latency.ObservePerToken(1, 40*time.Millisecond, 40*time.Millisecond, score.Profile{})
			r.lengths.Observe(estimate.Key{Workspace: "w", Template: "t", Model: "m"}, 100)
		}
		return r
	}
	hinted := func(id string, tokens int) Enqueue {
		e := enqueue(id, 0)
		e.DeadlineIn, e.MaxTokens, e.ExpectedTokens = 12*time.Second, 4000, tokens
		return e
	}
	Convey("Given a fast server that is full and a slow server", t, func() {
		r := newFastAndSlow()
		first := r.mustGrant(hinted("first", 1000))
		So(first.Server, ShouldEqual, "fast")
		Convey("a long request waits for the fast server", func() {
			So(grants(r.send(hinted("long", 1000))), ShouldBeEmpty)
			Convey("a short request takes the slow server at once", func() {
				So(r.mustGrant(hinted("short", 50)).Server, ShouldEqual, "slow")
			})
			So(grants(r.endRun(first, OutcomeDone))[0].Server, ShouldEqual, "fast")
		})
	})
}

func TestLengthHintsAreCorrected(t *testing.T) {
	run := func(r *harness, id string, hint int) Grant {
		e := enqueue(id, 0)
		e.MaxTokens, e.ExpectedTokens = 4000, hint
		return r.mustGrant(e)
	}
	Convey("Answers half as long as their hints halve the expected length of others", t, func() {
		r := newHarness(Config{}, servers(1, 4)...)
		for i := range 8 {
			g := run(r, fmt.Sprint(i), 20)
			r.endRun(g, OutcomeDone) // 10 tokens
		}
		So(r.expectLength(estimate.Key{Workspace: "w", Template: "t", Model: "m"}, 1000, 4000).Mean, ShouldEqual, 500)
	})
	Convey("The remaining length of an answer is estimated from its hint", t, func() {
		r := newHarness(Config{}, servers(1, 4)...)
		g := run(r, "a", 100)
		before := r.servers["s0"].kvTokens
		r.send(Progress{Request: g.Request, Grant: g.Grant, Server: g.Server, Tokens: 10, FirstToken: time.Millisecond})
		So(r.servers["s0"].kvTokens, ShouldEqual, before)
	})
}

// Guards against short requests that take the slots of fast servers, which long requests
// need to meet their deadlines.
func TestRelaxedRequestsLeaveFastServersFree(t *testing.T) {
	newFastAndSlow := func(spare bool) *harness {
		r := newHarness(Config{SpareFastServers: spare}, ServerInfo{Name: "fast", Generation: "fast", Slots: 4}, ServerInfo{Name: "slow", Generation: "slow", Slots: 4})
		for range 20 {
			r.servers["fast"].latency.ObservePerToken(1, 4*time.Millisecond, 4*time.Millisecond, score.Profile{})
			r.servers["slow"].latency.ObservePerToken(1, 16*time.Millisecond, 16*time.Millisecond, score.Profile{})
		}
		return r
	}
	hinted := func(id string, tokens int) Enqueue {
		e := enqueue(id, 0)
		e.DeadlineIn, e.MaxTokens, e.ExpectedTokens = 12*time.Second, 4000, tokens
		return e
	}
	// sendShort sends four short requests and counts them by server.
	sendShort := func(r *harness) map[string]int {
		at := map[string]int{}
		for i := range 4 {
			at[r.mustGrant(hinted(fmt.Sprint("short", i), 20)).Server]++
		}
		return at
	}
	Convey("Short requests go to the least loaded server, long ones to the server that meets their deadline", t, func() {
		r := newFastAndSlow(true)
		So(sendShort(r), ShouldResemble, map[string]int{"fast": 2, "slow": 2})
		for i := range 2 {
			So(r.mustGrant(hinted(fmt.Sprint("long", i), 2000)).Server, ShouldEqual, "fast")
		}
	})
	Convey("Without SpareFastServers, short requests fill the fast server", t, func() {
		So(sendShort(newFastAndSlow(false)), ShouldResemble, map[string]int{"fast": 4})
	})
	Convey("A request close to its deadline goes to the fastest server", t, func() {
		r := newFastAndSlow(true)
		e := hinted("near", 20)
		e.DeadlineIn = 400 * time.Millisecond
		So(r.mustGrant(hinted("other", 20)).Server, ShouldEqual, "fast")
		So(r.mustGrant(e).Server, ShouldEqual, "fast")
	})
}
