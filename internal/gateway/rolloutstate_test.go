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

// partitioned returns the pools of a service of two versions, the second of which a rollout in
// a state brings: by the version under which requests ask for them, with their servers'
// names; and the names of all.
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

// partitionerIn returns how v1 and v2 are divided in a state of the rollout to v2.
func partitionerIn(state rollout.State) partitioner {
	rs := newRolloutState(true)
	rs.assignArms([]discovery.Server{v1}, 5)
	rs.all.Put(rollout.Rollout{ID: rollout.ID{Service: "app", To: "v2", Created: 6}, State: state})
	rs.revision = 9
	rs.assignArms([]discovery.Server{v1, v2}, 8)
	all := func(_ string, _ int, servers []discovery.Server) []discovery.Server { return servers }
	return partitioner{arm: rs.arm, canaryServers: all}
}

func TestVersionPools(t *testing.T) {
	Convey("Each version has a pool of its own, whose name no outcome changes", t, func() {
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
	Convey("A service without a server has an empty pool all the same", t, func() {
		s := buildPools(appTable(t), nil, "r", partitionerIn(rollout.Running))
		So(len(s.Pools), ShouldEqual, 1)
		So(s.Pools["app"].Servers, ShouldBeEmpty)
	})
	Convey("A canary's pool has the servers that are chosen, and is there without any", t, func() {
		d := partitionerIn(rollout.Running)
		d.canaryServers = func(string, int, []discovery.Server) []discovery.Server { return nil }
		s := buildPools(appTable(t), []discovery.Server{v1, v2}, "r", d)
		So(s.Pools["app@v2"].Servers, ShouldBeEmpty)
	})
	// Guards against this: a new version's servers get their whole share before its rollout is read.
	Convey("A version that appears waits until the rollouts were read after it", t, func() {
		rs := newRolloutState(true)
		rs.assignArms([]discovery.Server{v1}, 5)
		rs.revision = 6
		rs.assignArms([]discovery.Server{v1, v2}, 8)
		So(rs.arm(v1), ShouldEqual, rollout.Stable)
		So(rs.arm(v2), ShouldEqual, rollout.Off)
		So(rs.hasPendingVersions(), ShouldBeTrue)
		So(len(rs.readNow), ShouldEqual, 1)
		rs.revision = 9
		rs.assignArms([]discovery.Server{v1, v2}, 8)
		So(rs.arm(v2), ShouldEqual, rollout.Stable)
		Convey("and again when its servers were gone", func() {
			rs.assignArms([]discovery.Server{v1}, 10)
			rs.assignArms([]discovery.Server{v1, v2}, 12)
			So(rs.arm(v2), ShouldEqual, rollout.Off)
		})
	})
	Convey("Canary servers are used for canaries, and for nothing else", t, func() {
		canary := serverUse{arm: rollout.Canary}
		So(canary.accepts(true), ShouldBeTrue)
		So(canary.accepts(false), ShouldBeFalse)
		So(serverUse{arm: rollout.Stable}.accepts(true), ShouldBeTrue)
		So(serverUse{arm: rollout.Off}.accepts(true), ShouldBeFalse)
		So(serverUse{arm: rollout.Stable, leaving: true}.accepts(false), ShouldBeFalse)
	})
}

func TestRolloutWireRoundTrip(t *testing.T) {
	Convey("What a reader tells of a rollout is what it has", t, func() {
		r := rollout.Rollout{
			ID: rollout.ID{Service: "app", To: "v2", Created: 7}, Duration: 12_500_000_000,
			Revision: 9, State: rollout.RolledBack, Acknowledged: true, Unreadable: true,
		}
		So(rolloutsFromWire(rolloutsToWire(rollout.Set{"app": r})), ShouldResemble, []rollout.Rollout{r})
	})
	Convey("A report and a plan, too", t, func() {
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
	Convey("Where the operators allow no rollouts versions don't count", t, func() {
		rs := newRolloutState(false)
		rs.assignArms([]discovery.Server{v1, v2}, 5)
		So(rs.arm(v2), ShouldEqual, rollout.Stable)
		So(len(rs.readNow), ShouldEqual, 0)
		s := buildPools(appTable(t), []discovery.Server{v1, v2}, "r", partitioner{})
		So(len(s.Pools), ShouldEqual, 1)
		So(len(s.Pools["app"].Servers), ShouldEqual, 2)
	})
}

// stateWithRollouts returns a state with a configuration in force that knows rollouts.
func stateWithRollouts() *state {
	s := stateWithConfig()
	s.rollouts = newRolloutState(true)
	return s
}

// rolloutToV2 returns a rollout of the service app as of a revision.
func rolloutToV2(revision uint64, state rollout.State) rollout.Rollout {
	return rollout.Rollout{ID: rollout.ID{Service: "app", To: "v2", Created: 80}, Revision: revision, State: state}
}

// Guards against this: a withdrawn rollout stays in force.
func TestBatchedRolloutChanges(t *testing.T) {
	Convey("Each change of a watch counts, and a list as of the same revision", t, func() {
		s := stateWithRollouts()
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		s.removeRollout("app", 86, 90)
		So(len(s.rollouts.all), ShouldEqual, 0)
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		s.replaceRollouts(nil, 90)
		So(len(s.rollouts.all), ShouldEqual, 0)
	})
	Convey("A removal that is older than the rollout was of another one", t, func() {
		s := stateWithRollouts()
		s.putRollout(rolloutToV2(85, rollout.Running), 90)
		s.removeRollout("app", 79, 91)
		So(len(s.rollouts.all), ShouldEqual, 1)
	})
}

// Guards against this: days without any rollout cost a quarter more calls of the store.
func TestOnlyReadersReadRolloutsWhenNoneRuns(t *testing.T) {
	Convey("A daemon that is not a reader reads them only where it needs them and nobody tells it", t, func() {
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

// Guards against this: a new version gets its whole share at once.
func TestUnreadableRolloutHoldsBackNewVersions(t *testing.T) {
	Convey("A new version waits beside a fit one until the rollout is mended", t, func() {
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
	Convey("Where no version is known to be fit all serve", t, func() {
		s := stateWithRollouts()
		s.putRollout(rollout.Rollout{ID: rollout.ID{Service: "app"}, Unreadable: true}, 90)
		s.replaceServers([]discovery.Server{v1, v2}, 88)
		So(s.rollouts.arm(v1), ShouldEqual, rollout.Stable)
		So(s.rollouts.arm(v2), ShouldEqual, rollout.Stable)
	})
}

// Guards against this: a request is refused after a second though all servers are free.
func TestWaitersWakeWhenAPoolIsRemoved(t *testing.T) {
	Convey("The wait ends when a pool of the service goes, and not when one comes", t, func() {
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
