package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/load"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/scenarios"
	"github.com/lycheekeel/lycheekeel/workspace"
)

func TestShippedScenarios(t *testing.T) {
	Convey("No shipped scenario or mix has findings", t, func() {
		for _, name := range scenarios.Names() {
			data, _ := scenarios.Scenario(name)
			s, err := Parse(name, data)
			So(err, ShouldBeNil)
			So(s.Name, ShouldEqual, name)
			_, err = s.snapshot(pool.PolicyLycheekeel)
			So(err, ShouldBeNil)
		}
		for _, name := range scenarios.Mixes() {
			data, _ := scenarios.Mix(name)
			_, err := load.ParseMix(name, data)
			So(err, ShouldBeNil)
		}
		So(len(scenarios.Names()), ShouldEqual, 7)
	})
	Convey("Each class's longest answer can meet all targets of its tier", t, func() {
		for _, name := range scenarios.Names() {
			data, _ := scenarios.Scenario(name)
			s, err := Parse(name, data)
			So(err, ShouldBeNil)
			for _, c := range s.Mix.Classes {
				x := s.Mix.Tiers[c.Tier]
				So(x.FirstTokenMs+x.PerTokenMs*(c.OutputTokens.Max-1), ShouldBeLessThanOrEqualTo, x.DeadlineMs)
			}
		}
	})
	Convey("The top tier alone stays below capacity in the dawn burst, and overload is about twice capacity", t, func() {
		So(scenarioLoads("dawn-burst").TopTierPeak, ShouldBeLessThan, 1)
		So(scenarioLoads("overload").All.Mean, ShouldBeBetween, 1.8, 2.4)
	})
}

func scenarioLoads(name string) OfferedLoads {
	data, _ := scenarios.Scenario(name)
	s, err := Parse(name, data)
	So(err, ShouldBeNil)
	return s.offeredLoads(load.Arrivals(&s.Mix, 1, s.Duration(false)), s.Duration(false))
}

func TestScenarioFindings(t *testing.T) {
	Convey("All errors of a scenario are reported at once, each with its JSON path", t, func() {
		data := []byte(`{"name": "", "duration_ms": 0, "engines": [{"count": 40, "generation": "g", "slots": 0, "engine": {"slots": 1}}],
			"mix": {"tiers": {"a": {"deadline_ms": 10}}, "classes": []},
			"faults": [{"at_ms": -1, "engine": 99}]}`)
		_, err := Parse("s.json", data)
		var f workspace.Findings
		So(errors.As(err, &f), ShouldBeTrue)
		paths := map[string]bool{}
		for _, x := range f {
			paths[x.Path] = true
		}
		for _, want := range []string{"name", "duration_ms", "engines", "engines[0]", "engines[0].engine", "mix.classes", "faults[0].engine", "faults[0]"} {
			So(paths, ShouldContainKey, want)
		}
	})
}

// spacedTrace sets the records' times a millisecond apart.
func spacedTrace(records ...TraceRecord) []TraceRecord {
	for i := range records {
		records[i].At = time.Unix(1000, 0).Add(time.Duration(i) * time.Millisecond)
	}
	return records
}

func record(ev pool.Event, cmds ...pool.Command) TraceRecord {
	return TraceRecord{Event: ev, Commands: cmds}
}

func enqueue(id request.ID, tier request.Tier) pool.Enqueue {
	return pool.Enqueue{Request: id, Entry: "e", Workspace: "w", Tier: tier, DeadlineIn: 5 * time.Millisecond}
}

func grant(id request.ID, seq uint64) pool.Grant {
	return pool.Grant{Request: id, Entry: "e", Grant: pool.GrantID{Epoch: 1, Seq: seq}, Server: "s"}
}

func shed(id request.ID, why request.Reason) pool.Shed {
	return pool.Shed{Request: id, Entry: "e", Reason: why}
}

func countByRule(vs []Violation) map[Rule]int {
	out := map[Rule]int{}
	for _, v := range vs {
		out[v.Rule]++
	}
	return out
}

// Guards against a trace check that misses a violation or reports a false one.
func TestCheckTrace(t *testing.T) {
	servers := record(pool.ServerSet{Servers: []pool.ServerInfo{{Name: "s"}}})
	release := record(pool.Release{Request: "a", Entry: "e", Grant: pool.GrantID{Epoch: 1, Seq: 1}})
	limited := enqueue("a", 1)
	limited.MaxWaiting = 2
	Convey("A trace that follows the rules has no violations", t, func() {
		So(CheckTrace(spacedTrace(servers,
			record(enqueue("a", 0), grant("a", 1)), record(enqueue("b", 1)), record(enqueue("c", 0), shed("b", request.ReasonShed)),
			release, record(enqueue("a", 1)), record(pool.Withdraw{Request: "a"}), record(enqueue("d", 2), shed("d", request.ReasonShed)),
			record(pool.Tick{}), record(pool.Tick{}), record(pool.Tick{}), record(pool.Tick{}), record(pool.Tick{}), record(pool.Tick{}),
			record(pool.Tick{}, shed("c", request.ReasonExpired))), true), ShouldBeEmpty)
	})
	Convey("Each violation is reported, and nothing else", t, func() {
		for _, x := range []struct {
			rule    Rule
			records []TraceRecord
		}{
			{RuleTierOrder, spacedTrace(record(enqueue("a", 0)), record(enqueue("b", 1), shed("a", request.ReasonShed)), record(pool.Withdraw{Request: "b"}))},
			{RuleTierOrder, spacedTrace(record(enqueue("b", 3)), record(enqueue("a", 2), shed("a", request.ReasonShed)), record(pool.Withdraw{Request: "b"}))},
			{RuleExpiry, spacedTrace(record(enqueue("a", 0)), record(pool.Tick{}, shed("a", request.ReasonExpired)))},
			{RuleWorkspaceLimit, spacedTrace(record(limited, shed("a", request.ReasonWorkspaceLimit)))},
			{RuleKnownRequest, spacedTrace(servers, record(pool.Tick{}, grant("a", 1)))},
			{RuleKnownRequest, spacedTrace(record(enqueue("a", 0)), record(pool.Withdraw{Request: "a"}, shed("a", request.ReasonShed)))},
			{RuleGrantOnce, spacedTrace(servers, record(enqueue("a", 0), grant("a", 1)), record(enqueue("a", 0), grant("a", 2)))},
			{RuleGrantOnce, spacedTrace(servers, record(enqueue("a", 0), grant("a", 1)), record(enqueue("b", 0), grant("b", 1)))},
			{RuleRelease, spacedTrace(release)},
			{RuleRelease, spacedTrace(servers, record(enqueue("a", 0), grant("a", 1)), release, release)},
			{RuleServerUp, spacedTrace(record(enqueue("a", 0), grant("a", 1)))},
			{RuleServerUp, spacedTrace(servers, record(pool.ServerHealth{Server: "s", Health: pool.HealthLeaving}), record(enqueue("a", 0), grant("a", 1)))},
			{RuleUnresolved, spacedTrace(record(enqueue("a", 0)))},
		} {
			So(countByRule(CheckTrace(x.records, true)), ShouldResemble, map[Rule]int{x.rule: 1})
		}
	})
	Convey("Requests of a failed entry do not count as unresolved", t, func() {
		So(CheckTrace(spacedTrace(record(enqueue("a", 0)), record(pool.EntrySet{})), true), ShouldBeEmpty)
	})
}

// Guards against a caller check that misses a violation or reports a false one.
func TestCheckCallers(t *testing.T) {
	result := func(tries ...load.Attempt) load.Result { return load.Result{Arrival: &load.Arrival{}, Attempts: tries} }
	Convey("Callers and run logs that agree have no violations", t, func() {
		So(CheckCallers([]load.Result{
			result(load.Attempt{Outcome: load.OutcomeComplete, RequestID: "a"}), result(load.Attempt{Outcome: load.OutcomeRefused, RequestID: "b", NotRun: "true"}),
			result(load.Attempt{Outcome: load.OutcomeRefused, RequestID: "c", NotRun: "false"}, load.Attempt{Outcome: load.OutcomeFailed, RequestID: "d", Reason: "engine_lost"}),
			result(load.Attempt{Outcome: load.OutcomeDisconnected}), result(load.Attempt{Outcome: load.OutcomeDisconnected}),
		}, map[request.ID]int{"a": 1, "c": 1, "d": 1}), ShouldBeEmpty)
	})
	Convey("Each violation is reported, and nothing else", t, func() {
		whole := load.Attempt{Outcome: load.OutcomeComplete, RequestID: "a"}
		for _, x := range []struct {
			rule    Rule
			results []load.Result
			runs    map[request.ID]int
		}{
			{RuleRunOnce, []load.Result{result(whole)}, map[request.ID]int{"a": 2}},
			{RuleNotRun, []load.Result{result(load.Attempt{Outcome: load.OutcomeRefused, RequestID: "a", NotRun: "true"})}, map[request.ID]int{"a": 1}},
			{RuleOneAnswer, []load.Result{result(load.Attempt{Outcome: load.OutcomeNoAnswer})}, nil},
			{RuleOneAnswer, []load.Result{result(load.Attempt{Outcome: load.OutcomeTruncated})}, nil},
			{RuleOneAnswer, []load.Result{result(load.Attempt{Outcome: load.OutcomeMisrouted, RequestID: "a"})}, nil},
			{RuleOneAnswer, []load.Result{result(whole), result(whole)}, nil},
		} {
			So(countByRule(CheckCallers(x.results, x.runs)), ShouldResemble, map[Rule]int{x.rule: 1})
		}
	})
}

func TestCountPrefill(t *testing.T) {
	run := func(id string, at, prompt, computed int, blocks ...uint64) engineRun {
		return engineRun{blocks: blocks, RunRecord: standin.RunRecord{
			RequestID: id, StartedAt: time.Unix(int64(at), 0), PromptTokens: prompt, PrefillComputed: computed,
		}}
	}
	Convey("Unfinished and recomputed prefill tokens are counted", t, func() {
		runs := []engineRun{
			run("a", 1, 128, 128, 1, 2),
			run("b", 2, 192, 192, 1, 2, 3), // another engine computes two blocks again
			run("c", 3, 128, 64, 1, 4),     // one block cached
			run("d", 4, 64, 64, 9),         // its caller disconnected
			run("e", 5, 100, 0, 1),         // never got a slot
		}
		p := countPrefill(runs, map[request.ID]bool{"a": true, "b": true, "c": true}, map[request.ID]bool{"d": true}, 10)
		So(p.ComputedTokens, ShouldEqual, 448)
		So(p.UnfinishedTokens, ShouldEqual, 64)
		So(p.Disconnected, ShouldEqual, 64)
		So(p.RecomputedTokens, ShouldEqual, 128)
		So(p.WastedFraction, ShouldAlmostEqual, 192.0/448)
		So(p.Reuse, ShouldAlmostEqual, 64.0/512)
		So(p.ReuseBound, ShouldAlmostEqual, 3*64.0/512)
	})
	Convey("The optimal cache keeps the blocks that are used soonest", t, func() {
		var runs []engineRun
		for i, b := range []uint64{1, 2, 3, 1, 2, 3} {
			runs = append(runs, run("x", i, 64, 64, b))
		}
		So(optimalHits(runs, 3), ShouldEqual, 3)
		So(optimalHits(runs, 2), ShouldEqual, 2) // LRU would have none
		So(optimalHits(runs, 0), ShouldEqual, 0)
	})
}

// TestSmoke runs two policies briefly from end to end. It checks no timing.
func TestSmoke(t *testing.T) {
	Convey("An experiment runs without violations and writes its plot", t, func() {
		data, _ := scenarios.Scenario("server-crash")
		s, err := Parse("server-crash", data)
		So(err, ShouldBeNil)
		s.DurationMs = 1500
		for i := range s.Mix.Classes { // short answers
			s.Mix.Classes[i].OutputTokens = load.LengthDistribution{Median: 16, Min: 16, Max: 16}
		}
		s.Faults = []Fault{{AtMs: 700, Engine: 0, Crash: true}}
		out, err := Run(context.Background(), Options{
			Scenario: s, Seed: 1, Policies: []pool.Policy{pool.PolicyLycheekeel, pool.PolicyRoundRobin},
		})
		So(err, ShouldBeNil)
		for _, p := range out.Order {
			res := out.Policies[p]
			So(res.Examples, ShouldBeEmpty)
			So(res.Report.Sent, ShouldEqual, out.Arrivals)
			So(res.Report.All.Complete, ShouldBeGreaterThan, 0)
			So(res.Prefill.ComputedTokens, ShouldBeGreaterThan, 0)
		}
		So(out.WritePlot(t.TempDir()+"/plot.png"), ShouldBeNil)
	})
}
