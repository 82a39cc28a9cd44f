package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/route"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func testWorkspace() *route.Workspace {
	return &route.Workspace{Name: "w", Quota: route.Quota{PerSecond: 100, Burst: 50}}
}

// singleLimiter returns the limiter of the only daemon, and a workspace that has a bucket
// there.
func singleLimiter() (*clock, *Limiter, *route.Workspace) {
	c := &clock{now: time.Unix(1000, 0)}
	l, w := NewLimiter(c.Now, 1, Tolerance{}), testWorkspace()
	l.AddWorkspaces([]*route.Workspace{w})
	return c, l, w
}

func TestSingleLimiter(t *testing.T) {
	Convey("A bucket starts empty, fills at the rate and holds the burst", t, func() {
		c, l, w := singleLimiter()
		ok, wait := l.Take(w, 0, 10)
		So(ok, ShouldBeFalse)
		So(wait, ShouldEqual, 100*time.Millisecond)
		c.advance(wait)
		ok, _ = l.Take(w, 0, 10)
		So(ok, ShouldBeTrue)
		c.advance(time.Hour)
		ok, _ = l.Take(w, 0, 500) // more than the bucket holds: admitted once it is full
		So(ok, ShouldBeTrue)
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeFalse)
	})
	Convey("The cost of a request that did not run is refunded", t, func() {
		c, l, w := singleLimiter()
		c.advance(time.Second)
		l.Take(w, 0, 50)
		l.Return(w, 50)
		ok, _ := l.Take(w, 0, 50)
		So(ok, ShouldBeTrue)
	})
	Convey("Only unreported usage is returned", t, func() {
		c, l, w := singleLimiter()
		c.advance(time.Second)
		l.Take(w, 0, 20)
		So(l.HasUnreported(), ShouldBeTrue)
		So(l.TakeUnreported(), ShouldResemble, []Usage{{"w", 20}})
		So(l.HasUnreported(), ShouldBeFalse)
		So(l.TakeUnreported(), ShouldBeEmpty)
	})
}

func TestLimiterWithPeers(t *testing.T) {
	largeBurst := &route.Workspace{Name: "w", Quota: route.Quota{PerSecond: 100, Burst: 10_000}}
	// limiterWithPeers returns a limiter that has just heard the other daemons. Its bucket
	// holds 1000.
	limiterWithPeers := func(peers ...string) (*clock, *Limiter) {
		c := &clock{now: time.Unix(1000, 0)}
		l := NewLimiter(c.Now, 16, Tolerance{})
		l.random = func() float64 { return 0 }
		l.SetMembers(peers)
		l.AddWorkspaces([]*route.Workspace{largeBurst})
		for _, name := range peers {
			l.RecordHeartbeat(name, 0)
		}
		for range 10 {
			c.advance(time.Second)
			for _, name := range peers {
				l.RecordReport([]string{name}, nil, 0)
			}
		}
		return c, l
	}
	expectLevel := func(l *Limiter, amount float64) {
		ok, _ := l.Take(largeBurst, 0, amount+1)
		So(ok, ShouldBeFalse)
		ok, _ = l.Take(largeBurst, 0, amount)
		So(ok, ShouldBeTrue)
	}
	Convey("Before another daemon is known, only a share accrues", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l := NewLimiter(c.Now, 16, Tolerance{})
		l.AddWorkspaces([]*route.Workspace{largeBurst})
		c.advance(16 * time.Second)
		expectLevel(l, 100)
	})
	// newHub returns an exchange whose daemon is the hub of another one.
	newHub := func(c *clock, l *Limiter) *Exchange { return NewExchange(l, c.Now, 7) }
	Convey("The usage of another daemon is deducted once, and its refund is added", t, func() {
		c, l := limiterWithPeers("a")
		hub := newHub(c, l)
		hub.HandleBatch("a", Batch{Incarnation: 1, Number: 1, Usage: []Usage{{"w", 300}}})
		hub.HandleBatch("a", Batch{Incarnation: 1, Number: 1, Usage: []Usage{{"w", 300}}})
		hub.HandleBatch("a", Batch{Incarnation: 1, Number: 2, Usage: []Usage{{"w", -50}}})
		expectLevel(l, 750)
	})
	Convey("The batches of a restarted daemon count although their numbers start again", t, func() {
		c, l := limiterWithPeers("a")
		hub := newHub(c, l)
		hub.HandleBatch("a", Batch{Incarnation: 1, Number: 1, Usage: []Usage{{"w", 300}}})
		hub.HandleBatch("a", Batch{Incarnation: 2, Number: 1, Usage: []Usage{{"w", 100}}})
		expectLevel(l, 600)
	})
	Convey("A refund is reported", t, func() {
		_, l := limiterWithPeers("a")
		l.Take(largeBurst, 0, 20)
		So(l.TakeUnreported(), ShouldResemble, []Usage{{"w", 20}})
		l.Return(largeBurst, 20)
		So(l.TakeUnreported(), ShouldResemble, []Usage{{"w", -20}})
	})
	Convey("The share of a daemon for the time of its silence is not gained by a heartbeat", t, func() {
		c, l := limiterWithPeers("a")
		c.advance(10 * time.Second)
		l.RecordHeartbeat("a", 0)
		expectLevel(l, 1000) // half of the saved burst, and its own share since
	})
	Convey("The share of a daemon for the time of its silence is gained by a report of its whole usage", t, func() {
		c, l := limiterWithPeers("a")
		c.advance(10 * time.Second)
		l.RecordReport([]string{"a"}, []Usage{{"w", 300}}, 0)
		expectLevel(l, 1700)
	})
	Convey("A daemon that has left keeps no share", t, func() {
		c, l := limiterWithPeers("a", "b")
		l.SetMembers([]string{"a"})
		c.advance(10 * time.Second)
		l.RecordHeartbeat("a", 0)
		So(l.Share(), ShouldEqual, 1)
	})
}

func TestSilentDaemonsKeepTheirShare(t *testing.T) {
	Convey("Each of four daemons that hear nobody admits a quarter of the quota", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l, w := NewLimiter(c.Now, 16, Tolerance{}), testWorkspace()
		l.SetMembers([]string{"a", "b", "c"})
		l.AddWorkspaces([]*route.Workspace{w})
		c.advance(10 * time.Second)
		ok, _ := l.Take(w, 0, 12) // its part of the burst
		So(ok, ShouldBeTrue)
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeFalse)
		used := 0
		for range 40 {
			c.advance(100 * time.Millisecond)
			for {
				if ok, _ := l.Take(w, 0, 1); !ok {
					break
				}
				used++
			}
		}
		So(used, ShouldBeBetween, 95, 105)
	})
	Convey("The share of a daemon that is heard again is used, and its usage counts", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l, w := NewLimiter(c.Now, 16, Tolerance{}), testWorkspace()
		l.random = func() float64 { return 0 }
		l.SetMembers([]string{"a"})
		l.AddWorkspaces([]*route.Workspace{w})
		hub := NewExchange(l, c.Now, 7)
		hub.HandleBatch("a", Batch{Incarnation: 1, Number: 1, Usage: []Usage{{"w", 10}}})
		c.advance(time.Second)
		hub.HandleBatch("a", Batch{Incarnation: 1, Number: 2})
		ok, _ := l.Take(w, 0, 50)
		So(ok, ShouldBeTrue)
		c.advance(300 * time.Millisecond)
		hub.HandleBatch("a", Batch{Incarnation: 1, Number: 3, Usage: []Usage{{"w", 30}}})
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeFalse)
		hub.HandleBatch("a", Batch{Incarnation: 2, Number: 1}) // restarted
		c.advance(20 * time.Millisecond)
		hub.HandleBatch("a", Batch{Incarnation: 2, Number: 2})
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeTrue)
	})
}

// Guards against small requests that are rejected because a large prompt has overdrawn the bucket.
func TestLargeAndSmallRequestsShareABucket(t *testing.T) {
	tolerance := Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 80}
	Convey("A large request may overdraw the bucket once, small ones are still admitted", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l, w := NewLimiter(c.Now, 1, tolerance), testWorkspace()
		l.AddWorkspaces([]*route.Workspace{w})
		c.advance(time.Second)
		ok, _ := l.Take(w, 0, 60) // leaves 6
		So(ok, ShouldBeTrue)
		ok, _ = l.Take(w, 0, 30) // needs 10
		So(ok, ShouldBeFalse)
		ok, _ = l.Take(w, 0, 9)
		So(ok, ShouldBeTrue)
		for range 30 {
			ok, _ = l.Take(w, 0, 1)
		}
		So(ok, ShouldBeFalse) // the overdraft is bounded
		c.advance(500 * time.Millisecond)
		ok, _ = l.Take(w, 0, 500)
		So(ok, ShouldBeTrue)
	})
}
