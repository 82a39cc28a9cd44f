package rollout

import "time"

// Phase is what a rollout does now.
type Phase uint8

// The phases.
const (
	// Trying: a share of the requests tries the new version.
	Trying Phase = iota
	// HandingOver: requests that would outlast the old servers go to the new ones.
	HandingOver
	// Taking: the old servers get nothing more; the outcome is being written.
	Taking
	// TakingBack: the new version gets nothing more; the outcome is being written.
	TakingBack
)

// String returns the phase's name for the log.
func (p Phase) String() string {
	return [...]string{"trying", "handing over", "taking", "taking back"}[min(p, TakingBack)]
}

// Plan is how a daemon divides its requests from now on.
type Plan struct {
	Phase Phase
	// Share of the requests tries the new version.
	Share float64
	// Open is set where all servers of the new version are used, not a few.
	Open bool
	// StopIn is when the old servers stop; it counts from HandingOver on.
	StopIn time.Duration
	// SurgeIn is when all requests go to the new version, for SurgeFor; 0: never.
	SurgeIn, SurgeFor time.Duration
	Routes            map[string]RoutePlan
}

// RoutePlan is what the old versions' answers tell of a route.
type RoutePlan struct {
	Limit Limit
	// Lead is how long before the old servers stop a request must not be sent to
	// them any more: it would be cut.
	Lead time.Duration
}

// ToTrial tells whether every request of a route goes to the new version, so long
// after the plan was made.
func (p *Plan) ToTrial(route string, since time.Duration) bool {
	switch p.Phase {
	case Taking:
		return true
	case HandingOver:
		return p.StopIn-since <= p.Routes[route].Lead
	case Trying:
		return p.SurgeFor > 0 && since >= p.SurgeIn && since < p.SurgeIn+p.SurgeFor
	default:
		return false
	}
}

// longest returns the longest lead of any route.
func (p *Plan) longest() time.Duration {
	var longest time.Duration
	for _, r := range p.Routes {
		longest = max(longest, r.Lead)
	}
	return longest
}

// SharesTrial tells whether a share of the requests tries the new version.
func (p *Plan) SharesTrial() bool { return p.Phase == Trying || p.Phase == HandingOver }

// fewest servers of the new version are tried at the least, so that one that is bad
// alone doesn't speak for the version.
const fewest = 3

// Tried returns how many of the new version's servers are tried while not all are
// open: so many that each has about the load of an old one. A version that is bad
// under load alone would pass where a share of the requests is spread over all.
func Tried(share float64, old, trial int) int {
	return min(trial, max(fewest, int(share*float64(old)+0.5)))
}
