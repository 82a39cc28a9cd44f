package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/request"
)

// harness drives a pool with a manual clock.
type harness struct {
	*Pool
	now time.Time
}

func newHarness(cfg Config, servers ...ServerInfo) *harness {
	cfg.Name, cfg.Epoch = "p", 1
	r := &harness{Pool: New(cfg), now: start}
	r.send(ServerSet{Servers: servers})
	return r
}

func servers(n, slots int) []ServerInfo {
	var all []ServerInfo
	for i := range n {
		all = append(all, ServerInfo{Name: fmt.Sprint("s", i), Generation: "g", Slots: slots})
	}
	return all
}

func (r *harness) send(ev Event) []Command { return r.Handle(r.now, ev, nil) }

func (r *harness) advance(d time.Duration) []Command {
	r.now = r.now.Add(d)
	return r.send(Tick{})
}

// mustGrant enqueues a request and returns its grant, which must be issued at once.
func (r *harness) mustGrant(e Enqueue) Grant {
	out := grants(r.send(e))
	So(out, ShouldHaveLength, 1)
	return out[0]
}

func (r *harness) endRun(g Grant, o Outcome) []Command {
	return r.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: o,
		FirstToken: 30 * time.Millisecond, Total: time.Second, OutputTokens: 10, PromptTokens: 100, PrefillComputed: 100})
}

func fingerprinted(id string, fingerprint uint64) Enqueue {
	e := enqueue(id, 0)
	e.Fingerprint = fingerprint
	return e
}

func shedReason(out []Command) request.Reason {
	if s := sheds(out); len(s) == 1 {
		return s[0].Reason
	}
	return ""
}

// Guards against a request that crashes one server after another because its caller
// retries it.
func TestCrashingRequestIsConfirmed(t *testing.T) {
	Convey("Given a server that crashed while running three requests", t, func() {
		r := newHarness(Config{}, servers(1, 3)...)
		bad, good := r.mustGrant(fingerprinted("bad", 1)), r.mustGrant(fingerprinted("good", 2))
		r.mustGrant(fingerprinted("other", 3))
		r.now = r.now.Add(time.Second)
		out := r.send(ServerHealth{Server: "s0", Health: HealthGone, Incarnation: 1})
		So(out, ShouldHaveLength, 3) // one ShareSuspect each
		r.endRun(bad, OutcomeCrashed)
		r.endRun(good, OutcomeCrashed)
		r.send(ServerSet{Servers: servers(4, 3)})

		Convey("A suspect runs alone, another suspect waits for it, other requests run elsewhere", func() {
			again := r.mustGrant(fingerprinted("bad2", 1))
			So(r.send(fingerprinted("good2", 2)), ShouldBeEmpty)
			innocent := r.mustGrant(fingerprinted("new", 9))
			So(innocent.Server, ShouldNotEqual, again.Server)

			Convey("A second crash confirms this suspect only", func() {
				out := r.endRun(again, OutcomeCrashed)
				So(out[0], ShouldResemble, ShareSuspect{Fingerprint: 1, State: SuspectConfirmed, ExpiresIn: defaultSuspectTTL})
				So(shedReason(r.send(fingerprinted("bad3", 1))), ShouldEqual, request.ReasonSuspectConfirmed)
				So(r.suspects.State(r.now, 9), ShouldEqual, 0)
				So(grants(out), ShouldHaveLength, 1) // good2 runs alone next
				cleared := r.endRun(grants(out)[0], OutcomeDone)
				So(cleared, ShouldContain, ShareSuspect{Fingerprint: 2, State: SuspectCleared})
				So(r.mustGrant(fingerprinted("good3", 2)).Request, ShouldEqual, request.ID("good3"))

				Convey("until its TTL expires", func() {
					r.advance(defaultSuspectTTL + time.Second)
					So(r.mustGrant(fingerprinted("bad4", 1)).Request, ShouldEqual, request.ID("bad4"))
				})
			})
			Convey("A suspect that expires in the meantime gets its own reason", func() {
				So(shedReason(r.advance(61*time.Second)), ShouldEqual, request.ReasonSuspectBusy)
			})
		})
		Convey("States from other pools are merged", func() {
			r.send(SuspectShared{Fingerprint: 7, State: SuspectConfirmed, ExpiresIn: time.Minute})
			So(shedReason(r.send(fingerprinted("x", 7))), ShouldEqual, request.ReasonSuspectConfirmed)
			r.send(SuspectShared{Fingerprint: 1, State: SuspectCleared})
			r.mustGrant(fingerprinted("bad2", 1))
			r.mustGrant(fingerprinted("good3", 1)) // cleared: both run
		})
	})
}

// Guards against a new owner that grants full limits on top of the old owner's grants.
func TestNewOwnerCountsAdoptedRuns(t *testing.T) {
	Convey("Given a new owner and two entries that have not reported", t, func() {
		r := newHarness(Config{}, servers(1, 4)...)
		r.send(EntrySet{Entries: []EntryID{"e1", "e2"}})
		So(grants(r.send(enqueue("a", 0))), ShouldBeEmpty)

		Convey("A report releases its entry's share of the limit, less its runs", func() {
			r.send(Running{Entry: "e1", Request: "old", Grant: GrantID{9, 9}, Server: "s0"})
			So(grants(r.send(EntryReported{Entry: "e1"})), ShouldHaveLength, 1)
			So(grants(r.send(enqueue("b", 0))), ShouldBeEmpty)
			So(grants(r.send(EntryReported{Entry: "e2"})), ShouldHaveLength, 1)
			r.send(Release{Request: "old", Entry: "e1", Grant: GrantID{9, 9}, Server: "s0"})
			So(r.Summary(r.now).Running, ShouldEqual, 2)
		})
		Convey("An entry that does not report only delays grants until the timeout", func() {
			So(grants(r.advance(reportTimeout)), ShouldHaveLength, 1)
		})
		Convey("The runs of an entry that left are removed after a grace time", func() {
			r.send(Running{Entry: "e2", Request: "old", Grant: GrantID{9, 9}, Server: "s0"})
			r.send(EntrySet{Entries: []EntryID{"e1"}})
			So(r.Summary(r.now).Running, ShouldEqual, 1)
			r.advance(entryGrace)
			So(r.byGrant[GrantID{9, 9}], ShouldBeNil)
		})
	})
	Convey("The waiting requests and runs of an entry whose process ended are removed at once", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		r.send(EntrySet{Entries: []EntryID{"e1", "e2"}})
		r.send(EntryReported{Entry: "e1"})
		r.send(EntryReported{Entry: "e2"})
		r.mustGrant(enqueue("runs", 0))
		r.send(enqueue("waits", 0))
		other := enqueue("other", 1)
		other.Entry = "e2"
		r.send(other)
		out := grants(r.send(EntryEnded{Entry: "e1"}))
		So(out, ShouldHaveLength, 1)
		So(out[0].Request, ShouldEqual, request.ID("other"))
		So(r.Summary(r.now).Waiting[0], ShouldEqual, 0)
	})
	Convey("A grant lost in transit is repeated and not counted twice", t, func() {
		r := newHarness(Config{}, servers(1, 4)...)
		first := r.mustGrant(enqueue("a", 0))
		So(r.mustGrant(enqueue("a", 0)), ShouldResemble, first)
		So(r.Summary(r.now).Running, ShouldEqual, 1)
		r.send(Withdraw{Request: "a", Entry: "e1"})
		r.advance(withdrawnGrace)
		So(r.Summary(r.now).Running, ShouldEqual, 0)
	})
}

// Guards against a slow server that keeps its share of requests because its health check
// passes.
func TestStragglerIsProbed(t *testing.T) {
	Convey("Given four servers, one of them ten times slower", t, func() {
		r := newHarness(Config{}, servers(4, 2)...)
		slow, n := map[string]time.Duration{"s0": 10}, 0
		round := func() map[string]int {
			got := map[string]int{}
			for range 6 {
				n++
				g := r.mustGrant(enqueue(fmt.Sprint(n), 2))
				got[g.Server]++
				took := 40 * time.Millisecond * max(1, slow[g.Server])
				r.now = r.now.Add(time.Millisecond)
				r.send(Progress{Request: g.Request, Grant: g.Grant, FirstToken: took, Tokens: 1})
				r.send(Progress{Request: g.Request, Grant: g.Grant, FirstToken: took, Tokens: 9, PerToken: took / 4})
				r.endRun(g, OutcomeDone)
				r.advance(compareInterval)
			}
			return got
		}
		for range 10 {
			round()
		}
		slow["s0"] = 10
		s := r.servers["s0"]
		for i := 0; i < 200 && !s.straggler; i++ {
			s.latency.ObserveOverdue(0, time.Second, r.profiles["g"])
			r.updateStraggler(s)
		}
		So(s.straggler, ShouldBeTrue)

		Convey("It only gets probes, and recovers through them", func() {
			r.advance(10 * time.Millisecond)
			So(round()["s0"], ShouldEqual, 0)
			r.advance(stragglerBackoffMin)
			So(round()["s0"], ShouldEqual, 1)
			delete(slow, "s0")
			for range 20 {
				r.advance(time.Second)
				round()
			}
			So(s.straggler, ShouldBeFalse)
		})
	})
	Convey("Servers that are not up get no grants", t, func() {
		for _, h := range []Health{HealthWarming, HealthLeaving, HealthUnresponsive, HealthGone} {
			r := newHarness(Config{}, servers(1, 2)...)
			r.send(ServerHealth{Server: "s0", Health: h, Incarnation: 1})
			So(grants(r.send(enqueue("a", 0))), ShouldBeEmpty)
		}
		r := newHarness(Config{}, servers(1, 2)...)
		g := r.mustGrant(enqueue("a", 0))
		r.send(Release{Request: "a", Entry: "e1", Grant: g.Grant, Server: "s0", Outcome: OutcomeRefused, RefusedLeaving: true})
		So(grants(r.send(enqueue("b", 0))), ShouldBeEmpty)
	})
}

func longPrompt(id string, group int) Enqueue {
	e := enqueue(id, 1)
	e.PromptTokens, e.FirstTokenIn = 4096, 5*time.Second
	for i := range e.PromptTokens / engine.BlockTokens {
		e.Blocks = append(e.Blocks, uint64(group)<<32+uint64(i)+1)
	}
	return e
}

func TestPrefixAwarePlacement(t *testing.T) {
	Convey("Given a request that computes a long prefix on one of two servers", t, func() {
		r := newHarness(Config{}, servers(2, 2)...)
		first := r.mustGrant(longPrompt("a", 1))
		Convey("A request with the same prefix is held until the prefix is cached, then runs there", func() {
			So(grants(r.send(longPrompt("b", 1))), ShouldBeEmpty)
			So(r.mustGrant(longPrompt("c", 2)).Server, ShouldNotEqual, first.Server)
			r.now = r.now.Add(100 * time.Millisecond)
			out := grants(r.send(Progress{Request: "a", Grant: first.Grant, FirstToken: 100 * time.Millisecond, Tokens: 1}))
			So(out, ShouldHaveLength, 1)
			So(out[0].Server, ShouldEqual, first.Server)
			So(r.byGrant[out[0].Grant].uncachedTokens, ShouldEqual, 1)
		})
		Convey("It is not held beyond its slack or for a server that is gone", func() {
			r.send(longPrompt("b", 1))
			So(grants(r.advance(holdMax)), ShouldHaveLength, 1)
			r.send(longPrompt("d", 1))
			r.send(ServerHealth{Server: first.Server, Health: HealthGone, Incarnation: 1})
			So(r.servers[first.Server].heldCount, ShouldEqual, 0)
		})
		Convey("A restart clears the prefix", func() {
			r.send(Progress{Request: "a", Grant: first.Grant, FirstToken: 100 * time.Millisecond, Tokens: 1})
			s := r.servers[first.Server]
			So(r.prefixes.CachedPrefix(s.prefixID, longPrompt("x", 1).Blocks), ShouldEqual, 64)
			r.send(ServerHealth{Server: first.Server, Health: HealthUp, Incarnation: 1})
			r.send(ServerHealth{Server: first.Server, Health: HealthUp, Incarnation: 2})
			So(r.prefixes.CachedPrefix(s.prefixID, longPrompt("x", 1).Blocks), ShouldEqual, 0)
		})
	})
}

func TestSheddingAndRedirects(t *testing.T) {
	full := func(cfg Config) *harness {
		r := newHarness(cfg, servers(1, 1)...)
		r.mustGrant(enqueue("running", 0))
		return r
	}
	Convey("A request is redirected to a sibling with a recent report and a waiting lower tier", t, func() {
		r := full(Config{MaxWaiting: 1})
		r.send(enqueue("waits", 1))
		sibling := Sibling{Pool: "q", Age: 100 * time.Millisecond}
		sibling.Waiting[2] = 1
		r.send(sibling)
		So(r.send(enqueue("a", 1)), ShouldContain, Redirect{Request: "a", Entry: "e1", Pool: "q"})
		So(shedReason(r.send(enqueue("b", 1))), ShouldEqual, request.ReasonShed) // one report attracts one request
		r.send(sibling)
		again := enqueue("c", 1)
		again.NoRedirect = true
		So(shedReason(r.send(again)), ShouldEqual, request.ReasonShed)
		r.now = r.now.Add(siblingMaxAge)
		So(shedReason(r.send(enqueue("d", 1))), ShouldEqual, request.ReasonShed)
	})
	Convey("While no server is up, requests are redirected to siblings with free slots", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		r.send(ServerHealth{Server: "s0", Health: HealthGone, Incarnation: 1})
		r.send(enqueue("a", 0))
		r.send(enqueue("b", 1))
		r.send(Sibling{Pool: "q", Free: 1})
		So(r.advance(time.Millisecond), ShouldResemble, []Command{Redirect{Request: "a", Entry: "e1", Pool: "q"}})
		So(r.Summary(r.now).Waiting[1], ShouldEqual, 1)
	})
	Convey("A workspace is not charged for a grant that was not dispatched", t, func() {
		r := newHarness(Config{}, servers(1, 1)...)
		of := func(id, workspace string) Enqueue {
			e := enqueue(id, 0)
			e.Workspace = workspace
			return e
		}
		g := r.mustGrant(of("a1", "a"))
		r.send(of("b1", "b"))
		r.send(of("a2", "a"))
		out := grants(r.endRun(g, OutcomeNotDispatched))
		So(out[0].Request, ShouldEqual, request.ID("a2"))
	})
	Convey("A request that cannot meet its targets moves to the end of its tier and only expires at its deadline", t, func() {
		r := full(Config{})
		r.send(enqueue("old", 0))
		r.send(enqueue("low", 1))
		r.now = r.now.Add(2 * time.Second)
		fresh := enqueue("fresh", 0)
		r.send(fresh)
		out := grants(r.send(Release{Request: "running", Entry: "e1", Grant: GrantID{1, 1}, Outcome: OutcomeDone}))
		So(out[0].Request, ShouldEqual, request.ID("fresh"))
		So(shedReason(r.advance(57*time.Second)), ShouldEqual, request.Reason(""))
		So(sheds(r.advance(time.Second)), ShouldHaveLength, 2)
	})
	Convey("A workspace above its limit only delays its own requests", t, func() {
		r := full(Config{})
		flood := func(id string, tier request.Tier) Enqueue {
			e := enqueue(id, tier)
			e.Workspace, e.MaxWaiting = "flood", 1
			return e
		}
		r.send(flood("a", 0))
		So(shedReason(r.send(flood("b", 0))), ShouldEqual, request.ReasonWorkspaceLimit)
		r.send(enqueue("low", 1))
		So(r.send(flood("c", 0)), ShouldBeEmpty) // a lower tier waits, so it is queued last
		r.send(enqueue("other", 0))
		out := grants(r.send(Release{Request: "running", Entry: "e1", Grant: GrantID{1, 1}, Outcome: OutcomeDone}))
		So(out[0].Request, ShouldNotEqual, request.ID("c"))
	})
	Convey("Shed callers get different Retry-After values within the limits", t, func() {
		r := full(Config{MaxWaiting: 1})
		r.send(enqueue("waits", 0))
		seen := map[time.Duration]bool{}
		for i := range 20 {
			s := sheds(r.send(enqueue(fmt.Sprint(i), 0)))
			So(s[0].RetryAfter, ShouldBeBetweenOrEqual, retryAfterMin*3/4, retryAfterMax*5/4)
			seen[s[0].RetryAfter] = true
		}
		So(len(seen), ShouldBeGreaterThan, 10)
	})
}

// Guards against long prompts that expire because small requests take all memory as it
// is freed.
func TestLongPromptsDoNotStarve(t *testing.T) {
	Convey("Smaller requests only go before a request without memory for a limited time", t, func() {
		r := newHarness(Config{}, servers(1, 50)...)
		r.servers["s0"].kvCapacity = 10_000
		var running []Grant
		small := func(i int) []Command {
			e := enqueue(fmt.Sprint("small", i), 1)
			e.PromptTokens = 900
			return r.send(e)
		}
		begin := func(out []Command) {
			for _, g := range grants(out) {
				running = append(running, g)
				r.send(Progress{Request: g.Request, Grant: g.Grant, FirstToken: 50 * time.Millisecond, Tokens: 1})
			}
		}
		for i := range 9 {
			begin(small(i))
		}
		So(len(running), ShouldEqual, 9)
		big := enqueue("big", 0)
		big.PromptTokens, big.FirstTokenIn = 8000, 30*time.Second
		So(grants(r.send(big)), ShouldBeEmpty)
		done := false
		for i := 9; i < 60 && !done; i++ {
			r.advance(100 * time.Millisecond)
			out := r.endRun(running[0], OutcomeCanceled)
			running = running[1:]
			begin(append(out, small(i)...))
			done = len(running) > 0 && running[len(running)-1].Request == "big"
			So(len(running), ShouldBeGreaterThan, 0)
		}
		So(done, ShouldBeTrue)
	})
}

func TestHeadroom(t *testing.T) {
	Convey("After a burst of a higher tier, lower tiers leave slots free for the next one", t, func() {
		r := newHarness(Config{}, servers(1, 20)...)
		r.servers["s0"].meanService = 30 // seconds; no slot is freed in time
		for i := range 10 {
			r.endRun(r.mustGrant(enqueue(fmt.Sprint("burst", i), 0)), OutcomeCanceled)
		}
		r.advance(300 * time.Millisecond)
		n := 0
		for i := range 30 {
			n += len(grants(r.send(enqueue(fmt.Sprint("low", i), 1))))
		}
		So(n, ShouldEqual, 16)
		So(grants(r.send(enqueue("high", 0))), ShouldHaveLength, 1)
	})
}

func TestBaselines(t *testing.T) {
	Convey("The baselines route like simple load balancers", t, func() {
		for policy, want := range map[Policy][]string{
			PolicyRoundRobin:       {"s0", "s1", "s0", "s1"},
			PolicyLeastOutstanding: {"s1", "s0", "s1", "s0"},
		} {
			r := newHarness(Config{Policy: policy, MaxWaiting: 1}, servers(2, 1)...)
			r.send(Running{Entry: "e1", Request: "old", Grant: GrantID{9, 9}, Server: "s0"})
			for i, server := range want[:2] {
				So(r.mustGrant(enqueue(fmt.Sprint(i), 0)).Server, ShouldEqual, server)
			}
			So(shedReason(r.send(enqueue("over", 0))), ShouldEqual, request.ReasonShed)
		}
		r := newHarness(Config{Policy: PolicyFIFO}, servers(1, 1)...)
		g := r.mustGrant(enqueue("a", 3))
		r.send(enqueue("b", 3))
		r.send(enqueue("c", 0))
		So(grants(r.endRun(g, OutcomeDone))[0].Request, ShouldEqual, request.ID("b"))
	})
	Convey("Invalid configurations are rejected", t, func() {
		So(Config{Name: "p"}.Validate(), ShouldBeNil)
		for _, bad := range []Config{{}, {Name: "p", Policy: "x"}, {Name: "p", MaxWaiting: -1}, {Name: "p", LimitAlgorithm: "x"}} {
			So(bad.Validate(), ShouldNotBeNil)
		}
	})
}
