package quota

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/route"
)

// roundEvery is how often the daemons of a trial tell what they let through.
const roundEvery = 100 * time.Millisecond

// trial is a load on daemons of which some are cut off, killed and started again.
type trial struct {
	daemons   int
	hubs      int // of each side of a cut
	workspace *route.Workspace
	tolerance Tolerance
	cost      float64 // of a request
	asked     float64 // times the rate, from askedFrom on
	askedFrom float64 // seconds
	cuts      []cut
	kills     []kill
	seconds   int
	seed      uint64
}

// cut parts the daemons below first from the others.
type cut struct {
	from, to float64 // seconds
	first    int
}

// kill ends the processes of the daemons in [first, last), which start again after a while.
type kill struct {
	at          float64
	first, last int
	away        float64 // seconds
}

// trialRun is a trial under way.
type trialRun struct {
	trial
	*fleet
	random *rand.Rand
	down   []float64 // until when each daemon is away, in seconds
	used   []float64 // by round
}

func (r *trialRun) now() float64 { return float64(len(r.used)) * roundEvery.Seconds() }

func (r *trialRun) together(i, j int) bool {
	for _, c := range r.cuts {
		if r.now() >= c.from && r.now() < c.to && (i < c.first) != (j < c.first) {
			return false
		}
	}
	return true
}

func (r *trialRun) up(i int) bool { return r.now() >= r.down[i] }

// round lets the requests of a round come, and then all daemons tell.
func (r *trialRun) round() {
	r.clock.pass(roundEvery)
	for _, k := range r.kills {
		if r.now() >= k.at && r.now() < k.at+roundEvery.Seconds() {
			for i := k.first; i < k.last; i++ {
				r.down[i] = k.at + k.away
			}
		}
	}
	for i := range r.down {
		if r.down[i] > 0 && r.up(i) {
			r.down[i] = 0
			r.start(i, r.daemons)
		}
	}
	multiple := 0.5
	if r.now() >= r.askedFrom {
		multiple = r.asked
	}
	used := 0.0
	want := multiple*r.workspace.Quota.PerSecond*roundEvery.Seconds()/r.cost + r.random.Float64()
	for range int(want) {
		i := r.random.IntN(r.daemons)
		if !r.up(i) {
			continue
		}
		if ok, _ := r.ledgers[i].Take(r.workspace, 0, r.cost); ok {
			used += r.cost
		}
	}
	r.tellAll()
	r.used = append(r.used, used)
}

func (r *trialRun) tellAll() {
	r.reach = func(i, j int) bool { return r.up(i) && r.up(j) && r.together(i, j) }
	r.cut = func(i, j int) bool { return !r.reach(i, j) }
	r.tell(func(i int) int {
		var reached []int
		for j := range r.daemons {
			if r.reach(i, j) {
				reached = append(reached, j)
			}
			if len(reached) == r.hubs {
				break
			}
		}
		if len(reached) == 0 {
			return i
		}
		return reached[i%len(reached)]
	})
}

// worst returns the most of any window, as a part of what is allowed.
func (tr trial) worst() (part float64, at float64) {
	r := &trialRun{trial: tr, random: rand.New(rand.NewPCG(tr.seed, 0)), down: make([]float64, tr.daemons)}
	r.fleet = newFleetWith(tr.daemons, tr.workspace, tr.tolerance)
	for r.now() < float64(tr.seconds) {
		r.round()
	}
	q, t := tr.workspace.Quota, tr.tolerance
	allowed := (q.PerSecond*t.Window.Seconds()+q.Burst)*(1+t.Over) + t.Slack
	rounds := int(t.Window / roundEvery)
	for from := 0; from+rounds <= len(r.used); from++ {
		sum := 0.0
		for _, u := range r.used[from : from+rounds] {
			sum += u
		}
		if sum/allowed > part {
			part, at = sum/allowed, float64(from)*roundEvery.Seconds()
		}
	}
	return part, at
}

// wide is the quota of a large workspace that may save so many seconds of its rate.
func wide(perSecond, burstSeconds float64) *route.Workspace {
	return &route.Workspace{Name: "w", Quota: route.Quota{PerSecond: perSecond, Burst: burstSeconds * perSecond, Tokens: true}}
}

var operatorsBound = Tolerance{Window: 8 * time.Second, Over: 0.1, Slack: 140_000}

// Guards against workspaces that get more than the operators' bound because daemons are cut off, killed, or hear of each other late.
func TestTheBoundHoldsUnderCutsAndKills(t *testing.T) {
	fifth := []kill{{at: 8.7, first: 20, last: 36, away: 1.2}}
	apart := []cut{{from: 1, to: 13, first: 26}}
	troubles := map[string]trial{
		"all in touch":                    {},
		"a fifth killed":                  {kills: fifth},
		"a third cut off":                 {cuts: apart},
		"a third cut off, a fifth killed": {cuts: apart, kills: fifth},
		"half cut off":                    {cuts: []cut{{from: 1, to: 13, first: 39}}},
		"half cut off under the load":     {cuts: []cut{{from: 6, to: 9, first: 39}}},
		"cuts in series":                  {cuts: []cut{{from: 1, to: 3, first: 39}, {from: 4, to: 6, first: 20}, {from: 7, to: 9, first: 39}}},
		"all killed":                      {kills: []kill{{at: 8.7, first: 0, last: 79, away: 1.2}}},
	}
	var group sync.WaitGroup
	for name, trouble := range troubles {
		for _, burst := range []float64{0.5, 2} {
			tr := trouble
			tr.daemons, tr.hubs, tr.cost, tr.asked, tr.askedFrom, tr.seconds, tr.seed = 79, 3, 6000, 6, 5.8, 18, uint64(burst)
			tr.workspace, tr.tolerance = wide(6_500_000/1.1/(8+burst), burst), operatorsBound
			group.Go(func() {
				if part, at := tr.worst(); part > 1 {
					t.Errorf("%s, burst of %v s: %.3f of what is allowed, in the 8 s from %.1f s", name, burst, part, at)
				}
			})
		}
	}
	group.Wait()
}

// Guards against loads and troubles of which nobody thought that let a workspace exceed the operators' bound.
func TestTheBoundHoldsUnderAnyTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := trial{
			daemons:   rapid.IntRange(2, 40).Draw(t, "daemons"),
			hubs:      rapid.IntRange(1, 4).Draw(t, "hubs"),
			workspace: wide(rapid.Float64Range(10_000, 700_000).Draw(t, "rate"), rapid.Float64Range(0.2, 4).Draw(t, "burst")),
			tolerance: operatorsBound,
			cost:      rapid.Float64Range(200, 25_000).Draw(t, "cost"),
			asked:     rapid.Float64Range(1, 8).Draw(t, "asked"),
			askedFrom: rapid.Float64Range(0, 8).Draw(t, "asked from"),
			seconds:   18,
			seed:      rapid.Uint64().Draw(t, "seed"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "cuts") {
			from := rapid.Float64Range(0, 12).Draw(t, "from")
			tr.cuts = append(tr.cuts, cut{
				from: from, to: from + rapid.Float64Range(0.1, 8).Draw(t, "for"), first: rapid.IntRange(1, tr.daemons-1).Draw(t, "first"),
			})
		}
		for range rapid.IntRange(0, 2).Draw(t, "kills") {
			first := rapid.IntRange(0, tr.daemons-1).Draw(t, "first")
			tr.kills = append(tr.kills, kill{
				at: rapid.Float64Range(1, 14).Draw(t, "at"), first: first, last: rapid.IntRange(first+1, tr.daemons).Draw(t, "last"),
				away: rapid.Float64Range(0.3, 3).Draw(t, "away"),
			})
		}
		if part, at := tr.worst(); part > 1 {
			t.Fatalf("%.3f of what is allowed, in the 8 s from %.1f s", part, at)
		}
	})
}
