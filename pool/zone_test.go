package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/request"
)

// zoned returns a pool with n servers in each zone and the entries ea, eb and ec in the
// zones a, b and c.
func zoned(prefer, spare bool, n map[string]int) *harness {
	var all []ServerInfo
	for _, z := range []string{"a", "b", "c"} {
		for i := range n[z] {
			all = append(all, ServerInfo{Name: fmt.Sprint(z, i), AvailabilityZone: z, Generation: z, Slots: 6})
		}
	}
	r := newHarness(Config{SpareFastServers: spare, Traits: Traits{PreferZone: prefer}}, all...)
	set := EntrySet{Zones: map[EntryID]string{"ea": "a", "eb": "b", "ec": "c"}}
	for _, e := range []EntryID{"ea", "eb", "ec", "unknown"} {
		set.Entries = append(set.Entries, e)
		r.send(EntryReported{Entry: e})
	}
	r.send(set)
	return r
}

// call is a call of a plain service by the entry of a zone.
func callFrom(id int, zone string) Enqueue {
	return Enqueue{Request: request.ID(fmt.Sprint(id)), Entry: EntryID("e" + zone), Workspace: "w", Template: "t",
		FirstTokenIn: 120 * time.Millisecond, DeadlineIn: 600 * time.Millisecond}
}

// replayCalls sends calls of 25 ms from all zones for 20 s. It returns the tally, and the
// number of events after which a call waited beside a free slot.
func replayCalls(prefer bool, perSecond float64) (t TierTally, idle int) {
	x := &simulation{pool: zoned(prefer, true, map[string]int{"a": 1, "b": 1, "c": 2})}
	random := rand.New(rand.NewPCG(1, 0))
	var handle func(out []Command)
	handle = func(out []Command) {
		for _, g := range grants(out) {
			x.at(x.pool.now.Add(25*time.Millisecond), func() {
				handle(x.pool.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeDone,
					FirstToken: 25 * time.Millisecond, Total: 25 * time.Millisecond}))
			})
		}
		if s := x.pool.Summary(x.pool.now); s.Waiting[0] > 0 && s.Free > 0 {
			idle++
		}
	}
	id := 0
	for at := time.Duration(0); at < 20*time.Second; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		id++
		c := callFrom(id, string("abc"[id%3]))
		x.at(start.Add(at), func() { handle(x.pool.send(c)) })
	}
	x.tick(21*time.Second, handle)
	x.run()
	return x.pool.tally[0], idle
}

// Guards against traffic between zones while the zone's servers are free, and against late
// or refused calls on account of the preference.
func TestCallsStayInTheirZone(t *testing.T) {
	Convey("Calls stay in their zone at low load, and nothing is late for it at high load", t, func() {
		low, idle := replayCalls(true, 300)
		So(idle, ShouldEqual, 0)
		So(low.SameZone, ShouldBeGreaterThan, 9*low.OtherZone)
		for _, perSecond := range []float64{800, 1200} {
			off, _ := replayCalls(false, perSecond)
			on, idle := replayCalls(true, perSecond)
			So(idle, ShouldEqual, 0)
			So(on.GrantedLate+on.Shed+on.Expired, ShouldBeLessThanOrEqualTo, off.GrantedLate+off.Shed+off.Expired)
			So(on.SameZone, ShouldBeGreaterThanOrEqualTo, off.SameZone)
		}
	})
}

// Guards against a zone with few servers that is overloaded while others idle, and against
// a preference that outlives the zone's servers or needs the zone from the start.
func TestZoneFollowsLoadAndServers(t *testing.T) {
	for _, spare := range []bool{false, true} {
		Convey(fmt.Sprint("Given one server in the entry's zone and two elsewhere, SpareFastServers ", spare), t, func() {
			r := zoned(true, spare, map[string]int{"b": 2, "c": 1})
			Convey("It runs at most two more than the server chosen without the preference", func() {
				for i := range 15 {
					r.mustGrant(callFrom(i, "c"))
					other := len(r.servers["b0"].running)
					if spare { // spreads by load; otherwise equal servers fill in order
						other = min(other, len(r.servers["b1"].running))
					}
					So(len(r.servers["c0"].running)-other, ShouldBeLessThanOrEqualTo, 2)
				}
			})
			Convey("Without its zone's servers, an entry uses the others", func() {
				So(r.mustGrant(callFrom(1, "c")).Server, ShouldEqual, "c0")
				r.send(ServerHealth{Server: "c0", Health: HealthGone, Incarnation: 1})
				So(r.mustGrant(callFrom(2, "c")).Server, ShouldStartWith, "b")
				So(r.mustGrant(callFrom(3, "a")).Server, ShouldStartWith, "b")
			})
			Convey("An entry's zone may become known later, and the trait may be switched off", func() {
				unknown := callFrom(1, "c")
				unknown.Entry = "unknown"
				So(r.mustGrant(unknown).Server, ShouldEqual, "b0")
				r.send(EntrySet{Entries: []EntryID{"ea", "eb", "ec", "unknown"}, Zones: map[EntryID]string{"unknown": "c"}})
				unknown.Request = "2"
				So(r.mustGrant(unknown).Server, ShouldEqual, "c0")
				r.send(TraitsSet{})
				unknown.Request = "3"
				So(r.mustGrant(unknown).Server, ShouldStartWith, "b")
			})
		})
	}
}

// Guards against a slow server that is chosen for its zone.
func TestZoneCost(t *testing.T) {
	for perToken, want := range map[time.Duration]string{11: "c0", 14: "b0", 100: "b0"} {
		Convey(fmt.Sprint("A server of the zone that needs so many ms per token, where the other needs 10: ", int(perToken)), t, func() {
			r := zoned(true, false, map[string]int{"b": 1, "c": 1})
			for range 50 {
				r.servers["b0"].latency.ObservePerToken(1, 10*time.Millisecond, 10*time.Millisecond, score.Profile{})
				r.servers["c0"].latency.ObservePerToken(1, perToken*time.Millisecond, perToken*time.Millisecond, score.Profile{})
			}
			e := enqueue("x", 0)
			e.Entry, e.ExpectedTokens, e.MaxTokens, e.DeadlineIn = "ec", 50, 50, 3*time.Second
			So(r.mustGrant(e).Server, ShouldEqual, want)
		})
	}
}
