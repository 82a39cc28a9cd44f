package rollout

import "time"

// The spike exposes the new version to the stable one's usual load per server, if it has so
// few servers that its share of the requests does not.
const (
	// spikeAtShare is the part of the time until the stable servers stop after which all
	// requests go to the new version for spikeDuration.
	spikeAtShare  = 0.5
	spikeDuration = 400 * time.Millisecond
	// spikeNotice is how long before the spike the daemons are told of it.
	spikeNotice = 1500 * time.Millisecond
	// minCanaryLoad is the load of a canary server, relative to a stable one, below which a
	// spike is made.
	minCanaryLoad = 0.5
)

// coldServersAfter is the fraction of the rollout's duration after which servers get
// canaries although they are still slow from their start: a version without any answer
// cannot be promoted.
const coldServersAfter = 0.4

// leadStep is the resolution of the planned lead.
const leadStep = 50 * time.Millisecond

// plan returns how the daemons distribute their requests.
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
	// minRateTime is how long the requests must have been counted before their rate is used
	// to spend the slack on canaries.
	minRateTime = 1500 * time.Millisecond
	// maxCanaryShare bounds the fraction of canaries, so that the stable servers stay in
	// use.
	maxCanaryShare = 0.3
	// canaryBudgetShare is the part of the remaining exposure that is spent on canaries. It
	// is below 1 because reports lag.
	canaryBudgetShare = 0.8
)

// canaryShare returns the fraction of requests that are canaries: what the bound leaves
// after the cutover.
//
// With a fixed part of the bound's share, a service with ten requests a second would show
// six of them to the new version in twelve seconds, and a version that fails half of them
// would be promoted.
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

// planRoutes fills in the plans of the routes, and returns the longest lead.
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

// maxCanaryReserveShare is the largest part that is kept for canaries of what the bound
// leaves after the stop of the stable servers. The rest is for the cutover.
const maxCanaryReserveShare = 0.6

// canaryReserve returns the number of requests that are kept for canaries until the
// cutover.
//
// Without it, a service whose answers take seconds would plan its cutover with all that the
// bound leaves. There would be no canaries, and a bad version would be promoted unnoticed.
func (d *Decider) canaryReserve(routes map[string]RoutePlan) float64 {
	usual := d.bounds.CanaryShare() * d.requestRate(allRoutes) * max(0, d.stopAt().Sub(d.now)).Seconds()
	return max(0, min(usual, maxCanaryReserveShare*(d.remainingExposure()-d.cutoverExposure(routes, 0))))
}

// cutoverExposure returns the number of requests that the new version gets, beyond its
// share, from the cutover to the deadline if no route's lead is longer than maxLead.
//
// If the cutover began as early as the longest answers need, a version that turns bad under
// the whole traffic would have got several times its share of the requests before it is
// rolled back. Instead, runs on stable servers are cut when these stop, and are sent again
// if they may be.
func (d *Decider) cutoverExposure(routes map[string]RoutePlan, maxLead time.Duration) float64 {
	n := 0.0
	for name, r := range routes {
		n += d.requestRate(name) * (min(r.Lead, maxLead) + d.stopToDeadline()).Seconds()
	}
	return n
}

// plannedBoundShare is the part of the bound that is used for planning. It is below 1
// because the request rate until the deadline is an estimate, and requests in flight are
// not counted yet.
const plannedBoundShare = 0.95

// remainingExposure returns how many more requests the new version may get until the
// deadline.
func (d *Decider) remainingExposure() float64 {
	canary, _ := d.totals(allRoutes)
	bound := d.bounds.Share*d.requestRate(allRoutes)*d.rollout.Duration.Seconds() + d.bounds.Slack
	return plannedBoundShare*bound - float64(canary.Runs)
}

// requestRate returns the requests per second of a route, or of allRoutes, on both
// versions.
func (d *Decider) requestRate(route string) float64 {
	elapsed := d.now.Sub(d.knownAt).Seconds()
	if elapsed <= 0 {
		return 0
	}
	canary, stable := d.totals(route)
	return float64(canary.Runs+stable.Runs) / elapsed
}

// stopToDeadline returns how long before the deadline all requests go to the new version.
func (d *Decider) stopToDeadline() time.Duration { return d.deadline().Sub(d.stopAt()) }

// planSpike plans a time at which the new version gets all requests, if its servers would
// otherwise have less than the usual load, and if the bound allows it.
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
