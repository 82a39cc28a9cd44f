package quota

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/route"
)

// roundInterval is the interval at which the simulated daemons exchange usage.
const roundInterval = 100 * time.Millisecond

// scenario is a load on daemons of which some are cut off, killed and restarted.
type scenario struct {
	daemons    int
	hubs       int // on each side of a partition
	workspace  *route.Workspace
	tolerance  Tolerance
	cost       float64 // of a request
	load       float64 // as a multiple of the rate, from loadFrom on
	loadFrom   float64 // seconds
	partitions []partition
	kills      []kill
	seconds    int
	seed       uint64
}

// partition separates the daemons with an index below split from the others.
type partition struct {
	from, to float64 // seconds
	split    int
}

// kill stops the processes of the daemons in [first, last) and restarts them after
// downtime.
type kill struct {
	at          float64
	first, last int
	downtime    float64 // seconds
}

// simulation is a scenario in progress.
type simulation struct {
	scenario
	*fleet
	random      *rand.Rand
	downUntil   []float64 // by daemon, in seconds
	usedByRound []float64
}

func (sim *simulation) elapsed() float64 {
	return float64(len(sim.usedByRound)) * roundInterval.Seconds()
}

func (sim *simulation) connected(i, j int) bool {
	for _, c := range sim.partitions {
		if sim.elapsed() >= c.from && sim.elapsed() < c.to && (i < c.split) != (j < c.split) {
			return false
		}
	}
	return true
}

func (sim *simulation) isUp(i int) bool { return sim.elapsed() >= sim.downUntil[i] }

// step simulates the requests of one round, and then the exchange between the daemons.
func (sim *simulation) step() {
	sim.clock.advance(roundInterval)
	for _, k := range sim.kills {
		if sim.elapsed() >= k.at && sim.elapsed() < k.at+roundInterval.Seconds() {
			for i := k.first; i < k.last; i++ {
				sim.downUntil[i] = k.at + k.downtime
			}
		}
	}
	for i := range sim.downUntil {
		if sim.downUntil[i] > 0 && sim.isUp(i) {
			sim.downUntil[i] = 0
			sim.start(i, sim.daemons)
		}
	}
	load := 0.5
	if sim.elapsed() >= sim.loadFrom {
		load = sim.load
	}
	used := 0.0
	requests := load*sim.workspace.Quota.PerSecond*roundInterval.Seconds()/sim.cost + sim.random.Float64()
	for range int(requests) {
		i := sim.random.IntN(sim.daemons)
		if !sim.isUp(i) {
			continue
		}
		if ok, _ := sim.limiters[i].Take(sim.workspace, 0, sim.cost); ok {
			used += sim.cost
		}
	}
	sim.exchangeReachable()
	sim.usedByRound = append(sim.usedByRound, used)
}

func (sim *simulation) exchangeReachable() {
	sim.reach = func(i, j int) bool { return sim.isUp(i) && sim.isUp(j) && sim.connected(i, j) }
	sim.isCut = func(i, j int) bool { return !sim.reach(i, j) }
	sim.exchangeAll(func(i int) int {
		var reached []int
		for j := range sim.daemons {
			if sim.reach(i, j) {
				reached = append(reached, j)
			}
			if len(reached) == sim.hubs {
				break
			}
		}
		if len(reached) == 0 {
			return i
		}
		return reached[i%len(reached)]
	})
}

// worstWindow runs the scenario. It returns the highest usage of any window, as a ratio to
// what is allowed, and the start of that window in seconds.
func (s scenario) worstWindow() (ratio float64, at float64) {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(s.seed, 0)), downUntil: make([]float64, s.daemons)}
	sim.fleet = newFleetWith(s.daemons, s.workspace, s.tolerance)
	for sim.elapsed() < float64(s.seconds) {
		sim.step()
	}
	q, t := s.workspace.Quota, s.tolerance
	allowed := (q.PerSecond*t.Window.Seconds()+q.Burst)*(1+t.Over) + t.Slack
	rounds := int(t.Window / roundInterval)
	for from := 0; from+rounds <= len(sim.usedByRound); from++ {
		sum := 0.0
		for _, u := range sim.usedByRound[from : from+rounds] {
			sum += u
		}
		if sum/allowed > ratio {
			ratio, at = sum/allowed, float64(from)*roundInterval.Seconds()
		}
	}
	return ratio, at
}

// workspaceWithBurst returns a workspace whose burst is the given number of seconds of its
// rate.
func workspaceWithBurst(perSecond, burstSeconds float64) *route.Workspace {
	return &route.Workspace{Name: "w", Quota: route.Quota{PerSecond: perSecond, Burst: burstSeconds * perSecond, Tokens: true}}
}

var operatorsBound = Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 140_000}

// Guards against usage above the operators' bound when daemons are cut off, killed, or hear of each other late.
func TestTheBoundHoldsUnderPartitionsAndKills(t *testing.T) {
	fifthKilled := []kill{{at: 8.7, first: 20, last: 36, downtime: 1.2}}
	thirdCutOff := []partition{{from: 1, to: 13, split: 26}}
	scenarios := map[string]scenario{
		"no fault":                            {},
		"a fifth killed":                      {kills: fifthKilled},
		"a third partitioned":                 {partitions: thirdCutOff},
		"a third partitioned, a fifth killed": {partitions: thirdCutOff, kills: fifthKilled},
		"half partitioned":                    {partitions: []partition{{from: 1, to: 13, split: 39}}},
		"half partitioned under the load":     {partitions: []partition{{from: 6, to: 9, split: 39}}},
		"partitions in series":                {partitions: []partition{{from: 1, to: 3, split: 39}, {from: 4, to: 6, split: 20}, {from: 7, to: 9, split: 39}}},
		"all killed":                          {kills: []kill{{at: 8.7, first: 0, last: 79, downtime: 1.2}}},
	}
	var group sync.WaitGroup
	for name, base := range scenarios {
		for _, burst := range []float64{0.5, 2} {
			s := base
			s.daemons, s.hubs, s.cost, s.load, s.loadFrom, s.seconds, s.seed = 79, 3, 6000, 6, 5.8, 18, uint64(burst)
			s.workspace, s.tolerance = workspaceWithBurst(6_500_000/1.1/(8+burst), burst), operatorsBound
			group.Go(func() {
				if ratio, at := s.worstWindow(); ratio > 1 {
					t.Errorf("%s, burst of %v s: %.3f of the allowed usage in the 8 s from %.1f s", name, burst, ratio, at)
				}
			})
		}
	}
	group.Wait()
}

// Guards against daemons that underestimate a heavy overload of large requests and together overdraw the bucket.
func TestTheBoundHoldsForLargeRequestsInAHeavyOverload(t *testing.T) {
	const foundSeed, moreSeeds = 0x49fe73, 16
	base := scenario{
		daemons: 35, hubs: 4, workspace: workspaceWithBurst(157_187, 0.25), tolerance: operatorsBound,
		cost: 23139.91400742717, load: 8, loadFrom: 0.8956007645643279, seconds: 18, seed: foundSeed,
		partitions: []partition{{from: 4.675584300589111, to: 4.777295856293350, split: 2}},
		kills: []kill{
			{at: 4.467113494873047, first: 33, last: 35, downtime: 0.9241846340042441},
			{at: 2.4571380615234375, first: 33, last: 35, downtime: 0.3},
		},
	}
	scenarios := []scenario{base}
	for seed := range uint64(moreSeeds) {
		s := base
		s.seed = seed
		scenarios = append(scenarios, s)
	}
	var group sync.WaitGroup
	for _, s := range scenarios {
		group.Go(func() {
			if ratio, at := s.worstWindow(); ratio > 1 {
				t.Errorf("seed %#x: %.3f of the allowed usage in the 8 s from %.1f s", s.seed, ratio, at)
			}
		})
	}
	group.Wait()
}

// Guards against daemons that overdraw the bucket in a heavy overload of large requests although all hear of each other.
func TestTheBoundHoldsInAHeavyOverloadWithoutFault(t *testing.T) {
	s := scenario{
		daemons: 35, hubs: 4, workspace: workspaceWithBurst(157_187, 0.25), tolerance: operatorsBound,
		cost: 23139.91400742717, load: 8, loadFrom: 0.8956007645643279, seconds: 18,
	}
	for _, s.seed = range []uint64{57, 110, 155, 207, 252} {
		if ratio, at := s.worstWindow(); ratio > 1 {
			t.Errorf("seed %d: %.4f of the allowed usage in the 8 s from %.1f s", s.seed, ratio, at)
		}
	}
}

// Guards against usage that is counted as unused again by hubs that meet after a short partition.
func TestTheBoundHoldsAfterAShortPartition(t *testing.T) {
	s := scenario{
		daemons: 5, hubs: 1, workspace: workspaceWithBurst(131_072, 0.5), tolerance: operatorsBound, cost: 200, load: 2, loadFrom: 1, seconds: 18,
		partitions: []partition{{from: 1, to: 1.5, split: 2}, {from: 2.829, to: 3.816, split: 1}, {from: 12, to: 15.669, split: 4}},
	}
	if ratio, at := s.worstWindow(); ratio > 1 {
		t.Errorf("%.3f of the allowed usage in the 8 s from %.1f s", ratio, at)
	}
}

// Guards against hubs that stay unknown to each other, and spend the same bucket twice, for rounds after a partition.
func TestTheBoundHoldsWhenHubsMeetAfterAPartition(t *testing.T) {
	scenarios := map[string]scenario{
		"a full bucket of 3 s": {
			daemons: 37, hubs: 3, workspace: workspaceWithBurst(700_000, 3.2287), cost: 2217.7, load: 8, loadFrom: 4.0998, seed: 1793,
			partitions: []partition{{from: 0.1856, to: 4.6145, split: 36}, {from: 3.8652, to: 4.5485, split: 10}, {from: 6.4533, to: 6.7336, split: 3}},
			kills:      []kill{{at: 1, first: 4, last: 5, downtime: 0.8928}, {at: 1.7201, first: 20, last: 21, downtime: 0.8555}},
		},
		"large requests, one hub a side": {
			daemons: 31, hubs: 1, workspace: workspaceWithBurst(118_612, 0.6882), cost: 25_000, load: 8, loadFrom: 8, seed: 1,
			partitions: []partition{{from: 7.9483, to: 8.157, split: 3}, {from: 0.499, to: 3.0725, split: 16}, {from: 12, to: 20, split: 22}},
		},
	}
	for name, s := range scenarios {
		s.tolerance, s.seconds = operatorsBound, 18
		if ratio, at := s.worstWindow(); ratio > 1 {
			t.Errorf("%s: %.3f of the allowed usage in the 8 s from %.1f s", name, ratio, at)
		}
	}
}

// Guards against usage above the operators' bound under random loads, partitions and kills.
func TestTheBoundHoldsUnderAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scenario{
			daemons:   rapid.IntRange(2, 40).Draw(t, "daemons"),
			hubs:      rapid.IntRange(1, 4).Draw(t, "hubs"),
			workspace: workspaceWithBurst(rapid.Float64Range(10_000, 700_000).Draw(t, "rate"), rapid.Float64Range(0.2, 4).Draw(t, "burst")),
			tolerance: operatorsBound,
			cost:      rapid.Float64Range(200, 25_000).Draw(t, "cost"),
			load:      rapid.Float64Range(1, 8).Draw(t, "load"),
			loadFrom:  rapid.Float64Range(0, 8).Draw(t, "load from"),
			seconds:   18,
			seed:      rapid.Uint64().Draw(t, "seed"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "partitions") {
			from := rapid.Float64Range(0, 12).Draw(t, "from")
			s.partitions = append(s.partitions, partition{
				from: from, to: from + rapid.Float64Range(0.1, 8).Draw(t, "duration"), split: rapid.IntRange(1, s.daemons-1).Draw(t, "split"),
			})
		}
		for range rapid.IntRange(0, 2).Draw(t, "kills") {
			first := rapid.IntRange(0, s.daemons-1).Draw(t, "first")
			s.kills = append(s.kills, kill{
				at: rapid.Float64Range(1, 14).Draw(t, "at"), first: first, last: rapid.IntRange(first+1, s.daemons).Draw(t, "last"),
				downtime: rapid.Float64Range(0.3, 3).Draw(t, "downtime"),
			})
		}
		if ratio, at := s.worstWindow(); ratio > 1 {
			t.Fatalf("%.3f of the allowed usage in the 8 s from %.1f s", ratio, at)
		}
	})
}
