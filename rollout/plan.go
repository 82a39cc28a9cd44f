package rollout

import "time"

// Phase is the current phase of a rollout.
type Phase uint8

// The phases.
const (
	// PhaseCanary: a share of the requests are canaries.
	PhaseCanary Phase = iota
	// PhaseCutover: requests that would run beyond the stop of the stable servers go to the
	// new ones.
	PhaseCutover
	// PhasePromote: the stable servers get no more requests; the final state is being
	// written.
	PhasePromote
	// PhaseRollBack: the new version gets no more requests; the final state is being
	// written.
	PhaseRollBack
)

// String returns the phase's name for the log.
func (p Phase) String() string {
	return [...]string{"canary", "cutover", "promote", "roll back"}[min(p, PhaseRollBack)]
}

// Plan is how a daemon distributes its requests from now on.
type Plan struct {
	Phase Phase
	// CanaryShare is the fraction of requests that are canaries.
	CanaryShare float64
	// OpenAll is set if all servers of the new version are used, not only a few.
	OpenAll bool
	// StableStopIn is the time until the stable servers stop. It applies from PhaseCutover
	// on.
	StableStopIn time.Duration
	// SpikeIn is the time until all requests go to the new version for SpikeFor. If
	// SpikeFor is 0 there is no spike.
	SpikeIn, SpikeFor time.Duration
	Routes            map[string]RoutePlan
}

// RoutePlan is derived from the stable version's answers on a route.
type RoutePlan struct {
	Slow SlowThreshold
	// Lead is how long before the stable servers stop they get no more requests of the
	// route, because these would be cut off.
	Lead time.Duration
}

// AllToNew reports whether every request of a route goes to the new version, at the given
// time since the plan was made.
func (p *Plan) AllToNew(route string, since time.Duration) bool {
	switch p.Phase {
	case PhasePromote:
		return true
	case PhaseCutover:
		return p.StableStopIn-since <= p.Routes[route].Lead
	case PhaseCanary:
		return p.SpikeFor > 0 && since >= p.SpikeIn && since < p.SpikeIn+p.SpikeFor
	default:
		return false
	}
}

// HasCanaries reports whether a share of the requests are canaries.
func (p *Plan) HasCanaries() bool { return p.Phase == PhaseCanary || p.Phase == PhaseCutover }

// longestLead returns the longest lead of all routes.
func (p *Plan) longestLead() time.Duration {
	var longest time.Duration
	for _, r := range p.Routes {
		longest = max(longest, r.Lead)
	}
	return longest
}

// minCanaryServers is the minimum number of servers of the new version that get canaries,
// so that a single bad server does not decide about the version.
const minCanaryServers = 3

// CanaryServers returns how many servers of the new version get canaries before all are
// open. Each then has about the load of a stable server: if the canaries were spread over
// all servers, a version that is bad only under load would pass.
func CanaryServers(share float64, stable, new int) int {
	return min(new, max(minCanaryServers, int(share*float64(stable)+0.5)))
}
