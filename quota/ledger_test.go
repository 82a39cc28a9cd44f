package quota

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/route"
)

type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func (c *clock) pass(d time.Duration) { c.now = c.now.Add(d) }

func space() *route.Workspace {
	return &route.Workspace{Name: "w", Quota: route.Quota{PerSecond: 100, Burst: 50}}
}

// alone returns the ledger of the only daemon, and a workspace that it knows.
func alone() (*clock, *Ledger, *route.Workspace) {
	c := &clock{now: time.Unix(1000, 0)}
	l, w := NewLedger(c.read, 1, Tolerance{}), space()
	l.Prepare([]*route.Workspace{w})
	return c, l, w
}

func TestLedgerAlone(t *testing.T) {
	Convey("A bucket starts empty, fills at the rate and holds the burst", t, func() {
		c, l, w := alone()
		ok, wait := l.Take(w, 0, 10)
		So(ok, ShouldBeFalse)
		So(wait, ShouldEqual, 100*time.Millisecond)
		c.pass(wait)
		ok, _ = l.Take(w, 0, 10)
		So(ok, ShouldBeTrue)
		c.pass(time.Hour)
		ok, _ = l.Take(w, 0, 500) // more than the bucket holds: once it is full
		So(ok, ShouldBeTrue)
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeFalse)
	})
	Convey("What was not run is given back", t, func() {
		c, l, w := alone()
		c.pass(time.Second)
		l.Take(w, 0, 50)
		l.Return(w, 50)
		ok, _ := l.Take(w, 0, 50)
		So(ok, ShouldBeTrue)
	})
	Convey("Only what has changed is told", t, func() {
		c, l, w := alone()
		c.pass(time.Second)
		l.Take(w, 0, 20)
		So(l.Untold(), ShouldBeTrue)
		So(l.Pending(), ShouldResemble, []Use{{"w", 20}})
		So(l.Untold(), ShouldBeFalse)
		So(l.Pending(), ShouldBeEmpty)
	})
}

func TestLedgerAmongOthers(t *testing.T) {
	wide := &route.Workspace{Name: "w", Quota: route.Quota{PerSecond: 100, Burst: 10_000}}
	// given returns a ledger that has just heard the other daemons; its bucket
	// has gathered a thousand.
	given := func(others ...string) (*clock, *Ledger) {
		c := &clock{now: time.Unix(1000, 0)}
		l := NewLedger(c.read, 16, Tolerance{})
		l.random = func() float64 { return 0 }
		l.Members(others)
		l.Prepare([]*route.Workspace{wide})
		for _, name := range others {
			l.Alive(name, 0)
		}
		for range 10 {
			c.pass(time.Second)
			for _, name := range others {
				l.Told([]string{name}, nil, 0)
			}
		}
		return c, l
	}
	has := func(l *Ledger, amount float64) {
		ok, _ := l.Take(wide, 0, amount+1)
		So(ok, ShouldBeFalse)
		ok, _ = l.Take(wide, 0, amount)
		So(ok, ShouldBeTrue)
	}
	Convey("Before another was met, only a share accrues", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l := NewLedger(c.read, 16, Tolerance{})
		l.Prepare([]*route.Workspace{wide})
		c.pass(16 * time.Second)
		has(l, 100)
	})
	// reports returns an exchange whose daemon is the hub of another.
	reports := func(c *clock, l *Ledger) *Exchange { return NewExchange(l, c.read, 7) }
	Convey("What another daemon uses is taken once, and what it gives back returns", t, func() {
		c, l := given("a")
		e := reports(c, l)
		e.Report("a", Batch{Incarnation: 1, Number: 1, Uses: []Use{{"w", 300}}})
		e.Report("a", Batch{Incarnation: 1, Number: 1, Uses: []Use{{"w", 300}}})
		e.Report("a", Batch{Incarnation: 1, Number: 2, Uses: []Use{{"w", -50}}})
		has(l, 750)
	})
	Convey("A daemon that starts anew counts from zero", t, func() {
		c, l := given("a")
		e := reports(c, l)
		e.Report("a", Batch{Incarnation: 1, Number: 1, Uses: []Use{{"w", 300}}})
		e.Report("a", Batch{Incarnation: 2, Number: 1, Uses: []Use{{"w", 100}}})
		has(l, 600)
	})
	Convey("What is given back is told", t, func() {
		_, l := given("a")
		l.Take(wide, 0, 20)
		So(l.Pending(), ShouldResemble, []Use{{"w", 20}})
		l.Return(wide, 20)
		So(l.Pending(), ShouldResemble, []Use{{"w", -20}})
	})
	Convey("The share of one that was silent is not gained by hearing it again", t, func() {
		c, l := given("a")
		c.pass(10 * time.Second)
		l.Alive("a", 0)
		has(l, 1000) // half of what was saved, and its own share since
	})
	Convey("It is gained where all that the other used is known", t, func() {
		c, l := given("a")
		c.pass(10 * time.Second)
		l.Told([]string{"a"}, []Use{{"w", 300}}, 0)
		has(l, 1700)
	})
	Convey("One that is gone for good keeps no share", t, func() {
		c, l := given("a", "b")
		l.Members([]string{"a"})
		c.pass(10 * time.Second)
		l.Alive("a", 0)
		So(l.Share(), ShouldEqual, 1)
	})
}

func TestSilentDaemonsKeepTheirShare(t *testing.T) {
	Convey("Of four daemons cut off from each other, each lets a quarter through", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l, w := NewLedger(c.read, 16, Tolerance{}), space()
		l.Members([]string{"a", "b", "c"})
		l.Prepare([]*route.Workspace{w})
		c.pass(10 * time.Second)
		ok, _ := l.Take(w, 0, 12) // its part of the burst
		So(ok, ShouldBeTrue)
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeFalse)
		used := 0
		for range 40 {
			c.pass(100 * time.Millisecond)
			for {
				if ok, _ := l.Take(w, 0, 1); !ok {
					break
				}
				used++
			}
		}
		So(used, ShouldBeBetween, 95, 105)
	})
	Convey("One that is heard again gives its share back, and its use counts", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l, w := NewLedger(c.read, 16, Tolerance{}), space()
		l.random = func() float64 { return 0 }
		l.Members([]string{"a"})
		l.Prepare([]*route.Workspace{w})
		e := NewExchange(l, c.read, 7)
		e.Report("a", Batch{Incarnation: 1, Number: 1, Uses: []Use{{"w", 10}}})
		c.pass(time.Second)
		e.Report("a", Batch{Incarnation: 1, Number: 2})
		ok, _ := l.Take(w, 0, 50)
		So(ok, ShouldBeTrue)
		c.pass(300 * time.Millisecond)
		e.Report("a", Batch{Incarnation: 1, Number: 3, Uses: []Use{{"w", 30}}})
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeFalse)
		e.Report("a", Batch{Incarnation: 2, Number: 1}) // restarted: counts anew
		c.pass(20 * time.Millisecond)
		e.Report("a", Batch{Incarnation: 2, Number: 2})
		ok, _ = l.Take(w, 0, 1)
		So(ok, ShouldBeTrue)
	})
}

// Guards against small calls that are refused because a large prompt has overdrawn the bucket.
func TestLargeAndSmallRequestsShareABucket(t *testing.T) {
	tolerance := Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 80}
	Convey("A large request may overdraw the bucket once, a small one goes on", t, func() {
		c := &clock{now: time.Unix(1000, 0)}
		l, w := NewLedger(c.read, 1, tolerance), space()
		l.Prepare([]*route.Workspace{w})
		c.pass(time.Second)
		ok, _ := l.Take(w, 0, 60) // leaves 6
		So(ok, ShouldBeTrue)
		ok, _ = l.Take(w, 0, 30) // needs 10
		So(ok, ShouldBeFalse)
		ok, _ = l.Take(w, 0, 9)
		So(ok, ShouldBeTrue)
		for range 30 {
			ok, _ = l.Take(w, 0, 1)
		}
		So(ok, ShouldBeFalse) // not without end
		c.pass(500 * time.Millisecond)
		ok, _ = l.Take(w, 0, 500)
		So(ok, ShouldBeTrue)
	})
}
