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

func testRollout(state State) *Rollout {
	return &Rollout{ID: ID{Service: "llm", To: "v2", Created: 7}, Duration: 12 * time.Second, Revision: 9, State: state}
}

func TestArms(t *testing.T) {
	both := []string{"v1", "v2"}
	noneVetted := func(string) bool { return false }
	Convey("Without a rollout every version serves once the rollouts are known", t, func() {
		v := NewVersions()
		So(v.Arms(nil, []string{"v1"}, noneVetted), ShouldResemble, map[string]Arm{"v1": Stable})
		So(v.Arms(nil, both, noneVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
		So(v.Arms(nil, both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Stable})
	})
	Convey("A running rollout makes its version the canary, a final state decides the arm of both versions", t, func() {
		for _, remembers := range []bool{true, false} {
			v := NewVersions()
			if remembers {
				v.Arms(nil, []string{"v1"}, anyVetted)
			}
			So(v.Arms(testRollout(Running), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Canary})
			So(v.Arms(testRollout(RolledBack), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
			So(v.Arms(testRollout(Succeeded), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Off, "v2": Stable})
		}
	})
	Convey("A daemon that has just started uses the final state from the store", t, func() {
		So(NewVersions().Arms(testRollout(RolledBack), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
		So(NewVersions().Arms(testRollout(Succeeded), both, anyVetted)["v2"], ShouldEqual, Stable)
	})
	Convey("A version that served before its rollout continues to serve", t, func() {
		v := NewVersions()
		v.Arms(nil, both, anyVetted)
		So(v.Arms(testRollout(Running), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Stable})
	})
	// Guards against a service that is left without servers.
	Convey("A version that served before its rollout continues to serve when that is rolled back", t, func() {
		v := NewVersions()
		v.Arms(nil, []string{"v2"}, anyVetted)
		So(v.Arms(testRollout(Running), []string{"v2"}, anyVetted), ShouldResemble, map[string]Arm{"v2": Stable})
		So(v.Arms(testRollout(RolledBack), []string{"v2"}, anyVetted), ShouldResemble, map[string]Arm{"v2": Stable})
	})
	// Guards against servers of a withdrawn rollout that serve all requests.
	Convey("A canary does not serve when its rollout is withdrawn", t, func() {
		v := NewVersions()
		v.Arms(nil, []string{"v1"}, anyVetted)
		v.Arms(testRollout(Running), both, anyVetted)
		So(v.Arms(nil, both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
	})
	// Guards against servers of a withdrawn rollout that serve the callers of one daemon.
	Convey("A canary does not serve at a daemon that never saw the rollout, but was told that its version is unfit", t, func() {
		witness, informed := NewVersions(), NewVersions()
		witness.Arms(nil, []string{"v1"}, anyVetted)
		witness.Arms(testRollout(Running), both, anyVetted)
		informed.Arms(nil, []string{"v1"}, anyVetted)
		So(witness.Unfit(), ShouldResemble, []string{"v2"})
		informed.MarkUnfit("v2")
		informed.Arms(nil, []string{"v1"}, anyVetted) // the servers of v2 are reported later
		So(informed.Arms(nil, both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Off})
	})
	// Guards against a service that shrinks with each release after a rollout, until the last server of the promoted version is gone.
	Convey("After a final state a release brings further versions into use, besides the promoted one", t, func() {
		for _, remembers := range []bool{true, false} {
			v := NewVersions()
			if remembers {
				v.Arms(testRollout(Running), both, anyVetted)
				v.Arms(testRollout(Succeeded), both, anyVetted)
			}
			So(v.Arms(testRollout(Succeeded), []string{"v2", "v3"}, anyVetted), ShouldResemble, map[string]Arm{"v2": Stable, "v3": Stable})
			So(v.Arms(testRollout(Succeeded), []string{"v3"}, anyVetted), ShouldResemble, map[string]Arm{"v3": Stable})
		}
	})
	Convey("A replaced version may serve again after all its servers were gone", t, func() {
		v := NewVersions()
		v.Arms(testRollout(Running), both, anyVetted)
		v.Arms(testRollout(Succeeded), both, anyVetted)
		v.Arms(testRollout(Succeeded), []string{"v2"}, anyVetted)
		So(v.Arms(testRollout(Succeeded), both, anyVetted), ShouldResemble, map[string]Arm{"v1": Stable, "v2": Stable})
		reverted := &Rollout{ID: ID{Service: "llm", To: "v1", Created: 30}, State: Running}
		v.Arms(testRollout(Succeeded), []string{"v2"}, anyVetted)
		So(v.Arms(reverted, both, anyVetted), ShouldResemble, map[string]Arm{"v1": Canary, "v2": Stable})
	})
}

func TestSet(t *testing.T) {
	Convey("A late reading does not undo a final state", t, func() {
		s := Set{}
		So(s.Put(*testRollout(Running)), ShouldBeTrue)
		done := *testRollout(RolledBack)
		done.Revision = 12
		So(s.Put(done), ShouldBeTrue)
		So(s.Put(*testRollout(Running)), ShouldBeFalse)
		So(s.Replace([]Rollout{*testRollout(Running)}), ShouldBeFalse)
		So(s["llm"].State, ShouldEqual, RolledBack)
		So(s.Replace(nil), ShouldBeTrue)
		So(len(s), ShouldEqual, 0)
	})
	Convey("A rollout that is requested again is a new one", t, func() {
		s := Set{}
		done := *testRollout(RolledBack)
		done.Revision = 12
		s.Put(done)
		again := *testRollout(Running)
		again.Created, again.Revision = 20, 20
		So(s.Put(again), ShouldBeTrue)
		So(s["llm"].State, ShouldEqual, Running)
	})
}

// Guards against a canary version that gets several times its share, with canaries or with
// the rest of the streams that it began.
func TestCanaryBudgetStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{Share: rapid.Float64Range(0.01, 0.5).Draw(t, "share"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack")}
		daemons := rapid.IntRange(1, 400).Draw(t, "daemons")
		all := make([]*Budget, daemons)
		for i := range all {
			all[i] = NewBudget(bounds.CanaryShare(), bounds, daemons, 0.999)
		}
		sent, canaries := 0, 0
		for range rapid.IntRange(0, 3000).Draw(t, "requests") {
			b := all[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			canary := b.Take()
			if sent%3 == 0 { // the rest of a stream
				canary = canary || b.TakeResume()
			}
			if rapid.IntRange(0, 9).Draw(t, "refused") > 6 && !canary {
				continue
			}
			b.RecordSent()
			sent++
			if canary {
				canaries++
			}
		}
		if bound := bounds.Share*float64(sent) + bounds.Slack; float64(canaries) > bound+1 {
			t.Fatalf("%d of %d requests were canaries, bound %v", canaries, sent, bound)
		}
	})
}

func TestDuplicateAndLateReportsCountOnce(t *testing.T) {
	Convey("Counts are merged independently of the order of the reports", t, func() {
		d := NewDecider(*testRollout(Running), Bounds{Share: 0.1, Slack: 50}, start)
		key := Key{Route: "/r/", Server: "new-1"}
		report := func(number, runs uint64) Report {
			return Report{Reporter: "a", Incarnation: 1, Number: number, Cells: map[Key]Cell{key: {Counts: Counts{Runs: runs}}}}
		}
		d.AddReport(start, report(1, 10))
		d.AddReport(start, report(3, 30))
		d.AddReport(start, report(2, 20))
		d.AddReport(start, report(3, 30))
		canary, _ := d.totals(allRoutes)
		So(canary.Runs, ShouldEqual, 30)
		again := report(1, 5)
		again.Incarnation = 2
		d.AddReport(start, again)
		canary, _ = d.totals(allRoutes)
		So(canary.Runs, ShouldEqual, 35)
	})
}

// failureRate returns the percentage of answers that fail at a time after the request for
// the rollout.
type failureRate func(at time.Duration) int

func constantRate(n int) failureRate { return func(time.Duration) int { return n } }

// risingRate is 1 percent until start, and n percent afterwards.
func risingRate(start time.Duration, n int) failureRate {
	return func(at time.Duration) int {
		if at > start {
			return n
		}
		return 1
	}
}

// simulate runs a rollout of 12 s in intervals of 200 ms, with answers that take 30 ms and
// requests distributed by the plan. rate is in requests per second. It returns the
// decision, the number of requests that the new version had got by then, and its time.
func simulate(seed int, new, stable failureRate, rate int) (Decision, int, time.Duration) {
	return simulateWithLength(seed, new, stable, rate, 30*time.Millisecond)
}

// simulateWithLength is simulate with answers that take runTime.
func simulateWithLength(seed int, new, stable failureRate, rate int, runTime time.Duration) (Decision, int, time.Duration) {
	d := NewDecider(*testRollout(Running), Bounds{Share: 0.1, Slack: 50}, start)
	status := ServiceStatus{Daemons: 1, StableServers: 60, NewServers: 60, WarmServers: 60, StableSlots: 540, NewSlots: 540}
	random := newRandom(seed)
	cells := map[Key]Cell{}
	exposed, credit := 0, 0.0
	plan := Plan{CanaryShare: 0.06}
	const step = 200 * time.Millisecond
	for at := time.Duration(0); at < 12*time.Second; at += step {
		for range rate / 5 {
			credit += plan.CanaryShare
			canary := plan.AllToNew("/r/", 0) || credit >= 1
			key, percent := Key{Route: "/r/"}, stable(at)
			if canary {
				credit = max(0, credit-1)
				exposed++
				key.Server = fmt.Sprint("new-", random.IntN(4))
				percent = new(at)
			}
			c := cells[key]
			c.Runs++
			if random.IntN(100) < percent {
				c.Failed++
			}
			if key.Server == "" {
				c.Total = Times{runTime.Microseconds(): int64(c.Runs)}
			}
			cells[key] = c
		}
		copied := map[Key]Cell{}
		for k, c := range cells {
			copied[k] = c
		}
		d.AddReport(start.Add(at), Report{Reporter: "a", Incarnation: 1, Number: uint64(at/step) + 1, Age: at, Cells: copied})
		plan = d.Tick(start.Add(at), status)
		if d.Decision().State != Running {
			return d.Decision(), exposed, at
		}
	}
	return d.Decision(), exposed, 12 * time.Second
}

func TestDecisions(t *testing.T) {
	Convey("A version with the failure rate of the stable one is promoted before the deadline", t, func() {
		for seed := range 200 {
			v, _, at := simulate(seed, constantRate(seed%15), constantRate(seed%15), 200)
			So(v.State, ShouldEqual, Succeeded)
			So(at, ShouldBeLessThan, 12*time.Second)
		}
	})
	// Guards against a bad version that gets the whole traffic.
	Convey("A version that fails a fifth or more of its requests is rolled back within the bound", t, func() {
		for seed := range 100 {
			for _, percent := range []int{20, 50, 100} {
				v, exposed, _ := simulate(seed, constantRate(percent), constantRate(1), 200)
				So(v.State, ShouldEqual, RolledBack)
				So(v.Reason, ShouldEqual, ReasonFailures)
				So(exposed, ShouldBeLessThan, 200*12/10+50)
			}
		}
	})
	Convey("A version that turns bad later is rolled back, too", t, func() {
		for seed := range 100 {
			d, exposed, at := simulate(seed, risingRate(6*time.Second, 50), constantRate(1), 200)
			So(d.State, ShouldEqual, RolledBack)
			So(at, ShouldBeGreaterThan, 6*time.Second)
			So(exposed, ShouldBeLessThan, 200*12/10+50)
		}
	})
	// Guards against a bad version that is promoted because it had no canaries.
	Convey("A service whose answers take seconds has canaries before the cutover", t, func() {
		for seed := range 100 {
			d, exposed, at := simulateWithLength(seed, risingRate(4*time.Second, 50), constantRate(1), 400, 4*time.Second)
			So(d.Reason, ShouldEqual, ReasonFailures)
			So(at, ShouldBeLessThan, 9*time.Second) // before any cutover
			So(exposed, ShouldBeLessThan, 400*12/10+50)
		}
	})
	Convey("A burst of failures that affects both versions rejects neither", t, func() {
		for seed := range 100 {
			burst := func(at time.Duration) int {
				if at > 4*time.Second && at < 6*time.Second {
					return 60
				}
				return 2
			}
			v, _, _ := simulate(seed, burst, burst, 200)
			So(v.State, ShouldEqual, Succeeded)
		}
	})
}

// Guards against streams of a version on trial that are refused there while canaries begin.
func TestResumedStreamsGoBeforeCanaries(t *testing.T) {
	Convey("The rest of a stream overdraws the credit, and canaries wait until the debt is paid", t, func() {
		b := NewBudget(0.5, Bounds{Share: 0.5, Slack: 6}, 1, 0)
		So(b.Take(), ShouldBeFalse)
		for range 3 {
			So(b.TakeResume(), ShouldBeTrue)
		}
		So(b.TakeResume(), ShouldBeFalse)
		for range 7 {
			b.RecordSent()
			So(b.Take(), ShouldBeFalse)
		}
		b.RecordSent()
		So(b.Take(), ShouldBeTrue)
	})
	Convey("After the version is rejected, nothing goes there", t, func() {
		So(NewBudget(0, Bounds{Share: 0.5, Slack: 6}, 1, 0).TakeResume(), ShouldBeFalse)
	})
}

// Guards against: a version that fails each request at once draws callers that ask again at once,
// and gets several times what the spike was planned for.
func TestSpikeEndsWithItsRequests(t *testing.T) {
	Convey("Given a daemon that sends 50 requests a second, and a spike of 400 ms", t, func() {
		b := NewBudget(0, Bounds{Share: 0.1, Slack: 50}, 4, 0)
		for range 100 {
			b.RecordSent()
		}
		taken := 0
		for i := range 1000 {
			if b.TakeSpike(2*time.Second+time.Duration(i)*400*time.Microsecond, 400*time.Millisecond) {
				taken++
				b.RecordSent()
			}
		}
		Convey("the new version gets as many as it would at that rate, however many come", func() {
			So(taken, ShouldEqual, 20)
		})
	})
	Convey("A daemon with few requests may take part with one", t, func() {
		b := NewBudget(0, Bounds{Share: 0.1, Slack: 50}, 4, 0)
		So(b.TakeSpike(2*time.Second, 400*time.Millisecond), ShouldBeTrue)
		So(b.TakeSpike(2*time.Second, 400*time.Millisecond), ShouldBeFalse)
	})
}
