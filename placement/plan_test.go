package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/placement"
)

func genInput() *rapid.Generator[placement.Input] {
	return rapid.Custom(func(t *rapid.T) placement.Input {
		in := placement.Input{MaxMoves: rapid.IntRange(0, 3).Draw(t, "max_moves")}
		for i := range rapid.IntRange(1, 5).Draw(t, "pools") {
			p := placement.Pool{
				Name: fmt.Sprintf("p%d", i), Region: "r", Model: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"),
				Version: fmt.Sprint(i), Min: rapid.IntRange(0, 3).Draw(t, "min"), Referenced: rapid.Bool().Draw(t, "referenced"),
			}
			for tier := range 3 {
				p.Demand[tier] = float64(rapid.SampledFrom([]int{0, 0, 8, 60}).Draw(t, "demand"))
			}
			in.Pools = append(in.Pools, p)
		}
		for i := range rapid.IntRange(1, 16).Draw(t, "servers") {
			p := rapid.SampledFrom(in.Pools).Draw(t, "pool")
			s := placement.Server{
				Name: fmt.Sprintf("s%02d", i), Region: "r", Pool: p.Name, Slots: 8, CanUnload: true,
				AvailabilityZone: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone"),
				Generation:       rapid.SampledFrom([]string{"g1", "g2"}).Draw(t, "generation"),
				Reachable:        rapid.IntRange(0, 9).Draw(t, "reachable") > 0,
				Leaving:          rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
			}
			if rapid.Bool().Draw(t, "warm") {
				s.Models = []engine.LoadedModel{{Model: p.Model, Version: p.Version}}
			}
			in.Servers = append(in.Servers, s)
		}
		return in
	})
}

func usable(s placement.Server) bool { return s.Reachable && !s.Leaving }

func holds(s placement.Server, p placement.Pool) bool {
	return slices.Contains(s.Models, engine.LoadedModel{Model: p.Model, Version: p.Version})
}

// warm returns the number of warm servers by pool, and by model over all its versions.
func warm(in placement.Input) (byPool, byModel map[string]int) {
	byPool, byModel = map[string]int{}, map[string]int{}
	for _, s := range in.Servers {
		for _, p := range in.Pools {
			if s.Pool == p.Name && usable(s) && !s.Warming && holds(s, p) {
				byPool[p.Name]++
				byModel[p.Model]++
			}
		}
	}
	return byPool, byModel
}

// applySteps applies the steps as the engines and the store would. A load makes a
// server warm up for one round.
func applySteps(in *placement.Input, steps []placement.Step) {
	for i := range in.Servers {
		in.Servers[i].Warming = false
	}
	for _, step := range steps {
		i := slices.IndexFunc(in.Servers, func(s placement.Server) bool { return s.Name == step.Server })
		s, m := &in.Servers[i], engine.LoadedModel{Model: step.Model, Version: step.Version}
		switch step.Kind {
		case placement.StepLoad:
			s.Models, s.Warming = append(slices.Clone(s.Models), m), true
		case placement.StepAssign:
			s.Pool = step.Pool
		case placement.StepUnload:
			s.Models = slices.DeleteFunc(slices.Clone(s.Models), func(x engine.LoadedModel) bool { return x == m })
		}
	}
}

// Guards against a pool that loses its last server, and against servers that are moved
// back and forth forever.
func TestPlanKeepsPoolsWarmAndConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := genInput().Draw(rt, "input")
		poolWarm, _ := warm(in)
		var plan placement.Plan
		for range 8*len(in.Servers) + 8 {
			plan = placement.ComputePlan(in)
			if in.MaxMoves > 0 && len(plan.Moves) > in.MaxMoves {
				rt.Fatalf("%d moves in progress, more than MaxMoves", len(plan.Moves))
			}
			checkDonors(rt, in, plan)
			steps := placement.Steps(in, plan.Moves)
			in.Moves = plan.Moves
			applySteps(&in, steps)
			byPool, _ := warm(in)
			for p := range poolWarm {
				if byPool[p] == 0 {
					rt.Fatalf("pool %s lost its last warm server: %+v", p, steps)
				}
			}
			if len(steps) == 0 && len(plan.Moves) == 0 {
				break
			}
		}
		if n := len(placement.Steps(in, plan.Moves)); n > 0 || len(plan.Moves) > 0 {
			rt.Fatalf("plan does not converge: %d steps, moves %+v", n, plan.Moves)
		}
		checkFinalState(rt, in, plan)
	})
}

// checkDonors checks that a new move leaves the old pool at its target.
func checkDonors(rt *rapid.T, in placement.Input, plan placement.Plan) {
	remaining := map[string]int{}
	for _, s := range in.Servers {
		moves := slices.ContainsFunc(plan.Moves, func(m placement.Move) bool { return m.Server == s.Name })
		if usable(s) && !moves {
			remaining[s.Pool]++
		}
	}
	for _, m := range plan.Moves {
		remaining[m.To]++
	}
	for _, m := range plan.Moves {
		if !slices.Contains(in.Moves, m) && remaining[m.From] < plan.Targets[m.From] {
			rt.Fatalf("pool %s is left with %d servers of %d", m.From, remaining[m.From], plan.Targets[m.From])
		}
	}
}

// checkFinalState checks that a pool is below its target only if no other pool has a
// server to spare.
func checkFinalState(rt *rapid.T, in placement.Input, plan placement.Plan) {
	count := map[string]int{}
	for _, s := range in.Servers {
		if usable(s) {
			count[s.Pool]++
		}
	}
	byPool, _ := warm(in)
	for _, p := range in.Pools {
		if count[p.Name] >= plan.Targets[p.Name] {
			continue
		}
		for _, from := range in.Pools {
			if count[from.Name] > plan.Targets[from.Name] && byPool[from.Name] > 1 {
				rt.Fatalf("pool %s has %d servers of %d, pool %s has %d of %d", p.Name, count[p.Name], plan.Targets[p.Name],
					from.Name, count[from.Name], plan.Targets[from.Name])
			}
		}
	}
}

func newServers(n int, pool, model, version string) []placement.Server {
	var out []placement.Server
	for i := range n {
		out = append(out, placement.Server{
			Name: fmt.Sprintf("s%d", i), Region: "r", Pool: pool, Slots: 8, Reachable: true, CanUnload: true,
			AvailabilityZone: fmt.Sprint("z", i/2), Models: []engine.LoadedModel{{Model: model, Version: version}},
		})
	}
	return out
}

// Guards against a loss of goodput during the rollout of a new version.
func TestRolloutKeepsAllButOneWarm(t *testing.T) {
	in := placement.Input{Servers: newServers(6, "old", "m", "1"), Pools: []placement.Pool{
		{Name: "old", Region: "r", Model: "m", Version: "1", Demand: [8]float64{40}},
		{Name: "new", Region: "r", Model: "m", Version: "2", Referenced: true},
	}}
	for round := 0; ; round++ {
		plan := placement.ComputePlan(in)
		steps := placement.Steps(in, plan.Moves)
		in.Moves = plan.Moves
		applySteps(&in, steps)
		byPool, byModel := warm(in)
		if byModel["m"] < 5 || byPool["old"] < 1 {
			t.Fatalf("round %d: %d of 6 servers are warm", round, byModel["m"])
		}
		if len(steps) == 0 && len(plan.Moves) == 0 {
			if byPool["new"] != 5 || byPool["old"] != 1 {
				t.Fatalf("warm servers by pool at the end: %v", byPool)
			}
			return
		}
		if round > 60 {
			t.Fatal("rollout did not finish within 60 rounds")
		}
	}
}

// Guards against an urgent pool that gets its servers late or in one AvailabilityZone.
func TestUrgentDemandGetsSpreadServers(t *testing.T) {
	in := placement.Input{Servers: newServers(6, "tags", "t", "1"), Pools: []placement.Pool{
		{Name: "tags", Region: "r", Model: "t", Version: "1", Referenced: true, Demand: [8]float64{0, 0, 100}},
		{Name: "offers", Region: "r", Model: "o", Version: "1", Referenced: true, Demand: [8]float64{20}},
	}}
	for range 40 {
		plan := placement.ComputePlan(in)
		steps := placement.Steps(in, plan.Moves)
		in.Moves = plan.Moves
		applySteps(&in, steps)
	}
	zones := map[string]bool{}
	for _, s := range in.Servers {
		if s.Pool == "offers" {
			zones[s.AvailabilityZone] = true
		}
	}
	if byPool, _ := warm(in); byPool["offers"] != 3 || byPool["tags"] != 3 || len(zones) != 3 {
		t.Fatalf("warm servers by pool: %v; zones of the urgent pool: %v", byPool, zones)
	}
}

// BenchmarkComputePlan plans a region of the target size, 220 servers and 22 models, whose
// demand has reversed.
func BenchmarkComputePlan(b *testing.B) {
	var in placement.Input
	for i := range 22 {
		m := fmt.Sprint("m", i)
		in.Pools = append(in.Pools, placement.Pool{Name: m, Region: "r", Model: m, Version: "1", Referenced: true, Demand: [8]float64{float64(8 * i)}})
		for j, s := range newServers(10, m, m, "1") {
			s.Name = fmt.Sprintf("%s-%d", m, j)
			in.Servers = append(in.Servers, s)
		}
	}
	for b.Loop() {
		placement.Steps(in, placement.ComputePlan(in).Moves)
	}
}
