package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/fairshare"
	"github.com/lycheekeel/lycheekeel/request"
)

// loadClass is one kind of request in a replayed load.
type loadClass struct {
	tier             request.Tier
	perSecond        float64
	prompt, tokens   int
	target, deadline time.Duration
	decodeTime       time.Duration // from the end of the prefill to the end of the answer
}

// prefillPerToken is the time that an engine needs to prefill one prompt token. All other
// runs on the engine stall meanwhile.
const prefillPerToken = time.Millisecond / 56

func (c loadClass) prefillTime() time.Duration { return time.Duration(c.prompt) * prefillPerToken }

// Load classes of a deployment with different kinds of work: long drafts, one-page
// summaries, and tags that occupy a slot for a twentieth of the time.
var (
	draft   = loadClass{tier: 0, perSecond: 11.1, prompt: 6600, tokens: 380, target: 800 * time.Millisecond, deadline: 15 * time.Second, decodeTime: 1400 * time.Millisecond}
	summary = loadClass{tier: 1, perSecond: 13.5, prompt: 690, tokens: 290, target: time.Second, deadline: 12 * time.Second, decodeTime: 1050 * time.Millisecond}
	tag     = loadClass{tier: 2, perSecond: 17.6, prompt: 1860, tokens: 22, target: 1500 * time.Millisecond, deadline: 3 * time.Second, decodeTime: 60 * time.Millisecond}
)

// scaled returns the class at a multiple of its rate.
func (c loadClass) scaled(x float64) loadClass {
	c.perSecond *= x
	return c
}

// replayLength is the time in which new callers arrive. Their deadlines end later.
const replayLength = 30 * time.Second

// replayResult counts the results of the callers by tier.
type replayResult struct {
	callers, served [request.MaxTiers]float64
	// engineTime is the engine time of the served requests of each tier, in seconds: the
	// whole engine during prefill and one slot's share during the rest of the run.
	engineTime [request.MaxTiers]float64
	// inversions counts the requests that were shed while one of a lower tier waited.
	inversions int
}

// Size of the replayed pool: engines, and slots per engine.
const (
	engines = 6
	slots   = 8
)

// engineShare is the share of all engine time that a tier's served requests took.
func (x replayResult) engineShare(t request.Tier) float64 {
	return x.engineTime[t] / (engines * replayLength.Seconds())
}

// servedShare is the share of a tier's callers that were served.
func (x replayResult) servedShare(t request.Tier) float64 { return x.served[t] / max(1, x.callers[t]) }

// overallServedShare is the share of all callers that were served.
func (x replayResult) overallServedShare() float64 {
	callers, served := 0.0, 0.0
	for t := range x.callers {
		callers += x.callers[t]
		served += x.served[t]
	}
	return served / max(1, callers)
}

// replay simulates a pool of engines under a load. A shed caller retries once, after its
// Retry-After or a third of its remaining time, whichever is less.
type replay struct {
	*simulation
	callers map[request.ID]*caller
	result  replayResult
	// running holds the runs of each server.
	running map[string][]*engineRun
	// waiting counts the waiting requests by tier, according to the pool's commands.
	waiting [request.MaxTiers]int
}

// engineRun is a run on an engine.
type engineRun struct {
	grant  Grant
	caller *caller
	began  time.Time
	ends   time.Time
}

type caller struct {
	loadClass
	id       request.ID
	deadline time.Time
	retried  bool
}

// retryDivisor divides the remaining time of a shed caller; the result is its longest
// wait before the retry.
const retryDivisor = 3

// runReplay replays a load with the given shares for starved tiers.
func runReplay(shares *fairshare.Ledger, seed uint64, load ...loadClass) replayResult {
	x := &replay{
		simulation: &simulation{pool: newHarness(Config{
			MaxWaitShare: 0.12, ExtendedWaitShare: 1, Headroom: 0.05, ReleaseGrace: time.Second, KeepStragglers: true, SpareFastServers: true,
		}, servers(engines, slots)...)},
		callers: map[request.ID]*caller{},
		running: map[string][]*engineRun{},
	}
	x.pool.fairShare = shares
	random := rand.New(rand.NewPCG(seed, 0))
	for _, c := range load {
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second))
			if at > replayLength {
				break
			}
			x.result.callers[c.tier]++
			x.at(start.Add(at), func() { x.send(&caller{loadClass: c, deadline: x.pool.now.Add(c.deadline)}) })
		}
	}
	x.tick(2*replayLength, x.handle)
	x.run()
	return x.result
}

func (x *replay) send(c *caller) {
	c.id = request.ID(fmt.Sprint("r", len(x.callers)))
	x.callers[c.id] = c
	e := enqueue(string(c.id), c.tier)
	e.Template = fmt.Sprint(c.tier)
	e.FirstTokenIn, e.DeadlineIn = c.target, c.deadline.Sub(x.pool.now)
	e.PromptTokens, e.MaxTokens, e.ExpectedTokens = c.prompt, 2*c.tokens, c.tokens
	x.waiting[c.tier]++
	x.handle(x.pool.send(e))
}

func (x *replay) handle(out []Command) {
	for _, command := range out {
		switch command := command.(type) {
		case Grant:
			c := x.callers[command.Request]
			x.waiting[c.tier]--
			x.begin(command, c)
		case Shed:
			c := x.callers[command.Request]
			x.waiting[c.tier]--
			if command.Reason == request.ReasonShed && slices.Max(x.waiting[c.tier+1:]) > 0 {
				x.result.inversions++
			}
			x.retryOnce(command, c)
		}
	}
}

func (x *replay) begin(g Grant, c *caller) {
	for _, other := range x.running[g.Server] {
		other.ends = other.ends.Add(c.prefillTime())
	}
	first := c.prefillTime() + startupTime
	r := &engineRun{grant: g, caller: c, began: x.pool.now, ends: x.pool.now.Add(first + c.decodeTime)}
	x.running[g.Server] = append(x.running[g.Server], r)
	x.at(x.pool.now.Add(first), func() {
		x.handle(x.pool.send(Progress{Request: g.Request, Grant: g.Grant, Server: g.Server, FirstToken: first, Tokens: 1}))
	})
	x.at(r.ends, func() { x.end(r, first) })
}

// startupTime is the time that an engine needs to start a request.
const startupTime = 16 * time.Millisecond

// end ends a run, or reschedules its end if the prefill of other runs has delayed it.
func (x *replay) end(r *engineRun, first time.Duration) {
	if r.ends.After(x.pool.now) {
		x.at(r.ends, func() { x.end(r, first) })
		return
	}
	g, c := r.grant, r.caller
	if !x.pool.now.After(c.deadline) {
		x.result.served[c.tier]++
		x.result.engineTime[c.tier] += c.prefillTime().Seconds() + (startupTime+c.decodeTime).Seconds()/slots
	}
	all := x.running[g.Server]
	x.running[g.Server] = slices.Delete(all, slices.Index(all, r), slices.Index(all, r)+1)
	x.handle(x.pool.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeDone,
		FirstToken: first, Total: x.pool.now.Sub(r.began), OutputTokens: c.tokens, PromptTokens: c.prompt, PrefillComputed: c.prompt}))
}

func (x *replay) retryOnce(s Shed, c *caller) {
	left := c.deadline.Sub(x.pool.now)
	if c.retried || left <= 0 {
		return
	}
	c.retried = true
	x.at(x.pool.now.Add(min(s.RetryAfter, left/retryDivisor)), func() { x.send(c) })
}

// strictOrder gives no shares to starved tiers.
func strictOrder() *fairshare.Ledger { return fairshare.New(fairshare.Config{Window: starvedWindow}) }

// seeds is the number of seeds with which each load is replayed.
const seeds = 3

// longOverloads are loads that exceed the slots for the whole replay.
var longOverloads = map[string][]loadClass{
	"overload of all tiers":                    {draft.scaled(1.5), summary.scaled(1.5), tag.scaled(1.5)},
	"overload of the middle tier":              {draft, summary.scaled(3), tag},
	"overload of all tiers, mostly the lowest": {draft.scaled(1.4), summary.scaled(1.4), tag.scaled(3)},
}

const (
	// starvedBelow is the share of the overall service below which a tier counts as
	// starved.
	starvedBelow = 0.25
	// minRelativeService is the share of the overall service that each tier should get.
	minRelativeService = 0.5
	// maxServiceLoss is the share of a higher tier's callers that may be lost, beyond the
	// share of engine time given to the lower tier.
	maxServiceLoss = 0.01
)

// Guards against a tier that gets almost no service while higher tiers have more work
// than slots.
func TestEachTierGetsAQuarterOfOverallService(t *testing.T) {
	for name, load := range longOverloads {
		Convey("In an "+name+", no tier starves, no request is shed before a lower tier, and more callers are served overall", t, func() {
			for seed := range uint64(seeds) {
				out, strict := runReplay(newFairShare(), seed, load...), runReplay(strictOrder(), seed, load...)
				So(strict.servedShare(tag.tier), ShouldBeLessThan, starvedBelow*strict.overallServedShare())
				So(out.servedShare(tag.tier), ShouldBeGreaterThanOrEqualTo, starvedBelow*out.overallServedShare())
				So(out.inversions, ShouldEqual, 0)
				So(out.overallServedShare(), ShouldBeGreaterThan, strict.overallServedShare())
				So(out.servedShare(draft.tier), ShouldBeGreaterThan, strict.servedShare(draft.tier)-maxServiceLoss)
				So(out.servedShare(summary.tier), ShouldBeGreaterThan, strict.servedShare(summary.tier)-starvedMaxShare)
			}
		})
	}
}

// Guards against a lowest tier that gets less than half of the overall service, or that
// costs higher tiers a larger share of their callers than it takes of the engine time.
func TestNoTierStarvesInALongOverload(t *testing.T) {
	for name, load := range longOverloads {
		Convey("In an "+name+", each tier gets half of the overall service, and higher tiers lose no more than it takes", t, func() {
			for seed := range uint64(seeds) {
				out, without := runReplay(newFairShare(), seed, load...), runReplay(newFairShare(), seed, load[0], load[1])
				So(out.servedShare(tag.tier), ShouldBeGreaterThanOrEqualTo, minRelativeService*out.overallServedShare())
				taken := out.engineShare(tag.tier)
				So(out.servedShare(draft.tier), ShouldBeGreaterThan, without.servedShare(draft.tier)-taken-maxServiceLoss)
				So(out.servedShare(summary.tier), ShouldBeGreaterThan, without.servedShare(summary.tier)-taken-maxServiceLoss)
			}
		})
	}
}

// Guards against a lowest tier of long requests that gets no service, or so much that
// higher tiers starve.
func TestLowTierOfLongRequestsDoesNotStarve(t *testing.T) {
	long := loadClass{tier: 2, perSecond: 12, prompt: 1100, tokens: 170, target: 500 * time.Millisecond, deadline: 15 * time.Second, decodeTime: 900 * time.Millisecond}
	Convey("It gets a quarter of the overall service, and the top tier loses no more than its share", t, func() {
		for seed := range uint64(seeds) {
			load := []loadClass{draft.scaled(2.3), summary.scaled(5), long.scaled(2)}
			out, strict := runReplay(newFairShare(), seed, load...), runReplay(strictOrder(), seed, load...)
			So(strict.servedShare(long.tier), ShouldBeLessThan, starvedBelow*strict.overallServedShare())
			So(out.servedShare(long.tier), ShouldBeGreaterThanOrEqualTo, starvedBelow*out.overallServedShare())
			So(out.servedShare(draft.tier), ShouldBeGreaterThan, strict.servedShare(draft.tier)-starvedMaxShare)
		}
	})
}

// Guards against starved tiers that take the memory for which a long prompt of a higher
// tier waits.
func TestStarvedTierYieldsToPromptWaitingForMemory(t *testing.T) {
	Convey("Given a starved tier with accumulated slot time, and a prompt that fits on no server", t, func() {
		r := newHarness(Config{}, servers(1, 8)...)
		r.servers["s0"].kvCapacity = 10_000
		filler := enqueue("filler", 0)
		filler.PromptTokens = 8000
		g := r.mustGrant(filler)
		r.send(Progress{Request: g.Request, Grant: g.Grant, FirstToken: 50 * time.Millisecond, Tokens: 1})
		for range 100 {
			r.fairShare.RecordGrant(r.now, 0, 1)
			r.fairShare.RecordRefusal(r.now, 2)
		}
		low := enqueue("low", 2)
		So(r.fairShare.IsStarved(r.now, 2), ShouldBeTrue)
		So(grants(r.send(low)), ShouldHaveLength, 1)

		big := enqueue("big", 0)
		big.PromptTokens, big.FirstTokenIn = 5000, 30*time.Second
		So(grants(r.send(big)), ShouldBeEmpty)
		r.advance(memoryStarveAfter)
		low.Request = "next"
		So(grants(r.send(low)), ShouldBeEmpty)
		So(grants(r.endRun(g, OutcomeDone)), ShouldHaveLength, 2) // both fit now
	})
}
