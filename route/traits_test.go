package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/request"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// streamRoutes returns stream routes with these targets in ms, one a priority, most urgent
// first.
func streamRoutes(targets ...int) []*Route {
	var out []*Route
	for i, t := range targets {
		out = append(out, &Route{Kind: Stream, Tier: request.Tier(i), Timeout: ms(12000), LatencyTarget: ms(t)})
	}
	return out
}

// Guards against services that are scheduled otherwise although strict priority suits their
// targets, and against those with mixed targets that are not.
func TestMixedTargets(t *testing.T) {
	samePriority := streamRoutes(800, 400)
	samePriority[1].Tier = 0
	shortestDecides := append(streamRoutes(800, 400), &Route{Kind: Stream, LatencyTarget: ms(700)})
	public := streamRoutes(800, 400)
	public[1].Public = true
	notAStream := streamRoutes(800, 400)
	notAStream[1].Kind = Idempotent
	unsorted := streamRoutes(800, 400)
	unsorted[0], unsorted[1] = unsorted[1], unsorted[0]
	for name, c := range map[string]struct {
		routes []*Route
		want   bool
	}{
		"a less urgent one at less than half":       {streamRoutes(800, 300, 400), true},
		"exactly half":                              {streamRoutes(800, 400, 400), true},
		"just above half":                           {streamRoutes(800, 401), false},
		"routes in any order":                       {unsorted, true},
		"between the last two priorities":           {streamRoutes(800, 900, 450), true},
		"only adjacent priorities are compared":     {streamRoutes(800, 600, 350), false},
		"routes without a target are ignored":       {streamRoutes(800, 0, 400), true},
		"no route but one has a target":             {streamRoutes(0, 400, 0), false},
		"equal priorities":                          {samePriority, false},
		"the shortest target of a priority decides": {shortestDecides, false},
		"public routes are ignored":                 {public, false},
		"calls are ignored":                         {notAStream, false},
		"targets that grow":                         {streamRoutes(1000, 1000, 1500), false},
		"targets that double":                       {streamRoutes(1000, 1000, 2000), false},
		"targets that shrink slowly":                {streamRoutes(800, 600, 400), false},
		"targets that all differ":                   {streamRoutes(800, 1000, 1500), false},
		"no route":                                  {nil, false},
	} {
		if got := deriveTraits(c.routes, Patience{}).MixedTargets; got != c.want {
			t.Errorf("%s: MixedTargets is %v, want %v", name, got, c.want)
		}
	}
}

// Guards against calls that count as brief although their callers have time for a second
// wait, and against services of streams that count as services of calls.
func TestBriefCalls(t *testing.T) {
	call := func(target, timeout int) *Route {
		return &Route{Kind: Idempotent, LatencyTarget: ms(target), Timeout: ms(timeout)}
	}
	public := func(r *Route) *Route { r.Public = true; return r }
	brief := call(120, 600)
	stream := &Route{Kind: Stream, LatencyTarget: ms(120), Timeout: ms(600)}
	publicStream := public(&Route{Kind: Stream, LatencyTarget: ms(120), Timeout: ms(600)})
	for name, c := range map[string]struct {
		routes       []*Route
		calls, brief bool
	}{
		"120 ms of 600 ms":                 {[]*Route{brief}, true, true},
		"120 ms of 1 s":                    {[]*Route{call(120, 1000)}, true, true},
		"time for two waits and no more":   {[]*Route{call(120, 1120)}, true, false},
		"just less":                        {[]*Route{call(120, 1119)}, true, true},
		"300 ms of 4 s":                    {[]*Route{call(300, 4000)}, true, false},
		"150 ms of 2.5 s":                  {[]*Route{call(150, 2500)}, true, false},
		"300 ms of 1.5 s":                  {[]*Route{call(300, 1500)}, true, false},
		"no target":                        {[]*Route{call(0, 600)}, true, false},
		"each route has to be brief":       {[]*Route{brief, call(150, 2500)}, true, false},
		"a long public route does not":     {[]*Route{brief, public(call(150, 2500))}, true, true},
		"public routes alone":              {[]*Route{public(call(120, 600))}, false, false},
		"a stream route beside":            {[]*Route{brief, stream}, false, false},
		"a public stream route beside":     {[]*Route{brief, publicStream}, false, false},
		"a stream route alone":             {[]*Route{stream}, false, false},
		"a service that no route leads to": {nil, false, false},
	} {
		if got := deriveTraits(c.routes, Patience{}); got.Calls != c.calls || got.BriefCalls != c.brief {
			t.Errorf("%s: %+v, want Calls %v and BriefCalls %v", name, got, c.calls, c.brief)
		}
	}
}

// Guards against a gap target of a route whose gaps nobody waits for, or of none.
func TestPauseTargetAndPatience(t *testing.T) {
	patience := Patience{Min: 2 * time.Second, TargetFactor: 4, PauseFactor: 8}
	routes := streamRoutes(800, 400, 400, 400, 400)
	for i, pause := range []int{500, 300, 0, -1, 100} {
		routes[i].PauseTarget = ms(pause)
	}
	routes[4].Public = true
	got := deriveTraits(routes, patience)
	if got.PauseTarget != ms(300) || got.Patience != patience || !got.Streams {
		t.Errorf("%+v, want a pause target of 300 ms and the document's patience", got)
	}
	calls := deriveTraits([]*Route{{Kind: Idempotent, PauseTarget: ms(100), Timeout: ms(9000)}}, patience)
	if calls != (Traits{Calls: true}) {
		t.Errorf("%+v, want no trait of streams for a service of calls", calls)
	}
}

func TestCompileDerivesTraits(t *testing.T) {
	Convey("A service has the traits of the routes that send requests to it", t, func() {
		d := testDocument(1)
		d.Patience = Patience{Min: time.Second}
		for i, target := range []int{800, 300} {
			d.Routes[i].Kind, d.Routes[i].Tier, d.Routes[i].LatencyTarget = Stream, request.Tier(i), ms(target)
		}
		d.Routes[0].Targets = []Target{{"llm", 1}, {"app", 0}}
		table, findings := Compile("config/main", d)
		So(findings, ShouldBeEmpty)
		So(table.Services["llm"].Traits, ShouldResemble, Traits{Streams: true, MixedTargets: true, Patience: d.Patience})
		So(table.Services["app"].Traits, ShouldResemble, Traits{Streams: true, Patience: d.Patience})
	})
}

// Guards against traits that depend on the order of the routes in the document: daemons would
// schedule by different traits after the operator sorted it.
func TestTraitsDoNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var routes []*Route
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			routes = append(routes, &Route{
				Kind: rapid.SampledFrom([]Kind{NonIdempotent, Idempotent, Stream}).Draw(t, "kind"), Public: rapid.Bool().Draw(t, "public"),
				Tier:          request.Tier(rapid.IntRange(0, 3).Draw(t, "tier")),
				LatencyTarget: ms(100 * rapid.IntRange(0, 9).Draw(t, "target")), Timeout: ms(300 * rapid.IntRange(1, 9).Draw(t, "timeout")),
				PauseTarget: ms(100 * rapid.IntRange(0, 5).Draw(t, "pause")),
			})
		}
		want := deriveTraits(routes, Patience{})
		if got := deriveTraits(rapid.Permutation(routes).Draw(t, "permutation"), Patience{}); got != want {
			t.Fatalf("%+v, and in another order %+v", want, got)
		}
		if want.MixedTargets && !want.Streams || want.BriefCalls && (!want.Calls || want.Streams) {
			t.Fatalf("%+v contradicts itself", want)
		}
	})
}
