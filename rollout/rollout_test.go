package rollout

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func anyVetted(string) bool { return true }

func order(state State) *Order {
	return &Order{ID: ID{Service: "llm", To: "v2", Created: 7}, Duration: 12 * time.Second, Revision: 9, State: state}
}

func TestArms(t *testing.T) {
	both := []string{"v1", "v2"}
	Convey("Without an order every version serves, once the orders are known", t, func() {
		v := NewVersions()
		So(v.Arms(nil, []string{"v1"}, func(string) bool { return false }), ShouldResemble, map[string]Arm{"v1": Stable})
		So(v.Arms(nil, both, func(string) bool { return false }), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
		So(v.Arms(nil, both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Stable})
	})
	Convey("A running order puts its version on trial, an outcome settles both", t, func() {
		v := NewVersions()
		v.Arms(nil, []string{"v1"}, anyVetted)
		So(v.Arms(order(Running), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Trial})
		So(v.Arms(order(RolledBack), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
		So(v.Arms(order(Succeeded), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Off, "v2": Stable})
	})
	Convey("A version that served before its order goes on serving", t, func() {
		v := NewVersions()
		v.Arms(nil, both, anyVetted)
		So(v.Arms(order(Running), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Stable})
	})
	// Symptom: a service has no server left. Sequence: an order names the version that
	// runs already; the order is taken back for want of new servers. Cause: the version
	// of every order that was taken back counted as unfit.
	Convey("A version that served before its order serves on when that is taken back", t, func() {
		v := NewVersions()
		v.Arms(nil, []string{"v2"}, anyVetted)
		So(v.Arms(order(Running), []string{"v2"}, anyVetted), ShouldResemble, map[string]Arm{"v2": Stable})
		So(v.Arms(order(RolledBack), []string{"v2"}, anyVetted), ShouldResemble, map[string]Arm{"v2": Stable})
	})
	// Symptom: the servers of an order that was withdrawn serve everybody.
	// Sequence: an order puts a version on trial; it is deleted; its servers stay.
	// Cause: without an order every version counted as fit.
	Convey("A version on trial does not serve when its order is withdrawn", t, func() {
		v := NewVersions()
		v.Arms(order(Running), both, anyVetted)
		So(v.Arms(nil, both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
	})
	Convey("After an outcome a release brings further versions into use", t, func() {
		v := NewVersions()
		v.Arms(order(Running), both, anyVetted)
		v.Arms(order(Succeeded), both, anyVetted)
		So(v.Arms(order(Succeeded), []string{"v3"}, anyVetted), ShouldResemble, map[string]Arm{"v3": Stable})
	})
}

func TestOrders(t *testing.T) {
	Convey("A late reading does not take an outcome back", t, func() {
		o := Orders{}
		So(o.Put(*order(Running)), ShouldBeTrue)
		done := *order(RolledBack)
		done.Revision = 12
		So(o.Put(done), ShouldBeTrue)
		So(o.Put(*order(Running)), ShouldBeFalse)
		So(o.Replace([]Order{*order(Running)}), ShouldBeFalse)
		So(o["llm"].State, ShouldEqual, RolledBack)
		So(o.Replace(nil), ShouldBeTrue)
		So(len(o), ShouldEqual, 0)
	})
	Convey("An order that is given again is another one", t, func() {
		o := Orders{}
		done := *order(RolledBack)
		done.Revision = 12
		o.Put(done)
		again := *order(Running)
		again.Created, again.Revision = 20, 20
		So(o.Put(again), ShouldBeTrue)
		So(o["llm"].State, ShouldEqual, Running)
	})
}

// Symptom: a version on trial gets several times its share. Sequence: most requests
// are refused for want of slots on the old servers. Cause: the share was drawn of the
// requests that came, not of those that were sent.
func TestExposureStaysInItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Share: rapid.Float64Range(0.01, 0.5).Draw(t, "share"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack")}
		daemons := rapid.IntRange(1, 400).Draw(t, "daemons")
		all := make([]*Exposure, daemons)
		for i := range all {
			all[i] = NewExposure(bounds.TrialShare(), bounds, daemons, 0.999)
		}
		sent, tried := 0, 0
		for range rapid.IntRange(0, 3000).Draw(t, "requests") {
			e := all[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			onTrial := e.Take()
			if onTrial && rapid.Bool().Draw(t, "no slot") {
				e.Return()
				continue
			}
			if rapid.IntRange(0, 9).Draw(t, "refused") > 6 && !onTrial {
				continue
			}
			e.Sent()
			sent++
			if onTrial {
				tried++
			}
		}
		if most := bounds.Share*float64(sent) + bounds.Slack; float64(tried) > most+1 {
			t.Fatalf("%d of %d requests tried the new version, bound %v", tried, sent, most)
		}
	})
}

func TestReportsThatComeTwiceOrLateCountOnce(t *testing.T) {
	Convey("Counts are merged, whatever the order of the reports", t, func() {
		d := NewDecider(*order(Running), Bounds{Share: 0.1, Slack: 50}, start)
		key := Key{Route: "/r/", Server: "new-1"}
		report := func(number, runs uint64) Report {
			return Report{Reporter: "a", Incarnation: 1, Number: number, Cells: map[Key]Cell{key: {Counts: Counts{Runs: runs}}}}
		}
		d.Take(start, report(1, 10))
		d.Take(start, report(3, 30))
		d.Take(start, report(2, 20))
		d.Take(start, report(3, 30))
		trial, _ := d.totals("")
		So(trial.Runs, ShouldEqual, 30)
		again := report(1, 5)
		again.Incarnation = 2
		d.Take(start, again)
		trial, _ = d.totals("")
		So(trial.Runs, ShouldEqual, 35)
	})
}

// play plays a rollout of 12 s in moments of 200 ms. Of every moment's requests the new
// version gets what the plan says; bad tells how many in a hundred of its answers fail
// at a moment, old how many of the old version's do.
func play(seed int, bad, old func(at time.Duration) int, rate int) (Verdict, int, time.Duration) {
	return playLong(seed, bad, old, rate, 30*time.Millisecond)
}

// playLong is play with answers of a length.
func playLong(seed int, bad, old func(at time.Duration) int, rate int, whole time.Duration) (Verdict, int, time.Duration) {
	d := NewDecider(*order(Running), Bounds{Share: 0.1, Slack: 50}, start)
	facts := Facts{Daemons: 1, OldServers: 60, NewServers: 60, WarmServers: 60, OldSlots: 540, NewSlots: 540}
	random := newRandom(seed)
	cells := map[Key]Cell{}
	exposed, debt := 0, 0.0
	plan := Plan{Phase: Trying, Share: 0.06}
	const step = 200 * time.Millisecond
	for at := time.Duration(0); at < 12*time.Second; at += step {
		for range rate / 5 {
			debt += plan.Share
			trial := plan.ToTrial("/r/", 0) || debt >= 1
			key, failing := Key{Route: "/r/"}, old(at)
			if trial {
				debt = max(0, debt-1)
				exposed++
				key.Server = fmt.Sprint("new-", random.IntN(4))
				failing = bad(at)
			}
			c := cells[key]
			c.Runs++
			if random.IntN(100) < failing {
				c.Failed++
			}
			if key.Server == "" {
				c.Whole = Times{whole.Microseconds(): int64(c.Runs)}
			}
			cells[key] = c
		}
		copied := map[Key]Cell{}
		for k, c := range cells {
			copied[k] = c
		}
		d.Take(start.Add(at), Report{Reporter: "a", Incarnation: 1, Number: uint64(at/step) + 1, Age: at, Cells: copied})
		plan = d.Tick(start.Add(at), facts)
		if d.Verdict().State != Running {
			return d.Verdict(), exposed, at
		}
	}
	return d.Verdict(), exposed, 12 * time.Second
}

func always(n int) func(time.Duration) int { return func(time.Duration) int { return n } }

func TestVerdicts(t *testing.T) {
	Convey("A good version is taken before the deadline, whatever both fail alike", t, func() {
		for seed := range 200 {
			v, _, at := play(seed, always(seed%15), always(seed%15), 200)
			So(v.State, ShouldEqual, Succeeded)
			So(at, ShouldBeLessThan, 12*time.Second)
		}
	})
	// Symptom: a bad version gets all the traffic. Sequence: it fails a part of its
	// answers from some moment on. Cause: it was judged at the deadline only.
	Convey("A version that fails a fifth or more of its answers is taken back, within the bound", t, func() {
		for seed := range 100 {
			for _, failing := range []int{20, 50, 100} {
				v, exposed, _ := play(seed, always(failing), always(1), 200)
				So(v.State, ShouldEqual, RolledBack)
				So(v.Reason, ShouldEqual, ReasonFailures)
				So(exposed, ShouldBeLessThan, 200*12/10+50)
			}
		}
	})
	Convey("One that turns bad later is taken back, too", t, func() {
		for seed := range 100 {
			later := func(at time.Duration) int {
				if at > 6*time.Second {
					return 50
				}
				return 1
			}
			v, exposed, at := play(seed, later, always(1), 200)
			So(v.State, ShouldEqual, RolledBack)
			So(at, ShouldBeGreaterThan, 6*time.Second)
			So(exposed, ShouldBeLessThan, 200*12/10+50)
		}
	})
	// Symptom: a bad version is taken unseen. Sequence: a service's answers last for
	// seconds; its hand-over is to begin as early. Cause: all that the bound leaves was
	// planned for the hand-over, and nothing was tried.
	Convey("Where answers last for seconds versions are tried all the same", t, func() {
		for seed := range 100 {
			later := func(at time.Duration) int {
				if at > 4*time.Second {
					return 50
				}
				return 1
			}
			v, exposed, at := playLong(seed, later, always(1), 400, 4*time.Second)
			So(v.Reason, ShouldEqual, ReasonFailures)
			So(at, ShouldBeLessThan, 9*time.Second) // before any hand-over
			So(exposed, ShouldBeLessThan, 400*12/10+50)
		}
	})
	Convey("A burst of failures that hits both versions convicts nobody", t, func() {
		for seed := range 100 {
			burst := func(at time.Duration) int {
				if at > 4*time.Second && at < 6*time.Second {
					return 60
				}
				return 2
			}
			v, _, _ := play(seed, burst, burst, 200)
			So(v.State, ShouldEqual, Succeeded)
		}
	})
}
