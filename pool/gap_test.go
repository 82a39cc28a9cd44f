package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// The engines and the load of the simulation of gaps.
const (
	gapTarget       = 300 * time.Millisecond
	gapEventTokens  = 8
	gapEngines      = 9
	gapSlots        = 6
	gapSlowness     = 4.4 // of each third engine
	gapPrefill      = time.Millisecond / 56
	gapStep         = 4 * time.Millisecond
	gapReportEvents = 4 // events between two Progress reports
	gapSpan         = 40 * time.Second
)

var gapTraits = Traits{PauseTarget: gapTarget, TokensPerEvent: gapEventTokens}

// gapSim simulates engines that compute all pending prompts between two events of their
// streams, under waves of long and short prompts.
type gapSim struct {
	*simulation
	slowness map[string]float64
	streams  map[string][]*gapStream // by server
	busy     map[string]bool
	requests map[request.ID]Enqueue
	due      map[request.ID]time.Time

	onTime, gapped, served, slowGapped int
}

type gapStream struct {
	Grant
	Enqueue
	granted, first, last, reported time.Time
	tokens, unreported             int
	longest                        time.Duration
}

func newGapSim(traits Traits, seed uint64) *gapSim {
	x := &gapSim{
		simulation: &simulation{pool: newHarness(Config{
			MaxWaitShare: 0.12, ExtendedWaitShare: 1, Headroom: 0.05, ReleaseGrace: time.Second, KeepStragglers: true, SpareFastServers: true, Traits: traits,
		}, servers(gapEngines, gapSlots)...)},
		slowness: map[string]float64{}, streams: map[string][]*gapStream{}, busy: map[string]bool{},
		requests: map[request.ID]Enqueue{}, due: map[request.ID]time.Time{},
	}
	for i := range gapEngines {
		x.slowness[fmt.Sprint("s", i)] = 1
		if i%3 == 0 {
			x.slowness[fmt.Sprint("s", i)] = gapSlowness
		}
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	for at, i := time.Duration(0), 0; at < gapSpan; i++ {
		rate := 30.0 // per second
		if at%(13*time.Second) < 4*time.Second {
			rate = 60
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		e := enqueue(fmt.Sprint("r", i), 1)
		e.FirstTokenIn, e.DeadlineIn, e.PromptTokens, e.MaxTokens, e.ExpectedTokens = 800*time.Millisecond, 12*time.Second, 400+rng.IntN(500), 300, 200
		if rng.IntN(3) == 0 {
			e.Tier, e.PromptTokens = 0, int(1500+5000*rng.ExpFloat64())
		}
		x.at(start.Add(at), func() {
			x.requests[e.Request], x.due[e.Request] = e, x.pool.now.Add(e.FirstTokenIn)
			x.handle(x.pool.send(e))
		})
	}
	x.tick(gapSpan+13*time.Second, x.handle)
	return x
}

func (x *gapSim) handle(out []Command) {
	for _, g := range grants(out) {
		x.streams[g.Server] = append(x.streams[g.Server], &gapStream{Grant: g, Enqueue: x.requests[g.Request], granted: x.pool.now})
		if !x.busy[g.Server] {
			x.busy[g.Server] = true
			x.at(x.pool.now, func() { x.round(g.Server) })
		}
	}
}

// round computes a server's pending prompts and then one event of all its streams.
func (x *gapSim) round(server string) {
	x.busy[server] = len(x.streams[server]) > 0
	if !x.busy[server] {
		return
	}
	prompts, round := 0, x.streams[server]
	for _, s := range round {
		if s.first.IsZero() {
			prompts += s.PromptTokens
		}
	}
	slow := x.slowness[server]
	computed := x.pool.now.Add(time.Duration(slow * float64(time.Duration(prompts)*gapPrefill)))
	x.at(computed.Add(time.Duration(slow*gapEventTokens*float64(gapStep))), func() {
		x.streams[server] = append([]*gapStream(nil), x.streams[server]...)
		for _, s := range round {
			x.event(s, computed)
		}
		x.round(server)
	})
}

func (x *gapSim) event(s *gapStream, computed time.Time) {
	now := x.pool.now
	if s.first.IsZero() {
		s.first, s.last, s.reported = computed, computed, computed
		x.handle(x.pool.send(Progress{Request: s.Grant.Request, Grant: s.Grant.Grant, FirstToken: computed.Sub(s.granted), Tokens: 1}))
	}
	s.longest, s.last = max(s.longest, now.Sub(s.last)), now
	s.tokens += gapEventTokens
	if s.unreported++; s.unreported == gapReportEvents {
		perToken := now.Sub(s.reported) / (gapReportEvents * gapEventTokens)
		s.reported, s.unreported = now, 0
		x.handle(x.pool.send(Progress{Request: s.Grant.Request, Grant: s.Grant.Grant, FirstToken: s.first.Sub(s.granted), Tokens: s.tokens, PerToken: perToken}))
	}
	if s.tokens >= s.ExpectedTokens {
		x.end(s)
	}
}

func (x *gapSim) end(s *gapStream) {
	x.served++
	if !s.first.After(x.due[s.Grant.Request]) {
		x.onTime++
		if s.longest > gapTarget {
			x.gapped++
			if x.slowness[s.Grant.Server] > 1 {
				x.slowGapped++
			}
		}
	}
	server := s.Grant.Server
	for i, other := range x.streams[server] {
		if other == s {
			x.streams[server] = append(x.streams[server][:i:i], x.streams[server][i+1:]...)
		}
	}
	x.handle(x.pool.send(Release{Request: s.Grant.Request, Entry: s.Grant.Entry, Grant: s.Grant.Grant, Server: server, Outcome: OutcomeDone,
		FirstToken: s.first.Sub(s.granted), Total: x.pool.now.Sub(s.granted), OutputTokens: s.tokens, PromptTokens: s.PromptTokens, PrefillComputed: s.PromptTokens}))
}

func (x *gapSim) gapShare() float64 { return float64(x.gapped) / float64(max(1, x.onTime)) }

// Guards against streams on slow engines that stall while these compute long prompts.
func TestLongPromptsDoNotStallStreams(t *testing.T) {
	for seed := range uint64(4) {
		without, with := newGapSim(Traits{}, seed), newGapSim(gapTraits, seed)
		without.run()
		with.run()
		t.Logf("seed %d: without: %d on time, gaps in %.3f, %d of them on slow engines; with: %d, %.3f, %d",
			seed, without.onTime, without.gapShare(), without.slowGapped, with.onTime, with.gapShare(), with.slowGapped)
		if with.gapShare() >= without.gapShare() || 2*with.slowGapped > without.slowGapped {
			t.Errorf("seed %d: the share of streams with gaps is not lower, or less than halved on slow engines", seed)
		}
		if float64(with.onTime) < 0.98*float64(without.onTime) {
			t.Errorf("seed %d: fewer streams are on time", seed)
		}
		if tally := with.pool.tally; tally[0].Diverted == 0 || without.pool.tally[0].Diverted != 0 {
			t.Errorf("seed %d: diverted grants are not counted", seed)
		}
	}
}

// gapPool returns a pool of a slow server, s0, and fast ones, whose models are known. An
// on-time stream runs on each; the fast ones have no free slot.
func gapPool() (r *harness, streams []Grant) {
	r = newHarness(Config{Traits: gapTraits}, servers(3, 2)...)
	learn(r.sorted[0], gapSlowness, 40)
	learn(r.sorted[1], 1, 40)
	learn(r.sorted[2], 1, 40)
	for i := range 5 {
		e := promptOf(fmt.Sprint("stream", i), 100)
		if i < 4 {
			e.SentTo = []string{"s0"} // so that it gets a fast server
		}
		g := r.mustGrant(e)
		streams = append(streams, g)
		r.send(Progress{Request: g.Request, Grant: g.Grant, Tokens: 1, FirstToken: 30 * time.Millisecond})
	}
	return r, streams
}

// learn records measurements of a server, of a multiple of the usual times.
func learn(s *server, slowness float64, n int) {
	for i := range n {
		prompt := 500 + 1000*(i%5)
		s.latency.ObserveFirstToken(prompt, time.Duration(slowness*float64(time.Duration(prompt)*gapPrefill)), score.Profile{}, false)
		s.latency.ObservePerToken(1, time.Duration(slowness*float64(gapStep)), time.Duration(slowness*float64(gapStep)), score.Profile{})
	}
}

func promptOf(id string, tokens int) Enqueue {
	e := enqueue(id, 0)
	e.FirstTokenIn, e.DeadlineIn, e.PromptTokens, e.MaxTokens, e.PerToken = time.Second, 12*time.Second, tokens, 300, 0
	return e
}

// Guards against long prompts on a slow server while an on-time stream runs there, and
// against requests that wait for ever because of that.
func TestClosedServers(t *testing.T) {
	Convey("Given a slow server with a free slot and an on-time stream", t, func() {
		r, streams := gapPool()
		Convey("A long prompt waits, a short one of a lower tier does not", func() {
			So(grants(r.send(promptOf("long", 5000))), ShouldBeEmpty)
			short := promptOf("short", 400)
			short.Tier = 2
			So(r.mustGrant(short).Server, ShouldEqual, "s0")
			Convey("It gets the next slot of a fast server", func() {
				out := grants(r.endRun(streams[0], OutcomeDone))
				So(out, ShouldHaveLength, 1)
				So(out[0].Request, ShouldEqual, request.ID("long"))
			})
		})
		Convey("A long prompt becomes late, and gets the slow server when its on-time stream ends", func() {
			r.send(promptOf("long", 5000))
			So(grants(r.advance(990*time.Millisecond)), ShouldBeEmpty)
			So(r.waiting["long"].Class, ShouldEqual, tier.Late)
			So(grants(r.endRun(streams[4], OutcomeDone)), ShouldHaveLength, 1)
		})
		Convey("A long prompt for which only the slow server has memory gets it after a while", func() {
			for _, s := range r.sorted[1:] {
				s.kvCapacity = 1000
			}
			So(grants(r.send(promptOf("long", 5000))), ShouldBeEmpty)
			So(grants(r.advance(memoryStarveAfter)), ShouldHaveLength, 1)
		})
		Convey("A prompt whose version only the slow server has is granted there", func() {
			r.sorted[0].info.Version = "v1"
			rest := promptOf("rest", 5000)
			rest.Version = "v1"
			So(r.mustGrant(rest).Server, ShouldEqual, "s0")
		})
		Convey("Without fast servers, the slow one is open", func() {
			So(grants(r.send(promptOf("long", 5000))), ShouldBeEmpty)
			So(grants(r.send(ServerSet{Servers: servers(1, 2)})), ShouldHaveLength, 1)
		})
		Convey("Without the trait, the slow server is open", func() {
			So(grants(r.send(promptOf("long", 5000))), ShouldBeEmpty)
			So(grants(r.send(TraitsSet{})), ShouldHaveLength, 1)
		})
	})
}

// Guards against a server that stays closed, or open, after it was slow for some seconds.
func TestGapBudgetFollowsTheServer(t *testing.T) {
	Convey("A server that slows down is closed, and open again when it has recovered", t, func() {
		r, streams := gapPool()
		r.endRun(streams[4], OutcomeDone)
		s := r.server(streams[0].Server)
		r.endRun(streams[0], OutcomeDone)
		isOpen := func() bool {
			r.refreshServers()
			return s.gapBudget >= r.openBudget
		}
		So(isOpen(), ShouldBeTrue)
		learn(s, gapSlowness, 40)
		So(isOpen(), ShouldBeFalse)
		learn(s, 1, 80)
		So(isOpen(), ShouldBeTrue)
	})
}

// Guards against a new owner that sends long prompts beside streams which it has not granted.
func TestAdoptedRunsCountAsOnTime(t *testing.T) {
	Convey("An adopted run closes a slow server, a late one does not", t, func() {
		r, streams := gapPool()
		r.endRun(streams[4], OutcomeDone)
		late := promptOf("late", 100)
		late.FirstTokenIn = time.Nanosecond
		r.mustGrant(late)
		So(r.sorted[0].hasOnTimeStream(r.now), ShouldBeFalse)
		r.send(Running{Entry: "e", Request: "old", Grant: GrantID{Epoch: 9, Seq: 1}, Server: "s0", PromptTokens: 100, MaxTokens: 300, Tokens: 1})
		So(r.sorted[0].hasOnTimeStream(r.now), ShouldBeTrue)
	})
}

// Guards against a request that cannot meet its deadline and whose servers are closed: others
// after it would get no slot on servers that it must avoid.
func TestClosedRequestDoesNotBlockBestEffort(t *testing.T) {
	Convey("Given two infeasible requests, of which the first may use only full and closed servers", t, func() {
		r, streams := gapPool()
		r.sorted[0].info.Version, r.sorted[1].info.Version = "v1", "v1"
		rest := promptOf("rest", 5000)
		rest.Version = "v1"
		for _, e := range []Enqueue{rest, promptOf("other", 5000)} {
			So(grants(r.send(e)), ShouldBeEmpty)
			r.queue.SetClass(&r.waiting[e.Request].Item, tier.Infeasible)
		}
		Convey("the second gets a slot that is freed on another server", func() {
			i := slices.IndexFunc(streams, func(g Grant) bool { return g.Server == "s2" })
			out := grants(r.endRun(streams[i], OutcomeDone))
			So(out, ShouldHaveLength, 1)
			So(out[0].Request, ShouldEqual, request.ID("other"))
		})
	})
}
