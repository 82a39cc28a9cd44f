package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

const (
	overlapTarget, overlapTimeout = 120 * time.Millisecond, 600 * time.Millisecond
	overlapWork                   = 15 * time.Millisecond
)

// overlapServer models a plain service that runs calls in order, 6 at a time.
type overlapServer struct {
	ends  []time.Time // of the calls that are there, in order
	room  int         // calls that it takes at once
	work  time.Duration
	down  bool
	most  int // calls at once
	calls map[request.ID]int
}

// overlapSim drives a pool of 3 servers whose grants and releases travel for 2 to 6 ms.
type overlapSim struct {
	*harness
	// calls and links are the random numbers of arrivals and of messages, so that the
	// arrivals don't depend on the grants.
	calls, links *rand.Rand
	servers      map[string]*overlapServer
	steps        map[time.Time][]func()
	arrived      map[request.ID]time.Time
	inTime       int
	edit         func(Grant) // before each complete answer is reported
	paused       int
	// lowShare is the share of the calls that are of tier 1.
	lowShare float64
}

func newOverlapSim(overlap bool) *overlapSim {
	b := &overlapSim{
		harness: newHarness(Config{Traits: Traits{Overlap: overlap}}, servers(3, 6)...), calls: rand.New(rand.NewPCG(1, 1)), links: rand.New(rand.NewPCG(1, 2)),
		servers: map[string]*overlapServer{}, steps: map[time.Time][]func(){}, arrived: map[request.ID]time.Time{}, edit: func(Grant) {},
	}
	for i := range 3 {
		b.servers[fmt.Sprint("s", i)] = &overlapServer{room: 24, work: overlapWork, calls: map[request.ID]int{}}
	}
	return b
}

func (b *overlapSim) at(t time.Time, do func()) { b.steps[t] = append(b.steps[t], do) }

// travel is the time of the next message's arrival.
func (b *overlapSim) travel(from time.Time) time.Time {
	return from.Add(time.Duration(2+b.links.IntN(5)) * time.Millisecond)
}

func (b *overlapSim) handle(out []Command) {
	for _, g := range grants(out) {
		b.at(b.travel(b.now), func() { b.arrive(g) })
	}
	for _, c := range out {
		if _, ok := c.(ServerPaused); ok {
			b.paused++
		}
	}
}

func (b *overlapSim) arrive(g Grant) {
	s, sent := b.servers[g.Server], b.now
	s.calls[g.Request]++
	s.ends = slices.DeleteFunc(s.ends, func(end time.Time) bool { return !end.After(b.now) })
	present, begin := len(s.ends), b.now
	switch {
	case s.down:
		b.end(g, Release{Outcome: OutcomeStreamLost}, b.now)
		return
	case present >= s.room:
		b.end(g, Release{Outcome: OutcomeRefused}, b.now)
		return
	case present >= 6:
		begin = s.ends[present-6]
	}
	end := begin.Add(s.work)
	s.ends = append(s.ends, end)
	s.most = max(s.most, present+1)
	b.at(end, func() {
		if s.down {
			b.end(g, Release{Outcome: OutcomeCrashed}, b.now)
			return
		}
		if end.Sub(b.arrived[g.Request]) <= overlapTarget {
			b.inTime++
		}
		b.end(g, Release{Outcome: OutcomeDone, Total: end.Sub(sent)}, end)
	})
}

func (b *overlapSim) end(g Grant, e Release, at time.Time) {
	e.Request, e.Entry, e.Grant, e.Server = g.Request, g.Entry, g.Grant, g.Server
	b.at(b.travel(at), func() {
		if e.Outcome == OutcomeDone {
			b.edit(g)
		}
		b.handle(b.send(e))
	})
}

// run offers calls at random times, at a rate per second.
func (b *overlapSim) run(d time.Duration, perSecond int) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(time.Millisecond) {
		for _, do := range b.steps[b.now] {
			do()
		}
		delete(b.steps, b.now)
		for range 4 {
			if b.calls.IntN(4000) < perSecond {
				id := fmt.Sprint("r", len(b.arrived))
				b.arrived[request.ID(id)] = b.now
				tier := request.Tier(0)
				if b.calls.Float64() < b.lowShare {
					tier = 1
				}
				b.handle(b.send(call(id, tier)))
			}
		}
		if b.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
			b.handle(b.send(Tick{}))
		}
	}
}

func call(id string, t request.Tier) Enqueue {
	return Enqueue{Request: request.ID(id), Entry: "e1", Workspace: "w", Tier: t, FirstTokenIn: overlapTarget, DeadlineIn: overlapTimeout}
}

func (b *overlapSim) most() int {
	return max(b.servers["s0"].most, b.servers["s1"].most, b.servers["s2"].most)
}

func (b *overlapSim) extra() int { return b.Summary(b.now).Tally[0].GrantedExtra }

// extraWithin counts the extra calls of a burst.
func (b *overlapSim) extraWithin(d time.Duration) int {
	before := b.extra()
	b.run(d, 1100)
	return b.extra() - before
}

// burst returns the calls served in time of two bursts, each between calmer times.
func (b *overlapSim) burst() int {
	for range 2 {
		b.run(2*time.Second, 450)
		b.run(3*time.Second, 950)
	}
	b.run(time.Second, 0)
	return b.inTime
}

// Guards against slots of a plain service that are idle while grants and releases travel.
func TestOverlapServesBursts(t *testing.T) {
	Convey("Given the same bursts with and without overlap", t, func() {
		with, without := newOverlapSim(true), newOverlapSim(false)
		a, b := with.burst(), without.burst()
		all := len(with.arrived)
		t.Logf("of %d calls in time: %d with and %d without overlap, %d extra", all, a, b, with.extra())
		So(len(without.arrived), ShouldEqual, all)
		So(float64(a), ShouldBeGreaterThan, 0.97*float64(all))
		So(float64(b), ShouldBeLessThan, 0.9*float64(all))
		So(without.extra(), ShouldEqual, 0)
		So(without.most(), ShouldBeLessThanOrEqualTo, 6)
		So(with.most(), ShouldBeLessThanOrEqualTo, 8)
		So(with.Summary(with.now).Free, ShouldEqual, 18)
	})
}

// Guards against servers that look slower because extra calls wait there: their limits
// and the rate of freed slots would fall.
func TestExtraCallsDoNotLowerLimits(t *testing.T) {
	Convey("Given calls that take nearly their target, in a long burst", t, func() {
		b := newOverlapSim(true)
		for _, s := range b.servers {
			s.work = overlapTarget - 5*time.Millisecond
		}
		b.run(10*time.Second, 400)
		So(b.extra(), ShouldBeGreaterThan, 100)
		for _, s := range b.sorted {
			So(b.runLimit(s), ShouldEqual, 6)
			So(s.straggler, ShouldBeFalse)
			So(s.meanService, ShouldAlmostEqual, 0.115, 0.004)
		}
	})
}

// Guards against extra calls where they would do harm.
func TestNoExtraCalls(t *testing.T) {
	Convey("Given a burst with extra calls", t, func() {
		b := newOverlapSim(true)
		So(b.extraWithin(time.Second), ShouldBeGreaterThan, 100)
		none := func() {
			b.run(100*time.Millisecond, 1100)
			So(b.extraWithin(time.Second), ShouldEqual, 0)
		}
		Convey("brittle servers get none", func() {
			b.edit = func(g Grant) {
				b.send(Brittle{Entry: g.Entry, Grant: g.Grant, Server: g.Server, Rejections: 3})
			}
			none()
			So(b.allowsExtraCalls(), ShouldBeFalse)
		})
		Convey("nor do servers while one names a rate", func() {
			b.edit = func(g Grant) {
				if g.Server == "s0" {
					b.send(RateLimited{Entry: g.Entry, Grant: g.Grant, Server: "s0", PerSecond: 300})
				}
			}
			none()
			b.edit = func(Grant) {}
			b.run(100*time.Millisecond, 1100)
			So(b.extraWithin(time.Second), ShouldBeGreaterThan, 100)
		})
		Convey("nor does a daemon's share of the servers", func() {
			b.send(ServerSet{Servers: servers(3, 6), RateShare: 0.5})
			none()
		})
		Convey("nor a pool whose trait was taken back", func() {
			b.send(TraitsSet{})
			none()
		})
		Convey("nor a server that may not use all of its slots, is slow, has not answered yet or runs a stream", func() {
			for _, change := range []func(*server){
				func(s *server) { s.maxRunning = 5 }, func(s *server) { s.straggler = true }, func(s *server) { s.overdue = true },
				func(s *server) { s.backoff = time.Second }, func(s *server) { s.breaker.lostStreak.runs = 1 },
				func(s *server) { s.running = []*run{{maxTokens: 1}} },
			} {
				s := *b.sorted[0]
				s.grantable, s.maxRunning, s.running = true, 6, nil
				So(b.maxExtraCalls(&s), ShouldEqual, 2)
				change(&s)
				So(b.maxExtraCalls(&s), ShouldEqual, 0)
			}
		})
	})
}

// Guards against extra calls that a server keeps rejecting, and against slots that are idle
// because a server rejected an extra call.
func TestServerRejectsExtraCalls(t *testing.T) {
	Convey("Given servers that take no more calls than their slots", t, func() {
		b := newOverlapSim(true)
		for _, s := range b.servers {
			s.room = 6
		}
		b.run(time.Second, 1100)
		first := b.extra()
		So(first, ShouldBeBetweenOrEqual, 1, 60)
		b.run(14*time.Second, 1100)
		So(b.extra()-first, ShouldBeLessThan, 3*3*40) // pauses of 1, 2, 4 and 8 s
		So(b.paused, ShouldEqual, 0)
		for _, s := range b.sorted {
			So(s.extraCalls.pause, ShouldEqual, extraPauseMax)
		}
		Convey("once they take more, they get extra calls again, and the pause starts at its minimum", func() {
			for _, s := range b.servers {
				s.room = 24
			}
			b.run(2*extraPauseMax, 1100)
			So(b.extraWithin(time.Second), ShouldBeGreaterThan, 100)
			b.servers["s0"].room = 6
			b.run(100*time.Millisecond, 1100)
			So(b.sorted[0].extraCalls.pause, ShouldEqual, extraPauseMin)
		})
	})
}

// Guards against calls that are sent again after a crash, and against extra calls to a server
// that is down.
func TestServerCrashesWithExtraCalls(t *testing.T) {
	Convey("Given a server that crashes in a burst", t, func() {
		b := newOverlapSim(true)
		b.run(time.Second, 1100)
		s := b.servers["s0"]
		before := len(s.calls)
		s.down = true
		b.run(time.Second, 1100)
		So(len(s.calls)-before, ShouldBeLessThanOrEqualTo, 8+6+4) // on the way, after the pause, and one probe at a time
		sent := 0
		for id := range b.arrived {
			sent = max(sent, b.servers["s0"].calls[id]+b.servers["s1"].calls[id]+b.servers["s2"].calls[id])
		}
		So(sent, ShouldEqual, 1)
		b.run(2*time.Second, 0)
		So(b.Summary(b.now).Running, ShouldEqual, 0)
	})
}

// Guards against extra calls on a server that has become slow.
func TestStragglerGetsNoExtraCalls(t *testing.T) {
	Convey("Given a server that becomes ten times slower in a burst", t, func() {
		b := newOverlapSim(true)
		b.run(time.Second, 1100)
		b.servers["s0"].work = 10 * overlapWork
		b.run(2*time.Second, 1100)
		So(b.sorted[0].straggler, ShouldBeTrue)
		So(len(b.sorted[0].running), ShouldBeLessThanOrEqualTo, 1)
	})
}

// Guards against lower tiers that take what is reserved for a burst of higher ones, and
// against streams that wait at a full server.
func TestExtraCallsKeepReservedSlots(t *testing.T) {
	Convey("Given full servers and slots reserved for the highest tier", t, func() {
		b := newOverlapSim(true)
		b.callTimes.add(10*time.Millisecond, overlapWork)
		for i := range 18 {
			b.mustGrant(call(fmt.Sprint("c", i), 0))
		}
		for range 3000 {
			b.arrivals[0].Add(b.now)
		}
		b.advance(500 * time.Millisecond)
		So(b.reservedSlots(1), ShouldBeGreaterThan, 0)
		So(grants(b.send(call("low", 1))), ShouldBeEmpty)
		So(grants(b.send(enqueue("stream", 0))), ShouldBeEmpty)
		for i := range 6 {
			So(grants(b.send(call(fmt.Sprint("high", i), 0))), ShouldHaveLength, 1)
		}
		So(grants(b.send(call("high", 0))), ShouldBeEmpty)
		So(b.Summary(b.now).Free, ShouldEqual, 0)
	})
}

// Guards against a starved tier that never finds a free slot while extra calls fill the
// servers.
func TestStarvedTierGetsExtraCalls(t *testing.T) {
	Convey("A starved tier is served in a long overload as it is without overlap", t, func() {
		served := func(overlap bool) int {
			b := newOverlapSim(overlap)
			b.lowShare = 0.2
			b.run(8*time.Second, 2000)
			x := b.Summary(b.now).Tally[1]
			return x.Granted + x.GrantedLate
		}
		with, without := served(true), served(false)
		t.Logf("%d calls of the lower tier served with and %d without overlap", with, without)
		So(with, ShouldBeGreaterThanOrEqualTo, without)
		So(without, ShouldBeGreaterThan, 100)
	})
}

// Guards against an extra call that seems to have a slot once a later extra call was
// rejected: its wait at the server would count as the server's time.
func TestRejectedExtraCallFreesNoSlot(t *testing.T) {
	Convey("Given a full server with two extra calls", t, func() {
		r := newHarness(Config{Traits: Traits{Overlap: true}}, servers(1, 6)...)
		r.callTimes.add(10*time.Millisecond, overlapWork)
		var calls []Grant
		for i := range 8 {
			calls = append(calls, r.mustGrant(call(fmt.Sprint("c", i), 0)))
		}
		first := r.byGrant[calls[6].Grant]
		Convey("the first one has no slot when the second is rejected, but when a call before it ends", func() {
			r.endRun(calls[7], OutcomeRefused)
			So(first.extra.slotAt.IsZero(), ShouldBeTrue)
			r.endRun(calls[0], OutcomeDone)
			So(first.extra.slotAt, ShouldEqual, r.now)
		})
	})
}
