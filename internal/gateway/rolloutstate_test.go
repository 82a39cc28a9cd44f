package gateway

import (
	"maps"
	"slices"
	"testing"

	"github.com/pkg/errors"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
)

// partitioned builds the pools of a service with the versions v1 and v2 and a rollout to v2 in
// the given state. It returns the names of the servers by the version that requests ask for,
// and the names of all pools.
func partitioned(t *testing.T, state rollout.State) (byRequestVersion map[string][]string, names []string) {
	s := buildPools(appTable(t), []discovery.Server{v1, v2}, "r", partitionerIn(state))
	byRequestVersion = map[string][]string{}
	for key, all := range s.ModelPools {
		byRequestVersion[key.Version] = []string{}
		for _, p := range all {
			for _, server := range p.Servers {
				byRequestVersion[key.Version] = append(byRequestVersion[key.Version], server.Name)
			}
		}
	}
	return byRequestVersion, slices.Sorted(maps.Keys(s.Pools))
}

var (
	v1 = discovery.Server{ID: "a", Service: "app", Version: "v1"}
	v2 = discovery.Server{ID: "b", Service: "app", Version: "v2"}
)

func appTable(t *testing.T) *route.Table {
	table, findings := route.Compile("test", route.Document{Services: []route.Service{{Name: "app"}}})
	if findings != nil {
		t.Fatal(findings)
	}
	return table
}

// partitionerIn returns the partitioner for a rollout from v1 to v2 in the given state.
func partitionerIn(state rollout.State) partitioner {
	rs := newRolloutState(true)
	assignAll(&rs, []discovery.Server{v1}, 5)
	rs.all.Put(rollout.Rollout{ID: rollout.ID{Service: "app", To: "v2", Created: 6}, State: state})
	rs.revision = 9
	assignAll(&rs, []discovery.Server{v1, v2}, 8)
	all := func(_ string, _ int, servers []discovery.Server) []discovery.Server { return servers }
	return partitioner{arm: rs.arm, canaryServers: all}
}

func TestVersionPools(t *testing.T) {
	Convey("Each version has its own pool, which keeps its name whatever the outcome", t, func() {
		byRequestVersion, names := partitioned(t, rollout.Running)
		So(byRequestVersion, ShouldResemble, map[string][]string{"": {"a"}, "v2": {"b"}})
		So(names, ShouldResemble, []string{"app@v1", "app@v2"})
		byRequestVersion, names = partitioned(t, rollout.Succeeded)
		So(byRequestVersion, ShouldResemble, map[string][]string{"": {"b"}})
		So(names, ShouldResemble, []string{"app@v2"})
		byRequestVersion, names = partitioned(t, rollout.RolledBack)
		So(byRequestVersion, ShouldResemble, map[string][]string{"": {"a"}})
		So(names, ShouldResemble, []string{"app@v1"})
	})
	Convey("A service without servers has an empty pool", t, func() {
		s := buildPools(appTable(t), nil, "r", partitionerIn(rollout.Running))
		So(len(s.Pools), ShouldEqual, 1)
		So(s.Pools["app"].Servers, ShouldBeEmpty)
	})
	Convey("A canary pool has the selected servers, and exists without any", t, func() {
		d := partitionerIn(rollout.Running)
		d.canaryServers = func(string, int, []discovery.Server) []discovery.Server { return nil }
		s := buildPools(appTable(t), []discovery.Server{v1, v2}, "r", d)
		So(s.Pools["app@v2"].Servers, ShouldBeEmpty)
	})
	// Guards against servers of a new version that get their whole share before its rollout is read.
	Convey("A new version is unused until the rollouts have been read after it appeared", t, func() {
		rs := newRolloutState(true)
		assignAll(&rs, []discovery.Server{v1}, 5)
		rs.revision = 6
		assignAll(&rs, []discovery.Server{v1, v2}, 8)
		So(rs.arm(v1), ShouldEqual, rollout.Stable)
		So(rs.arm(v2), ShouldEqual, rollout.Off)
		So(rs.hasPendingVersions(), ShouldBeTrue)
		So(len(rs.readNow), ShouldEqual, 1)
		rs.revision = 9
		assignAll(&rs, []discovery.Server{v1, v2}, 8)
		So(rs.arm(v2), ShouldEqual, rollout.Stable)
		Convey("and again after its servers were gone", func() {
			assignAll(&rs, []discovery.Server{v1}, 10)
			assignAll(&rs, []discovery.Server{v1, v2}, 12)
			So(rs.arm(v2), ShouldEqual, rollout.Off)
		})
	})
	Convey("Canary servers get canaries only", t, func() {
		canary := serverUse{arm: rollout.Canary}
		So(canary.accepts(true), ShouldBeTrue)
		So(canary.accepts(false), ShouldBeFalse)
		So(serverUse{arm: rollout.Stable}.accepts(true), ShouldBeTrue)
		So(serverUse{arm: rollout.Off}.accepts(true), ShouldBeFalse)
		So(serverUse{arm: rollout.Stable, leaving: true}.accepts(false), ShouldBeFalse)
	})
}

func TestRolloutWireRoundTrip(t *testing.T) {
	Convey("A rollout survives encoding and decoding", t, func() {
		r := rollout.Rollout{
			ID: rollout.ID{Service: "app", To: "v2", Created: 7}, Duration: 12_500_000_000,
			Revision: 9, State: rollout.RolledBack, Acknowledged: true, Unreadable: true,
		}
		So(rolloutsFromWire(rolloutsToWire(rollout.Set{"app": r})), ShouldResemble, []rollout.Rollout{r})
	})
	Convey("A report and a plan survive encoding and decoding", t, func() {
		id := rollout.ID{Service: "app", To: "v2", Created: 7}
		r := rollout.Report{Reporter: "a", Incarnation: 3, Number: 4, Age: 1_500_000_000, Cells: map[rollout.Key]rollout.Cell{
			{Route: "/r/"}: {Counts: rollout.Counts{Runs: 9, Failed: 1, Broken: 2, Slow: 3}, FirstEvent: rollout.Times{10: 2}, PerToken: rollout.Times{3: 1}, Total: rollout.Times{70: 4}},
		}}
		gotID, got := reportFromWire(reportToWire(id, r), "a")
		So(gotID, ShouldResemble, id)
		So(got, ShouldResemble, r)
		p := rollout.Plan{Phase: rollout.PhaseCutover, CanaryShare: 0.06, OpenAll: true, StableStopIn: 900_000_000, SpikeIn: 2_000_000, SpikeFor: 400_000_000,
			Routes: map[string]rollout.RoutePlan{"/r/": {Slow: rollout.SlowThreshold{FirstEvent: 70_000_000, PerToken: 3_000_000}, Lead: 500_000_000}}}
		So(planFromWire(planToWire(p)), ShouldResemble, p)
	})
}

func TestVersionsWithoutRollouts(t *testing.T) {
	Convey("Without rollouts versions are ignored", t, func() {
		rs := newRolloutState(false)
		assignAll(&rs, []discovery.Server{v1, v2}, 5)
		So(rs.arm(v2), ShouldEqual, rollout.Stable)
		So(len(rs.readNow), ShouldEqual, 0)
		s := buildPools(appTable(t), []discovery.Server{v1, v2}, "r", partitioner{})
		So(len(s.Pools), ShouldEqual, 1)
		So(len(s.Pools["app"].Servers), ShouldEqual, 2)
	})
}

// assignAll assigns the arms where exactly these servers are present.
func assignAll(rs *rolloutState, servers []discovery.Server, rev objectstore.Version) {
	clear(rs.present)
	var changes []serverChange
	for _, x := range servers {
		changes = append(changes, serverChange{id: x.ID, after: x, is: true})
	}
	rs.assignArms(changes, rev)
}

// stateWithRollouts returns a state with rollouts enabled and an active configuration.
func stateWithRollouts() *state {
	s := stateWithConfig()
	s.rollouts = newRolloutState(true)
	return s
}

// rolloutToV2 returns a rollout of the service app as of a revision.
func rolloutToV2(revision uint64, state rollout.State) rollout.Rollout {
	return rollout.Rollout{ID: rollout.ID{Service: "app", To: "v2", Created: 80}, Revision: revision, State: state}
}

// Guards against a withdrawn rollout that stays active.
func TestBatchedRolloutChanges(t *testing.T) {
	Convey("Each event of a batch is applied, and a list of the same revision", t, func() {
		s := stateWithRollouts()
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		s.removeRollout("app", 86, 90)
		So(len(s.rollouts.all), ShouldEqual, 0)
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		s.replaceRollouts(nil, 90)
		So(len(s.rollouts.all), ShouldEqual, 0)
	})
	Convey("A removal that is older than the rollout concerns an earlier one", t, func() {
		s := stateWithRollouts()
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		s.removeRollout("app", 79, 91)
		So(len(s.rollouts.all), ShouldEqual, 1)
	})
}

// Guards against lists of rollouts that cost a quarter more calls to the store when no rollout runs.
func TestOnlyReadersReadRolloutsWhenNoneRuns(t *testing.T) {
	Convey("A daemon that is not a reader lists rollouts only if it needs them and no reader answers", t, func() {
		s := stateWithRollouts()
		answers := false
		r := &reflector{state: s, isReader: func() bool { return false }, readerAnswers: func() bool { return answers }}
		loops := r.loops()
		rs := loops[len(loops)-1]
		idle := func() bool {
			_, ok := r.idleFor(rs)
			return ok
		}
		So(idle(), ShouldBeTrue)
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		So(idle(), ShouldBeFalse)
		answers = true
		So(idle(), ShouldBeTrue)
	})
}

// Guards against a new version that gets its whole share at once.
func TestUnreadableRolloutHoldsBackNewVersions(t *testing.T) {
	Convey("A new version is unused beside a fit one until the rollout is corrected", t, func() {
		s := stateWithRollouts()
		s.platform.DecodeRollout = func(objectstore.Object) (rollout.Rollout, error) { return rollout.Rollout{}, errors.New("no") }
		s.putServer(v1, 71)
		s.putRollout(s.decodeRollout(objectstore.Object{Name: "app", Version: 85, Created: 80}), 90)
		s.putServer(v2, 88)
		So(s.rollouts.arm(v1), ShouldEqual, rollout.Stable)
		So(s.rollouts.arm(v2), ShouldEqual, rollout.Off)
		So(s.rollouts.anyRunning(), ShouldBeFalse)
		s.removeRollout("app", 92, 92)
		So(s.rollouts.arm(v2), ShouldEqual, rollout.Stable)
	})
	Convey("All versions serve if none is known to be fit", t, func() {
		s := stateWithRollouts()
		s.putRollout(rollout.Rollout{ID: rollout.ID{Service: "app"}, Unreadable: true}, 90)
		s.replaceServers([]discovery.Server{v1, v2}, 88)
		So(s.rollouts.arm(v1), ShouldEqual, rollout.Stable)
		So(s.rollouts.arm(v2), ShouldEqual, rollout.Stable)
	})
}

// Guards against a request that is refused after a second though all servers are free.
func TestWaitersWakeWhenAPoolIsRemoved(t *testing.T) {
	Convey("The context ends when a pool of the service is removed, but not when one is added", t, func() {
		s := stateWithRollouts()
		s.canaryServers = func(_ string, _ int, servers []discovery.Server) []discovery.Server { return servers }
		s.replaceServers([]discovery.Server{v1}, 71)
		first, other := s.poolRemovals.contextFor("app"), s.poolRemovals.contextFor("llm")
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		s.putServer(v2, 91)
		So(first.Err(), ShouldBeNil)
		s.putRollout(rolloutToV2(92, rollout.Succeeded), 92)
		So(first.Err(), ShouldNotBeNil)
		So(s.poolRemovals.contextFor("app").Err(), ShouldBeNil)
		So(other.Err(), ShouldBeNil)
	})
}
