package rollout

import "time"

// Phase is what a rollout does now.
type Phase uint8

// The phases.
const (
	// PhaseCanary: a share of the requests are canaries.
	PhaseCanary Phase = iota
	// PhaseCutover: requests that would outlast the stable servers go to the new ones.
	PhaseCutover
	// PhasePromote: the stable servers get nothing more; the outcome is being written.
	PhasePromote
	// PhaseRollBack: the new version gets nothing more; the outcome is being written.
	PhaseRollBack
)

// String returns the phase's name for the log.
func (p Phase) String() string {
	return [...]string{"canary", "cutover", "promote", "roll back"}[min(p, PhaseRollBack)]
}

// Plan is how a daemon divides its requests from now on.
type Plan struct {
	Phase Phase
	// CanaryShare of the requests are canaries.
	CanaryShare float64
	// OpenAll is set where all servers of the new version are used, not a few.
	OpenAll bool
	// StableStopIn is when the stable servers stop; it counts from PhaseCutover on.
	StableStopIn time.Duration
	// SpikeIn is when all requests go to the new version, for SpikeFor; 0: never.
	SpikeIn, SpikeFor time.Duration
	Routes            map[string]RoutePlan
}

// RoutePlan is what the stable version's answers tell of a route.
type RoutePlan struct {
	Slow SlowThreshold
	// Lead is how long before the stable servers stop a request must not be sent to
	// them any more: it would be cut.
	Lead time.Duration
}

// AllToNew tells whether every request of a route goes to the new version, so long after
// the plan was made.
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

// HasCanaries tells whether a share of the requests are canaries.
func (p *Plan) HasCanaries() bool { return p.Phase == PhaseCanary || p.Phase == PhaseCutover }

// longestLead returns the longest lead of any route.
func (p *Plan) longestLead() time.Duration {
	var longest time.Duration
	for _, r := range p.Routes {
		longest = max(longest, r.Lead)
	}
	return longest
}

// minCanaryServers servers of the new version get canaries at the least, so that one that is bad
// alone doesn't speak for the version.
const minCanaryServers = 3

// CanaryServers returns how many of the new version's servers get canaries while not all
// are open: so many that each has about the load of a stable one. A version that is bad
// under load alone would pass where a share of the requests is spread over all.
func CanaryServers(share float64, stable, new int) int {
	return min(new, max(minCanaryServers, int(share*float64(stable)+0.5)))
}
