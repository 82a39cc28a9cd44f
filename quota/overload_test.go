package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
)

// arrival is the arrival of a request.
type arrival struct {
	at   time.Time
	tier request.Tier
	cost float64
}

// idlePeers are other daemons that receive no requests.
var idlePeers = []string{"b", "c", "d", "e", "f", "g", "h", "i"}

// outcome counts the requests of a load, by tier.
type outcome struct {
	offered, served [request.MaxTiers]int
	amount          float64 // of the served requests
}

// replay sends the load to the limiter in order of arrival.
func replay(c *clock, l *Limiter, w *route.Workspace, load []arrival) outcome {
	var out outcome
	slices.SortFunc(load, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, a := range load {
		c.now = a.at
		for _, name := range idlePeers {
			l.RecordHeartbeat(name, 0)
		}
		out.offered[a.tier]++
		if ok, _ := l.Take(w, a.tier, a.cost); ok {
			out.served[a.tier]++
			out.amount += a.cost
		}
	}
	return out
}

// poissonArrivals returns requests of a tier that arrive at random at a mean rate.
func poissonArrivals(rng *rand.Rand, from time.Time, duration time.Duration, perSecond float64, tier request.Tier, cost float64) []arrival {
	var out []arrival
	for at := from; ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		if at.Sub(from) > duration {
			return out
		}
		out = append(out, arrival{at: at, tier: tier, cost: cost})
	}
}

// The quota of a large workspace and the operators' tolerance, in tokens.
var (
	largeWorkspace = &route.Workspace{Name: "w", Quota: route.Quota{PerSecond: 40_000, Burst: 40_000, Tokens: true}}
	tolerance      = Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 190_000}
)

// emptyLimiter returns the limiter of a daemon that has just started, with peers.
func emptyLimiter() (*clock, *Limiter) {
	c := &clock{now: time.Unix(1000, 0)}
	l := NewLimiter(c.Now, 9, tolerance)
	l.SetMembers(idlePeers)
	l.AddWorkspaces([]*route.Workspace{largeWorkspace})
	return c, l
}

// fullLimiter returns a limiter with a full bucket.
func fullLimiter() (*clock, *Limiter) {
	c, l := emptyLimiter()
	for range 60 {
		c.advance(time.Second)
		for _, name := range idlePeers {
			l.RecordReport([]string{name}, nil, 0)
		}
	}
	return c, l
}

// Guards against urgent requests that are rejected while less urgent ones of their workspace are admitted.
func TestUrgentTiersComeFirstInAWorkspaceOverItsQuota(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		Convey("Nearly all requests of the most urgent tier are served, and the whole quota is used", t, func() {
			c, l := fullLimiter()
			rng := rand.New(rand.NewPCG(seed, 0))
			load := poissonArrivals(rng, c.now, 10*time.Second, 9, 1, 4000)
			load = append(load, poissonArrivals(rng, c.now, 10*time.Second, 10, 2, 3000)...)
			load = append(load, poissonArrivals(rng, c.now, 10*time.Second, 40, 3, 1400)...)
			out := replay(c, l, largeWorkspace, load)
			So(float64(out.served[1]), ShouldBeGreaterThan, 0.95*float64(out.offered[1]))
			So(float64(out.served[3]), ShouldBeLessThan, 0.6*float64(out.offered[3]))
			quota := largeWorkspace.Quota.PerSecond*10 + largeWorkspace.Quota.Burst
			So(out.amount, ShouldBeGreaterThan, quota)
		})
	}
	Convey("The least urgent of all tiers still has a part of the bucket", t, func() {
		_, l := fullLimiter()
		for tier := request.Tier(0); tier < request.MaxTiers; tier++ {
			l.Take(largeWorkspace, tier, 1)
		}
		ok, _ := l.Take(largeWorkspace, request.MaxTiers-1, 4000)
		So(ok, ShouldBeTrue)
	})
	Convey("All requests of a workspace within its quota are served, whatever their tiers", t, func() {
		c, l := fullLimiter()
		rng := rand.New(rand.NewPCG(4, 0))
		load := poissonArrivals(rng, c.now, 10*time.Second, 3, 1, 4000)
		load = append(load, poissonArrivals(rng, c.now, 10*time.Second, 10, 3, 1400)...)
		out := replay(c, l, largeWorkspace, load)
		So(out.served, ShouldResemble, out.offered)
	})
	Convey("A tier has the whole bucket if no more urgent tier was recently in use", t, func() {
		c, l := fullLimiter()
		l.Take(largeWorkspace, 1, 4000)
		for range tierActiveWindow/time.Second + 1 {
			c.advance(time.Second)
			for _, name := range idlePeers {
				l.RecordReport([]string{name}, nil, 0)
			}
		}
		served := 0.0
		for ok, _ := l.Take(largeWorkspace, 3, 4000); ok; ok, _ = l.Take(largeWorkspace, 3, 4000) {
			served += 4000
		}
		So(served, ShouldBeGreaterThan, tolerance.capacity(largeWorkspace.Quota)-4000)
	})
}

// Guards against callers that retry too early after a restart, when only a part of the rate accrues.
func TestWaitFollowsTheLocalAccrualRate(t *testing.T) {
	Convey("A lone caller that retries after the given wait is admitted", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l := NewLimiter(c.Now, 16, tolerance)
		l.AddWorkspaces([]*route.Workspace{largeWorkspace})
		ok, wait := l.Take(largeWorkspace, 1, 4000)
		So(ok, ShouldBeFalse)
		c.advance(wait - time.Millisecond)
		ok, _ = l.Take(largeWorkspace, 1, 4000)
		So(ok, ShouldBeFalse)
		c.advance(time.Millisecond)
		ok, _ = l.Take(largeWorkspace, 1, 4000)
		So(ok, ShouldBeTrue)
	})
	Convey("The wait is at most maxWait", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l := NewLimiter(c.Now, 16, tolerance)
		l.AddWorkspaces([]*route.Workspace{largeWorkspace})
		l.DeductRemote([]Usage{{"w", 1e9}})
		_, wait := l.Take(largeWorkspace, 1, 4000)
		So(wait, ShouldEqual, maxWait)
	})
}
