package rollout

import "time"

// How the new version is brought to the stable one's usual load where it has so few
// servers that its share of the requests does not.
const (
	// spikeAtShare is the part of the time until the stable servers stop after which all
	// requests go to the new version for spikeDuration.
	spikeAtShare  = 0.5
	spikeDuration = 400 * time.Millisecond
	// spikeNotice is how long before it the daemons are told.
	spikeNotice = 1500 * time.Millisecond
	// minCanaryLoad is the part of a stable server's load below which one is made.
	minCanaryLoad = 0.5
)

// coldServersAfter is the part of the rollout's duration after which servers get canaries that
// are still slow from their start: a version without any answer can't be promoted.
const coldServersAfter = 0.4

// leadStep is the grain in which the cutover is planned.
const leadStep = 50 * time.Millisecond

// plan returns how the daemons divide their requests.
func (d *Decider) plan(s ServiceStatus) Plan {
	p := Plan{StableStopIn: d.stopAt().Sub(d.now), Routes: map[string]RoutePlan{}}
	switch d.decision.State {
	case RolledBack:
		p.Phase = PhaseRollBack
		return p
	case Succeeded:
		p.Phase, p.OpenAll = PhasePromote, true
		return p
	}
	longest := d.planRoutes(&p)
	late := d.now.Sub(d.knownAt) >= time.Duration(coldServersAfter*float64(d.rollout.Duration))
	ready := s.StableServers > 0 && (s.WarmServers > 0 || s.NewServers > 0 && late)
	if ready {
		p.CanaryShare = d.canaryShare(&p)
		d.planSpike(&p, s)
	}
	allowed := ready && float64(s.NewSlots) >= minCapacityRatio*float64(s.StableSlots) && d.quorum(s)
	if canary, _ := d.totals(allRoutes); allowed && canary.Runs > canary.Failed+canary.Broken {
		p.OpenAll = p.StableStopIn <= longest+openLead
		if p.OpenAll {
			p.Phase, d.cutoverBegun = PhaseCutover, true
		}
	}
	return p
}

const (
	// minRateTime is from when on the rate of the requests is known well enough to
	// spend the slack on canaries.
	minRateTime = 1500 * time.Millisecond
	// maxCanaryShare bounds the canaries' part of the requests: the stable servers stay in use.
	maxCanaryShare = 0.3
	// canaryBudgetShare is the part of what the bound leaves that is spent on them: reports lag.
	canaryBudgetShare = 0.8
)

// canaryShare returns the part of the requests that are canaries: what the bound leaves after the
// cutover.
//
// What goes wrong with a part of the bound's share alone: a service with ten requests a
// second shows six of them to the new version in twelve seconds, and one that fails half
// of them is promoted.
func (d *Decider) canaryShare(p *Plan) float64 {
	usual := d.bounds.CanaryShare()
	left := d.stopAt().Sub(d.now)
	rate := d.requestRate(allRoutes)
	if d.now.Sub(d.knownAt) < minRateTime || left <= 0 || rate == 0 {
		return usual
	}
	allowed := canaryBudgetShare * (d.remainingExposure() - d.cutoverExposure(p.Routes, p.longestLead())) / (rate * left.Seconds())
	return min(max(allowed, 0), max(usual, maxCanaryShare))
}

// planRoutes fills in what the stable version's answers tell of the routes, and returns the
// longest lead.
func (d *Decider) planRoutes(p *Plan) time.Duration {
	var longest time.Duration
	for key, c := range d.cells {
		if key.Server != "" {
			continue
		}
		r := RoutePlan{Slow: SlowThreshold{FirstEvent: slowThreshold(c.FirstEvent), PerToken: slowThreshold(c.PerToken)}}
		if times := c.Total.histogram(); times.TotalCount() > 0 {
			r.Lead = time.Duration(times.ValueAtQuantile(leadPercentile)) * time.Microsecond
		}
		p.Routes[key.Route] = r
		longest = max(longest, r.Lead)
	}
	budget := d.remainingExposure() - d.canaryReserve(p.Routes)
	for longest > 0 && d.cutoverExposure(p.Routes, longest) > budget {
		longest = max(0, longest-leadStep)
	}
	for name, r := range p.Routes {
		r.Lead = min(r.Lead, longest)
		p.Routes[name] = r
	}
	return longest
}

// maxCanaryReserveShare is the part, of what the bound leaves after the stable servers' stop, that is
// kept for canaries at the most; the rest is for the cutover.
const maxCanaryReserveShare = 0.6

// canaryReserve returns how many requests are kept for canaries until the cutover.
//
// What goes wrong without it: a service with answers of seconds plans to use all that the
// bound leaves for its cutover, there are no canaries, and a bad version is promoted unseen.
func (d *Decider) canaryReserve(routes map[string]RoutePlan) float64 {
	usual := d.bounds.CanaryShare() * d.requestRate(allRoutes) * max(0, d.stopAt().Sub(d.now)).Seconds()
	return max(0, min(usual, maxCanaryReserveShare*(d.remainingExposure()-d.cutoverExposure(routes, 0))))
}

// cutoverExposure returns how many requests the new version gets, beyond its share, from
// the cutover to the deadline, where no route's lead is longer than most.
//
// What goes wrong where the cutover begins as early as the longest answers need: a version
// that turns bad under the whole traffic has had several times its part of the requests by
// the time it is rolled back. What still runs on stable servers when they stop is cut
// instead, and sent again where it may be.
func (d *Decider) cutoverExposure(routes map[string]RoutePlan, maxLead time.Duration) float64 {
	n := 0.0
	for name, r := range routes {
		n += d.requestRate(name) * (min(r.Lead, maxLead) + d.stopToDeadline()).Seconds()
	}
	return n
}

// plannedBoundShare is the part of the bound that is planned with: the rate of the requests
// until the deadline is only expected, and what is under way is not counted yet.
const plannedBoundShare = 0.95

// remainingExposure returns how many requests more the new version may get until the deadline.
func (d *Decider) remainingExposure() float64 {
	canary, _ := d.totals(allRoutes)
	bound := d.bounds.Share*d.requestRate(allRoutes)*d.rollout.Duration.Seconds() + d.bounds.Slack
	return plannedBoundShare*bound - float64(canary.Runs)
}

// requestRate returns the requests a second of a route, on both versions; empty: of all.
func (d *Decider) requestRate(route string) float64 {
	elapsed := d.now.Sub(d.knownAt).Seconds()
	if elapsed <= 0 {
		return 0
	}
	canary, stable := d.totals(route)
	return float64(canary.Runs+stable.Runs) / elapsed
}

// stopToDeadline is how long requests go to the new version alone before the deadline.
func (d *Decider) stopToDeadline() time.Duration { return d.deadline().Sub(d.stopAt()) }

// planSpike plans a moment at which the new version gets every request, where its servers
// would otherwise see less than the usual load, and as far as the bound allows it.
func (d *Decider) planSpike(p *Plan, s ServiceStatus) {
	usual := float64(CanaryServers(p.CanaryShare, s.StableServers, s.NewServers))
	if p.CanaryShare*float64(s.StableServers) >= minCanaryLoad*usual {
		return
	}
	at := d.knownAt.Add(time.Duration(spikeAtShare * float64(d.stopAt().Sub(d.knownAt))))
	in := at.Sub(d.now)
	if !d.spikePlanned && in > 0 && in <= spikeNotice {
		needed := d.cutoverExposure(p.Routes, p.longestLead()) + d.requestRate(allRoutes)*spikeDuration.Seconds()
		d.spikePlanned = needed <= d.remainingExposure()
	}
	if d.spikePlanned && in > -spikeDuration {
		p.SpikeIn, p.SpikeFor = in, spikeDuration
	}
}
