package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool/tier"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against refusals that come too late for the caller to be served elsewhere in
// time.
func TestMaxWait(t *testing.T) {
	newFullPool := func() *harness {
		r := newHarness(Config{MaxWaitShare: 0.1}, servers(1, 1)...)
		r.mustGrant(enqueue("running", 0))
		return r
	}
	Convey("A request is shed after a share of its first-token target", t, func() {
		r := newFullPool()
		r.send(enqueue("waits", 0))
		So(sheds(r.advance(99*time.Millisecond)), ShouldBeEmpty)
		So(shedReason(r.advance(time.Millisecond)), ShouldEqual, request.ReasonShed)
	})
	Convey("The time that it waited at its entry counts", t, func() {
		r := newFullPool()
		e := enqueue("waits", 0)
		e.Waited, e.FirstTokenIn = 60*time.Millisecond, 940*time.Millisecond
		r.send(e)
		So(shedReason(r.advance(40*time.Millisecond)), ShouldEqual, request.ReasonShed)
	})
	Convey("Without a first-token target it is shed after a share of its deadline", t, func() {
		r := newFullPool()
		e := enqueue("waits", 0)
		e.FirstTokenIn, e.DeadlineIn = 0, 10*time.Second
		r.send(e)
		So(sheds(r.advance(999*time.Millisecond)), ShouldBeEmpty)
		So(shedReason(r.advance(time.Millisecond)), ShouldEqual, request.ReasonShed)
	})
	Convey("A request that was sent before may wait until its deadline", t, func() {
		r := newFullPool()
		e := enqueue("sent", 0)
		e.DeadlineIn, e.SentTo = 10*time.Second, []string{"gone"}
		r.send(e)
		So(sheds(r.advance(9999*time.Millisecond)), ShouldBeEmpty)
		So(shedReason(r.advance(time.Millisecond)), ShouldEqual, request.ReasonExpired)
	})
	Convey("A request of a lower tier with a longer maximum wait is shed first", t, func() {
		r := newFullPool()
		low := enqueue("low", 2)
		low.FirstTokenIn = 10 * time.Second
		r.send(low)
		r.send(enqueue("high", 1))
		out := sheds(r.advance(100 * time.Millisecond))
		So(out, ShouldHaveLength, 2)
		So(out[0].Request, ShouldEqual, request.ID("low"))
		So(out[1].Request, ShouldEqual, request.ID("high"))
	})
	Convey("A request that reaches its maximum wait is redirected to a sibling with a free slot", t, func() {
		r := newFullPool()
		r.send(enqueue("waits", 0))
		r.send(Sibling{Pool: "q", Free: 1})
		So(r.advance(100*time.Millisecond), ShouldContain, Redirect{Request: "waits", Entry: "e1", Pool: "q"})
	})
}

// Guards against requests that are shed in every short queue although slots are freed
// every few milliseconds.
func TestExtendedWait(t *testing.T) {
	// newPacedPool returns a pool with one slot that has granted a request every 10 ms. One
	// request runs and n wait.
	newPacedPool := func(n int) (*harness, Grant) {
		r := newHarness(Config{MaxWaitShare: 0.1, ExtendedWaitShare: 0.5}, servers(1, 1)...)
		var g Grant
		for i := range 100 {
			g = r.mustGrant(enqueue(fmt.Sprint("before", i), 0))
			r.now = r.now.Add(10 * time.Millisecond)
			if i < 99 {
				r.endRun(g, OutcomeDone)
			}
		}
		for i := range n {
			r.send(enqueue(fmt.Sprint("w", i), 0))
		}
		return r, g
	}
	Convey("A request that will get a slot soon waits up to the extended wait", t, func() {
		r, _ := newPacedPool(5)
		So(sheds(r.advance(100*time.Millisecond)), ShouldBeEmpty)
		So(sheds(r.advance(399*time.Millisecond)), ShouldBeEmpty)
		So(sheds(r.advance(time.Millisecond)), ShouldHaveLength, 5)
	})
	Convey("The end of the queue, which will not get a slot in time, is shed at its maximum wait", t, func() {
		r, g := newPacedPool(80)
		shed := sheds(r.advance(100 * time.Millisecond))
		So(len(shed), ShouldBeBetween, 30, 60)
		Convey("the others keep their order", func() {
			So(grants(r.endRun(g, OutcomeDone))[0].Request, ShouldEqual, request.ID("w0"))
		})
	})
	Convey("Waiting requests of higher tiers count towards the predicted wait", t, func() {
		r, _ := newPacedPool(0)
		for i := range 80 {
			above := enqueue(fmt.Sprint("above", i), 0)
			above.FirstTokenIn = 20 * time.Second
			r.send(above)
		}
		r.send(enqueue("below", 1))
		shed := sheds(r.advance(100 * time.Millisecond))
		So(shed, ShouldHaveLength, 1)
		So(shed[0].Request, ShouldEqual, request.ID("below"))
	})
	Convey("Granted requests no longer count towards the predicted wait", t, func() {
		r, g := newPacedPool(0)
		for round := range 20 {
			for i := range 5 {
				r.send(enqueue(fmt.Sprint("round", round, "-", i), 0))
			}
			So(sheds(r.advance(100*time.Millisecond)), ShouldBeEmpty)
			for range 5 {
				g = grants(r.endRun(g, OutcomeDone))[0]
			}
		}
	})
	Convey("No wait is extended without recent grants", t, func() {
		r := newHarness(Config{MaxWaitShare: 0.1, ExtendedWaitShare: 0.5}, servers(1, 1)...)
		r.mustGrant(enqueue("running", 0))
		r.now = r.now.Add(time.Minute)
		r.send(enqueue("waits", 0))
		So(sheds(r.advance(100*time.Millisecond)), ShouldHaveLength, 1)
	})
}

// Guards against lower tiers whose wait is extended for slots that go to future arrivals
// of higher tiers.
func TestExtendedWaitCountsArrivalsAbove(t *testing.T) {
	// newBusyPool returns a pool with one slot that grants a request every 10 ms, nine in
	// ten of them of the top tier, and a function that runs one more round.
	newBusyPool := func() (*harness, func() []Command) {
		r := newHarness(Config{MaxWaitShare: 0.1, ExtendedWaitShare: 0.5}, servers(1, 1)...)
		g := r.mustGrant(enqueue("first", 0))
		n := 0
		step := func() (out []Command) {
			n++
			r.now = r.now.Add(10 * time.Millisecond)
			if n%10 != 0 {
				out = append(out, r.send(enqueue(fmt.Sprint("top", n), 0))...)
			}
			freed := r.endRun(g, OutcomeDone)
			if granted := grants(freed); len(granted) > 0 {
				g = granted[0]
			} else {
				g = r.mustGrant(enqueue(fmt.Sprint("low", n), 1))
			}
			return append(out, freed...)
		}
		for range 200 {
			step()
		}
		return r, step
	}
	Convey("Given a lower tier with more waiting requests than remaining slots", t, func() {
		r, step := newBusyPool()
		for i := range 12 {
			r.send(enqueue(fmt.Sprint("w", i), 1))
		}
		refused, served := 0, 0
		count := func(out []Command) {
			refused += len(sheds(out))
			for _, g := range grants(out) {
				if g.Request[0] == 'w' {
					served++
				}
			}
		}
		Convey("requests that will not get a slot are shed at their maximum wait", func() {
			for range 12 {
				count(step())
			}
			So(refused, ShouldBeBetweenOrEqual, 6, 9)
			Convey("almost all requests with an extended wait get a slot in time", func() {
				for range 50 {
					count(step())
				}
				So(served, ShouldBeBetweenOrEqual, 3, 6)
				So(served+refused, ShouldEqual, 12)
			})
		})
	})
}

// Guards against callers that are all told the same short delay and are shed again
// together.
func TestRetryAfterIsSpread(t *testing.T) {
	// shedTogether sheds n requests at once in a pool that grants a request every 100 ms,
	// and returns their Retry-After values.
	shedTogether := func(n int) (retryAfters []time.Duration, r *harness) {
		r = newHarness(Config{MaxWaitShare: 0.1}, servers(1, 1)...)
		g := r.mustGrant(enqueue("first", 0))
		for i := range 100 {
			r.now = r.now.Add(100 * time.Millisecond)
			r.endRun(g, OutcomeDone)
			g = r.mustGrant(enqueue(fmt.Sprint("paced", i), 0))
		}
		for i := range n {
			r.send(enqueue(fmt.Sprint("burst", i), 0))
		}
		for _, s := range sheds(r.advance(100 * time.Millisecond)) {
			retryAfters = append(retryAfters, s.RetryAfter)
		}
		return retryAfters, r
	}
	Convey("Their retries are spread over the time in which slots are expected", t, func() {
		retryAfters, _ := shedTogether(20)
		So(retryAfters, ShouldHaveLength, 20)
		for i := 10; i < len(retryAfters); i++ {
			So(retryAfters[i]-retryAfters[i-10], ShouldBeGreaterThan, 0) // two seconds without the jitter
		}
		So(retryAfters[19]-retryAfters[0], ShouldBeGreaterThan, 1500*time.Millisecond)
	})
	Convey("No delay exceeds the limit plus its jitter", t, func() {
		retryAfters, _ := shedTogether(400)
		for _, d := range retryAfters {
			So(d, ShouldBeLessThanOrEqualTo, retrySpreadMax*5/4)
		}
	})
	Convey("Earlier refusals no longer count once their retries are due", t, func() {
		_, r := shedTogether(20)
		r.now = r.now.Add(time.Minute)
		r.send(enqueue("later", 0))
		So(sheds(r.advance(100 * time.Millisecond))[0].RetryAfter, ShouldBeLessThanOrEqualTo, 2*time.Second)
	})
}

// Guards against requests that wait until too little time is left to use a slot or to
// retry.
func TestExtendedWaitLeavesTimeToRetry(t *testing.T) {
	Convey("No wait is extended beyond a quarter of the deadline", t, func() {
		r := newHarness(Config{MaxWaitShare: 0.1, ExtendedWaitShare: 1}, servers(1, 1)...)
		g := r.mustGrant(enqueue("first", 0))
		for i := range 100 {
			r.now = r.now.Add(10 * time.Millisecond)
			r.endRun(g, OutcomeDone)
			g = r.mustGrant(enqueue(fmt.Sprint("paced", i), 0))
		}
		e := enqueue("tag", 0)
		e.Template, e.FirstTokenIn, e.DeadlineIn = "tag", 2*time.Second, 3*time.Second
		r.send(e)
		So(sheds(r.advance(200*time.Millisecond)), ShouldBeEmpty)
		So(sheds(r.advance(549*time.Millisecond)), ShouldBeEmpty)
		So(sheds(r.advance(time.Millisecond)), ShouldHaveLength, 1)
	})
}

// Guards against late requests that get a slot after their callers have left.
func TestExtendedWaitEndsBeforeTheCallerLeaves(t *testing.T) {
	patience := Patience{Min: time.Second, TargetFactor: 4, PauseFactor: 8}
	for name, x := range map[string]struct {
		traits Traits
		sheds  int
	}{
		"callers that wait until their deadlines": {Traits{}, 0},
		"callers that leave after 1.2 s":          {Traits{Patience: patience}, 1},
		"callers that leave after 2.4 s":          {Traits{Patience: patience, PauseTarget: 300 * time.Millisecond}, 0},
	} {
		Convey("A late request whose slot is predicted after 1.5 s, with "+name, t, func() {
			r := newHarness(Config{Traits: x.traits, MaxWaitShare: 0.12, ExtendedWaitShare: 1}, servers(1, 1)...)
			r.mustGrant(enqueue("runs", 0))
			r.servers["s0"].meanService = 0.75
			r.advance(10 * time.Second) // the rate of arrivals has decayed
			late := enqueue("late", 0)
			late.FirstTokenIn, late.DeadlineIn = 300*time.Millisecond, 12*time.Second
			w := r.newWaiter(late)
			r.admit(w)
			r.queue.SetClass(&w.Item, tier.Late)
			So(sheds(r.advance(40*time.Millisecond)), ShouldHaveLength, x.sheds)
		})
	}
}
