package route

import (
	"cmp"
	"slices"
	"time"
)

// Traits are what the scheduling of a service depends on, derived from its routes. Routes
// that need no key count only as stated.
type Traits struct {
	// Streams is set if a stream route needs a key. Calls is set if a route needs a key and
	// no route, public ones included, is a stream route.
	Streams, Calls bool
	// MixedTargets is set if the shortest first-event target of the streams of a priority is
	// at most half of that of the next more urgent priority: under strict priority, a queue
	// that the more urgent streams tolerate makes all streams of the less urgent one late.
	MixedTargets bool
	// BriefCalls is set if Calls is and no refused call has the time to wait twice.
	BriefCalls bool
	// PauseTarget is the shortest target for the longest gap between two events of a stream;
	// zero means no target. Patience is that of the callers of streams.
	PauseTarget time.Duration
	Patience    Patience
}

// Patience is the time without an event after which callers abandon a stream: the longest
// of Min, TargetFactor times the first-event target and PauseFactor times the target for
// the longest gap between events. The zero value means that they wait until the deadline.
type Patience struct {
	Min                       time.Duration
	TargetFactor, PauseFactor float64
}

const (
	// mixedTargetsRatio is the least ratio of the targets of adjacent priorities that are mixed.
	mixedTargetsRatio = 2
	// minRetryAfter is the shortest Retry-After of a refusal for lack of capacity.
	minRetryAfter = 500 * time.Millisecond
	// briefWaits is the number of waits of minRetryAfter for which a brief call has no time.
	briefWaits = 2
)

// deriveTraits derives the traits of a service from all its routes.
func deriveTraits(routes []*Route, patience Patience) Traits {
	keyed := filter(routes, func(r *Route) bool { return !r.Public })
	streams := filter(keyed, func(r *Route) bool { return r.Kind == Stream })
	t := Traits{Streams: len(streams) > 0}
	t.Calls = len(keyed) > 0 && !slices.ContainsFunc(routes, func(r *Route) bool { return r.Kind == Stream })
	t.BriefCalls = t.Calls && !slices.ContainsFunc(keyed, func(r *Route) bool { return !isBrief(r) })
	if t.Streams {
		t.MixedTargets = hasMixedTargets(streams)
		t.PauseTarget = shortestPauseTarget(streams)
		t.Patience = patience
	}
	return t
}

// hasMixedTargets implements Traits.MixedTargets. Routes without a target are ignored.
func hasMixedTargets(streams []*Route) bool {
	sorted := filter(streams, func(r *Route) bool { return r.LatencyTarget > 0 })
	slices.SortFunc(sorted, func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.LatencyTarget, b.LatencyTarget))
	})
	// The first route of each priority has its shortest target.
	shortest := slices.CompactFunc(sorted, func(a, b *Route) bool { return a.Tier == b.Tier })
	for i := 1; i < len(shortest); i++ {
		if mixedTargetsRatio*shortest[i].LatencyTarget <= shortest[i-1].LatencyTarget {
			return true
		}
	}
	return false
}

// shortestPauseTarget returns the shortest positive pause target, or zero.
func shortestPauseTarget(streams []*Route) time.Duration {
	shortest := time.Duration(0)
	for _, r := range streams {
		if r.PauseTarget > 0 && (shortest == 0 || r.PauseTarget < shortest) {
			shortest = r.PauseTarget
		}
	}
	return shortest
}

// isBrief reports whether a call that was refused twice can no longer meet its target.
func isBrief(r *Route) bool {
	return r.LatencyTarget > 0 && r.Timeout < briefWaits*minRetryAfter+r.LatencyTarget
}

// routesByService returns the routes that send requests to each service.
func routesByService(routes []Route) map[string][]*Route {
	out := map[string][]*Route{}
	for i := range routes {
		for _, t := range routes[i].Targets {
			if t.Weight > 0 {
				out[t.Service] = append(out[t.Service], &routes[i])
			}
		}
	}
	return out
}

func filter(routes []*Route, keep func(*Route) bool) []*Route {
	var out []*Route
	for _, r := range routes {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}
