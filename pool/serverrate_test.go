package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// rateHarness drives a pool whose servers name limits.
type rateHarness struct {
	*harness
	requests int
}

func newRateHarness(servers ...ServerInfo) *rateHarness {
	return &rateHarness{harness: newHarness(Config{}, servers...)}
}

// enqueue returns the grants that follow a request.
func (r *rateHarness) enqueue(t request.Tier) []Grant {
	r.requests++
	return grants(r.send(enqueue(fmt.Sprint("r", r.requests), t)))
}

// answer ends a run whose answer named a limit; 0: it named none.
func (r *rateHarness) answer(g Grant, perSecond float64) []Command {
	if perSecond > 0 {
		r.send(RateLimited{Entry: g.Entry, Grant: g.Grant, Server: g.Server, PerSecond: perSecond})
	}
	return r.endRun(g, OutcomeDone)
}

// grantsWithin offers a request each 20 ms and counts the grants of each server.
func (r *rateHarness) grantsWithin(d time.Duration, perSecond map[string]float64) map[string]int {
	counts := map[string]int{}
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(20 * time.Millisecond) {
		for _, g := range r.enqueue(0) {
			counts[g.Server]++
			for _, later := range grants(r.answer(g, perSecond[g.Server])) {
				counts[later.Server]++
				r.answer(later, perSecond[later.Server])
			}
		}
	}
	return counts
}

// Guards against: a server that names a limit gets more requests than that, or none.
func TestServerRateIsKept(t *testing.T) {
	for _, perSecond := range []float64{0.4, 1.1, 2.3, 40} {
		Convey(fmt.Sprint("A server that takes ", perSecond, " requests a second gets about as many, the other the rest"), t, func() {
			r := newRateHarness(servers(2, 1)...)
			rates := map[string]float64{"s0": perSecond}
			r.grantsWithin(2*time.Second, rates)
			counts := r.grantsWithin(10*time.Second, rates)
			So(counts["s0"], ShouldBeLessThanOrEqualTo, int(perSecond*10)+1)
			So(counts["s0"], ShouldBeGreaterThanOrEqualTo, int(perSecond*10/2))
			So(counts["s0"]+counts["s1"], ShouldBeGreaterThan, 400)
		})
	}
	Convey("Given a server with a limit", t, func() {
		r := newRateHarness(servers(1, 8)...)
		old := r.enqueue(0)[0]
		r.now = r.now.Add(time.Second)
		g := r.enqueue(0)[0]
		r.send(RateLimited{Entry: g.Entry, Grant: g.Grant, Server: "s0", PerSecond: 0.5})
		So(r.enqueue(0), ShouldBeEmpty)

		Convey("an older run that ends without one doesn't end it", func() {
			So(grants(r.endRun(old, OutcomeDone)), ShouldBeEmpty)
		})
		Convey("an answer to a later run that names none ends it", func() {
			later := grants(r.advance(2 * time.Second))
			So(later, ShouldHaveLength, 1)
			r.endRun(later[0], OutcomeDone)
			So(r.enqueue(0), ShouldHaveLength, 1)
			So(r.enqueue(0), ShouldHaveLength, 1)
		})
		Convey("a lost answer doesn't", func() {
			later := grants(r.advance(2 * time.Second))
			So(grants(r.endRun(later[0], OutcomeStreamLost)), ShouldBeEmpty)
			So(r.enqueue(0), ShouldBeEmpty)
		})
		Convey("it may change", func() {
			later := grants(r.advance(2 * time.Second))
			r.answer(later[0], 100)
			r.advance(100 * time.Millisecond)
			So(r.enqueue(0), ShouldHaveLength, 1)
		})
		Convey("a server that starts again has none", func() {
			r.send(ServerSet{Servers: []ServerInfo{{Name: "s0", Slots: 8, Incarnation: "1"}}})
			r.send(ServerSet{Servers: []ServerInfo{{Name: "s0", Slots: 8, Incarnation: "2"}}})
			So(r.enqueue(0), ShouldHaveLength, 1)
			So(r.enqueue(0), ShouldHaveLength, 1)
		})
	})
}

// Guards against: a lower tier is served before a higher one where all servers are in need.
func TestServerRatesServeHigherTiersFirst(t *testing.T) {
	Convey("Given one server with a limit, and requests of two tiers that wait", t, func() {
		r := newRateHarness(servers(1, 8)...)
		r.answer(r.enqueue(0)[0], 1)
		for _, tier := range []request.Tier{1, 0, 1, 0} {
			So(r.enqueue(tier), ShouldBeEmpty)
		}
		Convey("those of the higher tier get the next two grants", func() {
			for _, want := range []request.ID{"r3", "r5"} {
				r.now = r.now.Add(time.Second)
				out := grants(r.send(Tick{}))
				So(out, ShouldHaveLength, 1)
				So(out[0].Request, ShouldEqual, want)
				r.answer(out[0], 1)
			}
		})
	})
}

// Guards against: a new owner grants as if no server had named a limit.
func TestNewOwnerHearsServerRates(t *testing.T) {
	Convey("Given a new owner that hears of a limit from an entry", t, func() {
		r := newRateHarness(servers(1, 8)...)
		r.send(Running{Entry: "e1", Request: "old", Grant: GrantID{9, 9}, Server: "s0"})
		r.send(RateLimited{Entry: "e1", Server: "s0", PerSecond: 1})
		So(r.enqueue(0), ShouldBeEmpty)

		Convey("a run of the earlier owner doesn't end it", func() {
			r.endRun(Grant{Request: "old", Entry: "e1", Grant: GrantID{9, 9}, Server: "s0"}, OutcomeDone)
			So(r.enqueue(0), ShouldBeEmpty)
		})
		Convey("one of its own does, and an entry that has not heard of that doesn't renew it", func() {
			later := grants(r.advance(time.Second))
			So(later, ShouldHaveLength, 1)
			r.endRun(later[0], OutcomeDone)
			r.send(RateLimited{Entry: "e2", Server: "s0", PerSecond: 1})
			So(r.enqueue(0), ShouldHaveLength, 1)
			So(r.enqueue(0), ShouldHaveLength, 1)
		})
	})
	Convey("A pool that has a share of the servers uses this share of their limits", t, func() {
		r := newRateHarness(servers(1, 8)...)
		r.send(ServerSet{Servers: servers(1, 8), RateShare: 0.5})
		r.answer(r.enqueue(0)[0], 2)
		r.enqueue(0)
		So(grants(r.advance(500*time.Millisecond)), ShouldBeEmpty)
		So(grants(r.advance(500*time.Millisecond)), ShouldHaveLength, 1)

		Convey("and another one once that changes", func() {
			r.send(ServerSet{Servers: servers(1, 8), RateShare: 0.25})
			r.enqueue(0)
			So(grants(r.advance(1900*time.Millisecond)), ShouldBeEmpty)
			So(grants(r.advance(100*time.Millisecond)), ShouldHaveLength, 1)
		})
	})
}
