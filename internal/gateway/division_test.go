package gateway

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// divided returns the pools of a service whose rollout to v2 has a state, by the
// version under which requests ask for them, with their servers' names.
func divided(t *testing.T, state rollout.State) (asked map[string][]string, pools map[string]int) {
	table, findings := route.Compile("test", route.Document{Services: []route.Service{{Name: "app"}}})
	if findings != nil {
		t.Fatal(findings)
	}
	o := newOrders(true)
	servers := []discovery.Server{{ID: "a", Service: "app", Version: "v1"}, {ID: "b", Service: "app", Version: "v2"}}
	o.divide(servers[:1], 5)
	o.known.Put(rollout.Order{ID: rollout.ID{Service: "app", To: "v2", Created: 6}, State: state})
	o.revision = 9
	o.divide(servers, 8)
	s := buildPools(table, servers, "r", division{orders: o.known, arm: o.arm})
	asked, pools = map[string][]string{}, map[string]int{}
	for key, all := range s.ModelPools {
		asked[key.Version] = []string{}
		for _, p := range all {
			for _, server := range p.Servers {
				asked[key.Version] = append(asked[key.Version], server.Name)
			}
		}
	}
	for name, p := range s.Pools {
		pools[name] = len(p.Servers)
	}
	return asked, pools
}

func TestPoolsOfARollout(t *testing.T) {
	Convey("While it runs each version has pools of its own", t, func() {
		asked, _ := divided(t, rollout.Running)
		So(asked, ShouldResemble, map[string][]string{"": {"a"}, "v2": {"b"}})
	})
	// Symptom: requests that waited when the version was taken have no answer until
	// their deadline. Sequence: they wait in the old version's pool; the outcome is
	// written. Cause: the pool was gone, and with it the owner that sheds them.
	Convey("An outcome empties a pool that stays for those that wait in it", t, func() {
		asked, pools := divided(t, rollout.Succeeded)
		So(asked, ShouldResemble, map[string][]string{"": {"b"}, "v2": {"b"}})
		So(pools, ShouldResemble, map[string]int{"app": 0, "app@v2": 1})
		asked, pools = divided(t, rollout.RolledBack)
		So(asked, ShouldResemble, map[string][]string{"": {"a"}})
		So(pools, ShouldResemble, map[string]int{"app": 1, "app@v2": 0})
	})
	// Symptom: a new version's servers get their whole share before its order is read.
	// Sequence: servers of v2 register; the orders that are known are older.
	// Cause: versions counted as fit until an order said otherwise.
	Convey("A version that appears waits until the orders were read after it", t, func() {
		o := newOrders(true)
		v1, v2 := discovery.Server{ID: "a", Service: "app", Version: "v1"}, discovery.Server{ID: "b", Service: "app", Version: "v2"}
		o.divide([]discovery.Server{v1}, 5)
		o.revision = 6
		o.divide([]discovery.Server{v1, v2}, 8)
		So(o.arm(v1), ShouldEqual, rollout.Stable)
		So(o.arm(v2), ShouldEqual, rollout.Off)
		So(o.unvetted(), ShouldBeTrue)
		So(len(o.wanted), ShouldEqual, 1)
		o.revision = 9
		o.divide([]discovery.Server{v1, v2}, 8)
		So(o.arm(v2), ShouldEqual, rollout.Stable)
	})
	Convey("Servers of a trial are used where they are on trial, and nowhere else", t, func() {
		trial := serverUse{arm: rollout.Trial}
		So(trial.takes(true), ShouldBeTrue)
		So(trial.takes(false), ShouldBeFalse)
		So(serverUse{arm: rollout.Stable}.takes(true), ShouldBeTrue)
		So(serverUse{arm: rollout.Off}.takes(true), ShouldBeFalse)
		So(serverUse{arm: rollout.Stable, leaving: true}.takes(false), ShouldBeFalse)
	})
}

func TestOrdersArriveAsTheyWereTold(t *testing.T) {
	Convey("What a reader tells of an order is what it has", t, func() {
		o := rollout.Order{ID: rollout.ID{Service: "app", To: "v2", Created: 7}, Duration: 12_500_000_000, Revision: 9, State: rollout.RolledBack, Acknowledged: true}
		So(ordersOf(ordersToWire(rollout.Orders{"app": o})), ShouldResemble, []rollout.Order{o})
	})
	Convey("A report and a plan, too", t, func() {
		id := rollout.ID{Service: "app", To: "v2", Created: 7}
		r := rollout.Report{Reporter: "a", Incarnation: 3, Number: 4, Age: 1_500_000_000, OldRuns: 2, Cells: map[rollout.Key]rollout.Cell{
			{Route: "/r/"}: {Counts: rollout.Counts{Runs: 9, Failed: 1, Broken: 2, Slow: 3}, First: rollout.Times{10: 2}, Pace: rollout.Times{3: 1}, Whole: rollout.Times{70: 4}},
		}}
		gotID, got := reportOf(reportToWire(id, r), "a")
		So(gotID, ShouldResemble, id)
		So(got, ShouldResemble, r)
		p := rollout.Plan{Phase: rollout.HandingOver, Share: 0.06, Open: true, StopIn: 900_000_000, SurgeIn: 2_000_000, SurgeFor: 400_000_000,
			Routes: map[string]rollout.RoutePlan{"/r/": {Limit: rollout.Limit{First: 70_000_000, Pace: 3_000_000}, Lead: 500_000_000}}}
		So(planOf(planToWire(p)), ShouldResemble, p)
	})
}

func TestOrdersAreKeptWithoutASharedBound(t *testing.T) {
	Convey("Where the operators allow no rollouts versions mean nothing", t, func() {
		o := newOrders(false)
		o.divide([]discovery.Server{{ID: "a", Service: "app", Version: "v1"}, {ID: "b", Service: "app", Version: "v2"}}, 5)
		So(o.arm(discovery.Server{Service: "app", Version: "v2"}), ShouldEqual, rollout.Stable)
		So(len(o.wanted), ShouldEqual, 0)
		table := &route.Table{Services: map[string]*route.Service{"app": {}}}
		s := buildPools(table, []discovery.Server{{ID: "b", Service: "app", Version: "v2"}}, "r", division{})
		So(len(s.ModelPools[workspace.ModelRegion{Model: "app", Region: "r"}][0].Servers), ShouldEqual, 1)
	})
}

// Symptom: a withdrawn order stays in force. Sequence: an outcome is written and the
// order deleted; a watch tells of both at once. Cause: the second change had no newer
// revision than the first, and was taken for an old one.
func TestChangesOfOrdersThatComeTogether(t *testing.T) {
	Convey("Each change of a watch counts, and a list as of the same revision", t, func() {
		s := configured()
		s.orders = newOrders(true)
		o := rollout.Order{ID: rollout.ID{Service: "app", To: "v2", Created: 80}, Revision: 85}
		s.putOrder(o, 90)
		s.removeOrder("app", 86, 90)
		So(len(s.orders.known), ShouldEqual, 0)
		s.putOrder(o, 90)
		s.replaceOrders(nil, 90)
		So(len(s.orders.known), ShouldEqual, 0)
	})
	Convey("A removal that is older than the order was of another one", t, func() {
		s := configured()
		s.orders = newOrders(true)
		s.putOrder(rollout.Order{ID: rollout.ID{Service: "app", To: "v2", Created: 80}, Revision: 85}, 90)
		s.removeOrder("app", 79, 91)
		So(len(s.orders.known), ShouldEqual, 1)
	})
}

// Symptom: days without any rollout cost a quarter more calls of the store. Sequence:
// 79 daemons start, and run. Cause: each read the orders itself, at its start and at
// intervals.
func TestOnlyReadersReadOrdersWhereNoneRuns(t *testing.T) {
	Convey("A daemon that is not a reader reads the orders only where it needs them and nobody tells it", t, func() {
		s := configured()
		s.orders = newOrders(true)
		told := false
		r := &reader{state: s, reading: func() bool { return false }, told: func() bool { return told }}
		loops := r.loops()
		k := loops[len(loops)-1]
		rests := func() bool {
			_, ok := r.mayRest(k)
			return ok
		}
		So(rests(), ShouldBeTrue)
		s.putOrder(rollout.Order{ID: rollout.ID{Service: "app", To: "v2", Created: 80}, Revision: 85}, 90)
		So(rests(), ShouldBeFalse)
		told = true
		So(rests(), ShouldBeTrue)
	})
}

// Symptom: a request is refused after a second though all servers are free. Sequence: it
// waits in a pool; its daemon hears at once of an order and that it succeeded, which
// moves the servers. Cause: only daemons that had taken part in the rollout woke what
// waits.
func TestWhoWaitsIsWokenWhenServersMove(t *testing.T) {
	Convey("A service's epoch ends with each change of what divides its servers", t, func() {
		s := configured()
		s.orders = newOrders(true)
		first, other := s.epochs.of("app"), s.epochs.of("llm")
		s.putOrder(rollout.Order{ID: rollout.ID{Service: "app", To: "v2", Created: 80}, Revision: 85, State: rollout.Succeeded}, 90)
		So(first.Err(), ShouldNotBeNil)
		second := s.epochs.of("app")
		So(second.Err(), ShouldBeNil)
		s.putOrder(rollout.Order{ID: rollout.ID{Service: "app", To: "v2", Created: 80}, Revision: 86, State: rollout.Succeeded}, 91)
		So(second.Err(), ShouldBeNil) // nothing moves
		s.removeOrder("app", 92, 92)
		So(second.Err(), ShouldNotBeNil)
		So(other.Err(), ShouldBeNil)
	})
}
