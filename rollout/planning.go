package rollout

import "time"

// How the new version is brought to the stable one's usual load where it has so few
// servers that its share of the requests does not.
const (
	// spikeAfter is the part of the time until the stable servers stop after which all
	// requests go to the new version for spikeFor.
	spikeAfter = 0.5
	spikeFor   = 400 * time.Millisecond
	// spikeKnown is how long before it the daemons are told.
	spikeKnown = 1500 * time.Millisecond
	// spikeBelow is the part of a stable server's load below which one is made.
	spikeBelow = 0.5
)

// coldUsedAfter is the part of the rollout's duration after which servers get canaries that
// are still slow from their start: a version without any answer can't be promoted.
const coldUsedAfter = 0.4

// leadStep is the grain in which the cutover is planned.
const leadStep = 50 * time.Millisecond

// plan returns how the daemons divide their requests.
func (d *Decider) plan(f Facts) Plan {
	p := Plan{StopIn: d.stopAt().Sub(d.now), Routes: map[string]RoutePlan{}}
	switch d.decision.State {
	case RolledBack:
		p.Phase = PhaseRollBack
		return p
	case Succeeded:
		p.Phase, p.Open = PhasePromote, true
		return p
	}
	longest := d.routes(&p)
	late := d.now.Sub(d.known) >= time.Duration(coldUsedAfter*float64(d.rollout.Duration))
	ready := f.StableServers > 0 && (f.WarmServers > 0 || f.NewServers > 0 && late)
	if ready {
		p.Share = d.share(&p)
		d.spike(&p, f)
	}
	able := ready && float64(f.NewSlots) >= leastCapacity*float64(f.StableSlots) && d.quorum(f)
	if canary, _ := d.totals(allRoutes); able && canary.Runs > canary.Failed+canary.Broken {
		p.Open = p.StopIn <= longest+opensBefore
		if p.Open {
			p.Phase, d.cutover = PhaseCutover, true
		}
	}
	return p
}

const (
	// rateKnownAfter is from when on the rate of the requests is known well enough to
	// spend the slack on canaries.
	rateKnownAfter = 1500 * time.Millisecond
	// mostShare bounds the canaries' part of the requests: the stable servers stay in use.
	mostShare = 0.3
	// slackShare is the part of what the bound leaves that is spent on them: reports lag.
	slackShare = 0.8
)

// share returns the part of the requests that are canaries: what the bound leaves after the
// cutover.
//
// What goes wrong with a part of the bound's share alone: a service with ten requests a
// second shows six of them to the new version in twelve seconds, and one that fails half
// of them is promoted.
func (d *Decider) share(p *Plan) float64 {
	usual := d.bounds.CanaryShare()
	left := d.stopAt().Sub(d.now)
	rate := d.rate(allRoutes)
	if d.now.Sub(d.known) < rateKnownAfter || left <= 0 || rate == 0 {
		return usual
	}
	able := slackShare * (d.left() - d.exposedBy(p.Routes, p.longest())) / (rate * left.Seconds())
	return min(max(able, 0), max(usual, mostShare))
}

// routes fills in what the stable version's answers tell of the routes, and returns the
// longest lead.
func (d *Decider) routes(p *Plan) time.Duration {
	var longest time.Duration
	for key, c := range d.cells {
		if key.Server != "" {
			continue
		}
		r := RoutePlan{Limit: Limit{First: slowAbove(c.First), Pace: slowAbove(c.Pace)}}
		if whole := c.Whole.histogram(); whole.TotalCount() > 0 {
			r.Lead = time.Duration(whole.ValueAtQuantile(leadQuantile)) * time.Microsecond
		}
		p.Routes[key.Route] = r
		longest = max(longest, r.Lead)
	}
	budget := d.left() - d.reserved(p.Routes)
	for longest > 0 && d.exposedBy(p.Routes, longest) > budget {
		longest = max(0, longest-leadStep)
	}
	for name, r := range p.Routes {
		r.Lead = min(r.Lead, longest)
		p.Routes[name] = r
	}
	return longest
}

// canaryPart is the part, of what the bound leaves after the stable servers' stop, that is
// kept for canaries at the most; the rest is for the cutover.
const canaryPart = 0.6

// reserved returns how many requests are kept for canaries until the cutover.
//
// What goes wrong without it: a service with answers of seconds plans to use all that the
// bound leaves for its cutover, there are no canaries, and a bad version is promoted unseen.
func (d *Decider) reserved(routes map[string]RoutePlan) float64 {
	usual := d.bounds.CanaryShare() * d.rate(allRoutes) * max(0, d.stopAt().Sub(d.now)).Seconds()
	return max(0, min(usual, canaryPart*(d.left()-d.exposedBy(routes, 0))))
}

// exposedBy returns how many requests the new version gets, beyond its share, from
// the cutover to the deadline, where no route's lead is longer than most.
//
// What goes wrong where the cutover begins as early as the longest answers need: a version
// that turns bad under the whole traffic has had several times its part of the requests by
// the time it is rolled back. What still runs on stable servers when they stop is cut
// instead, and sent again where it may be.
func (d *Decider) exposedBy(routes map[string]RoutePlan, most time.Duration) float64 {
	n := 0.0
	for name, r := range routes {
		n += d.rate(name) * (min(r.Lead, most) + d.afterStop()).Seconds()
	}
	return n
}

// boundShare is the part of the bound that is planned with: the rate of the requests
// until the deadline is only expected, and what is under way is not counted yet.
const boundShare = 0.95

// left returns how many requests more the new version may get until the deadline.
func (d *Decider) left() float64 {
	canary, _ := d.totals(allRoutes)
	bound := d.bounds.Share*d.rate(allRoutes)*d.rollout.Duration.Seconds() + d.bounds.Slack
	return boundShare*bound - float64(canary.Runs)
}

// rate returns the requests a second of a route, on both versions; empty: of all.
func (d *Decider) rate(route string) float64 {
	elapsed := d.now.Sub(d.known).Seconds()
	if elapsed <= 0 {
		return 0
	}
	canary, stable := d.totals(route)
	return float64(canary.Runs+stable.Runs) / elapsed
}

// afterStop is how long requests go to the new version alone before the deadline.
func (d *Decider) afterStop() time.Duration { return d.deadline().Sub(d.stopAt()) }

// spike plans a moment at which the new version gets every request, where its servers
// would otherwise see less than the usual load, and as far as the bound allows it.
func (d *Decider) spike(p *Plan, f Facts) {
	usual := float64(CanaryServers(p.Share, f.StableServers, f.NewServers))
	if p.Share*float64(f.StableServers) >= spikeBelow*usual {
		return
	}
	at := d.known.Add(time.Duration(spikeAfter * float64(d.stopAt().Sub(d.known))))
	in := at.Sub(d.now)
	if !d.spikes && in > 0 && in <= spikeKnown {
		needed := d.exposedBy(p.Routes, p.longest()) + d.rate(allRoutes)*spikeFor.Seconds()
		d.spikes = needed <= d.left()
	}
	if d.spikes && in > -spikeFor {
		p.SpikeIn, p.SpikeFor = in, spikeFor
	}
}
