package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// newUnevenPool has two servers of one slot: a fast one, on which an answer of 1,000 tokens
// takes 4 s, and a slow one, on which it takes 40 s. Requests wait at most for their target of 400 ms.
func newUnevenPool(traits Traits) *harness {
	r := newHarness(Config{Traits: traits, MaxWaitShare: 1},
		ServerInfo{Name: "fast", Generation: "fast", Slots: 1}, ServerInfo{Name: "slow", Generation: "slow", Slots: 1})
	for range 20 {
		r.servers["fast"].latency.ObservePerToken(1, 4*time.Millisecond, 4*time.Millisecond, score.Profile{})
		r.servers["slow"].latency.ObservePerToken(1, 40*time.Millisecond, 40*time.Millisecond, score.Profile{})
	}
	return r
}

// answer is a request with a deadline of 12 s for an answer of a number of tokens. Its
// target has passed, so that it may be granted any server.
func answer(id string, t request.Tier, tokens int) Enqueue {
	e := enqueue(id, t)
	e.FirstTokenIn, e.DeadlineIn, e.MaxTokens, e.ExpectedTokens = time.Millisecond, 12*time.Second, 4000, tokens
	e.Waited = 399 * time.Millisecond
	return e
}

// Guards against answers that occupy a slot until their deadline on a server that is too slow
// for them, while shorter ones wait.
func TestLongAnswersLeaveSlowServersToShortOnes(t *testing.T) {
	Convey("Given a long answer and a short one of a lower tier that wait for full servers", t, func() {
		full := func(traits Traits) (r *harness, fast, slow Grant) {
			r = newUnevenPool(traits)
			fast, slow = r.mustGrant(answer("fast", 0, 500)), r.mustGrant(answer("slow", 0, 20))
			for id, x := range map[string]Enqueue{"long": answer("long", 0, 1000), "short": answer("short", 1, 20)} {
				x.SentTo = []string{"gone"} // so that it may wait
				So(grants(r.send(x)), ShouldBeEmpty)
				So(r.waiting[request.ID(id)], ShouldNotBeNil)
			}
			return r, fast, slow
		}
		first := func(out []Command) request.ID { return grants(out)[0].Request }

		Convey("without the trait the long one takes the slow server", func() {
			r, _, slow := full(Traits{})
			So(first(r.endRun(slow, OutcomeDone)), ShouldEqual, request.ID("long"))
		})
		r, fast, slow := full(Traits{FinishInTime: true})
		Convey("the short one takes the slow server, and the long one the fast server", func() {
			So(first(r.endRun(slow, OutcomeDone)), ShouldEqual, request.ID("short"))
			So(first(r.endRun(fast, OutcomeDone)), ShouldEqual, request.ID("long"))
		})
		Convey("the long one takes the slow server if nobody else waits", func() {
			r.send(Withdraw{Request: "short", Entry: "e1"})
			So(first(r.endRun(slow, OutcomeDone)), ShouldEqual, request.ID("long"))
		})
		Convey("but not while requests are refused for want of a slot", func() {
			r.send(Withdraw{Request: "short", Entry: "e1"})
			refused := answer("refused", 1, 20)
			refused.Waited = 0
			r.send(refused)
			So(sheds(r.advance(2*time.Millisecond)), ShouldHaveLength, 1)
			So(grants(r.endRun(slow, OutcomeDone)), ShouldBeEmpty)
			So(grants(r.advance(contentionMemory)), ShouldHaveLength, 1)
		})
		Convey("the long one takes the slow server once the fast one is lost", func() {
			r.send(ServerSet{Servers: []ServerInfo{{Name: "slow", Generation: "slow", Slots: 1}}})
			So(first(r.endRun(slow, OutcomeDone)), ShouldEqual, request.ID("short"))
			r.send(Tick{})
			So(r.waiting["long"].Class, ShouldEqual, tier.Infeasible)
		})
		Convey("the long one takes the slow server once the trait is removed", func() {
			r.send(TraitsSet{})
			So(first(r.endRun(slow, OutcomeDone)), ShouldEqual, request.ID("long"))
		})
	})
}

// Guards against requests of unknown length that wait because their cap could not be reached.
func TestUnknownLengthsTakeAnyServer(t *testing.T) {
	Convey("A request without a length estimate takes the slow server at once", t, func() {
		r := newUnevenPool(Traits{FinishInTime: true})
		r.mustGrant(answer("first", 0, 500))
		So(r.mustGrant(answer("unknown", 0, 0)).Server, ShouldEqual, "slow")
	})
}

// Guards against requests that wait for a faster server that they can't get: they would be
// shed, although a free server is the best that they may use.
func TestLongAnswersDoNotWaitForServersTheyCannotUse(t *testing.T) {
	Convey("Given a free fast server and a free slow one, a long answer runs on the slow one", t, func() {
		r := newUnevenPool(Traits{FinishInTime: true})
		long := answer("long", 0, 1000)
		Convey("if only that has its version", func() {
			r.servers["slow"].info.Version, long.Version = "v1", "v1"
			So(r.mustGrant(long).Server, ShouldEqual, "slow")
		})
		Convey("if the fast one has failed it before", func() {
			long.SentTo = []string{"fast"}
			So(r.mustGrant(long).Server, ShouldEqual, "slow")
		})
		Convey("if the fast one's circuit breaker is open", func() {
			r.servers["fast"].breaker.trip(r.now)
			So(r.mustGrant(long).Server, ShouldEqual, "slow")
		})
	})
}

// Guards against a long answer that bypasses the head of its tier, for its warm prefix, to a
// server that is too slow for it.
func TestLongAnswersDoNotBypassToSlowServers(t *testing.T) {
	Convey("Given a full fast server, a slow one that caches a prefix, and two late requests", t, func() {
		r := newUnevenPool(Traits{FinishInTime: true})
		first := r.mustGrant(answer("first", 0, 500))
		So(first.Server, ShouldEqual, "fast")
		r.servers["slow"].pausedUntil = r.now.Add(time.Millisecond)
		short, long := answer("short", 0, 20), answer("long", 0, 1000)
		short.SentTo, long.SentTo = []string{"gone"}, []string{"gone"} // so that they may wait
		long.FirstTokenIn = time.Second                                // so that the short one is due first
		long.PromptTokens, long.Blocks = 4096, longPrompt("", 1).Blocks
		r.send(short)
		r.send(long)
		r.queue.SetClass(&r.waiting["short"].Item, tier.Late)
		r.queue.SetClass(&r.waiting["long"].Item, tier.Late)
		r.prefixes.StorePrompt(r.now, r.servers["slow"].prefixID, long.Blocks)
		Convey("the short answer at the head runs on the slow one, the warm long one waits", func() {
			out := grants(r.advance(time.Millisecond))
			So(out, ShouldHaveLength, 1)
			So(out[0].Request, ShouldEqual, request.ID("short"))
		})
	})
}
