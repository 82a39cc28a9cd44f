package rollout

import "time"

// How the new version is brought to the old ones' usual load where it has so few
// servers that its share of the requests does not.
const (
	// surgeAfter is the part of the time until the old servers stop after which all
	// requests go to the new version for surgeFor.
	surgeAfter = 0.5
	surgeFor   = 400 * time.Millisecond
	// surgeKnown is how long before it the daemons are told.
	surgeKnown = 1500 * time.Millisecond
	// surgeBelow is the part of an old server's load below which one is made.
	surgeBelow = 0.5
)

// coldTriedAfter is the part of the order's duration after which servers are tried that
// are still slow from their start: a version that was never tried can't be taken.
const coldTriedAfter = 0.4

// leadStep is the grain in which the hand-over is planned.
const leadStep = 50 * time.Millisecond

// plan returns how the daemons divide their requests.
func (d *Decider) plan(f Facts) Plan {
	p := Plan{StopIn: d.stopAt().Sub(d.now), Routes: map[string]RoutePlan{}}
	switch d.verdict.State {
	case RolledBack:
		p.Phase = TakingBack
		return p
	case Succeeded:
		p.Phase, p.Open = Taking, true
		return p
	}
	longest := d.routes(&p)
	late := d.now.Sub(d.known) >= time.Duration(coldTriedAfter*float64(d.order.Duration))
	ready := f.OldServers > 0 && (f.WarmServers > 0 || f.NewServers > 0 && late)
	if ready {
		p.Share = d.share(&p)
		d.surge(&p, f)
	}
	able := ready && float64(f.NewSlots) >= leastCapacity*float64(f.OldSlots) && d.quorum(f)
	if trial, _ := d.totals(""); able && trial.Runs > trial.Failed+trial.Broken {
		p.Open = p.StopIn <= longest+opensBefore
		if p.Open {
			p.Phase, d.opened = HandingOver, true
		}
	}
	return p
}

const (
	// rateKnownAfter is from when on the rate of the requests is known well enough to
	// spend the slack on trials.
	rateKnownAfter = 1500 * time.Millisecond
	// mostShare bounds the trials' part of the requests: the old servers stay in use.
	mostShare = 0.3
	// slackShare is the part of what the bound leaves that is spent on them: reports lag.
	slackShare = 0.8
)

// share returns the part of the requests that tries the new version: what the bound
// leaves after the hand-over.
//
// What goes wrong with a part of the bound's share alone: a service with ten requests a
// second shows six of them to the new version in twelve seconds, and one that fails half
// of them is taken.
func (d *Decider) share(p *Plan) float64 {
	usual := d.bounds.TrialShare()
	left := d.stopAt().Sub(d.now)
	rate := d.rate("")
	if d.now.Sub(d.known) < rateKnownAfter || left <= 0 || rate == 0 {
		return usual
	}
	able := slackShare * (d.left() - d.exposedBy(p.Routes, p.longest())) / (rate * left.Seconds())
	return min(max(able, 0), max(usual, mostShare))
}

// routes fills in what the old versions' answers tell of the routes, and returns the
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

// trialPart is the part, of what the bound leaves after the old servers' stop, that is
// kept for trials at the most; the rest is for the hand-over.
const trialPart = 0.6

// reserved returns how many requests are kept for trials until the hand-over.
//
// What goes wrong without it: a service with answers of seconds plans to use all that the
// bound leaves for its hand-over, nothing is tried, and a bad version is taken unseen.
func (d *Decider) reserved(routes map[string]RoutePlan) float64 {
	usual := d.bounds.TrialShare() * d.rate("") * max(0, d.stopAt().Sub(d.now)).Seconds()
	return max(0, min(usual, trialPart*(d.left()-d.exposedBy(routes, 0))))
}

// exposedBy returns how many requests the new version gets, beyond its share, from
// the hand-over to the deadline, where no route's lead is longer than most.
//
// What goes wrong where the hand-over begins as early as the longest answers need: a
// version that turns bad under the whole traffic has had several times its part of the
// requests by the time it is taken back. What still runs on old servers when they stop
// is cut instead, and sent again where it may be.
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
	trial, _ := d.totals("")
	bound := d.bounds.Share*d.rate("")*d.order.Duration.Seconds() + d.bounds.Slack
	return boundShare*bound - float64(trial.Runs)
}

// rate returns the requests a second of a route, on both versions; empty: of all.
func (d *Decider) rate(route string) float64 {
	elapsed := d.now.Sub(d.known).Seconds()
	if elapsed <= 0 {
		return 0
	}
	trial, old := d.totals(route)
	return float64(trial.Runs+old.Runs) / elapsed
}

// afterStop is how long requests go to the new version alone before the deadline.
func (d *Decider) afterStop() time.Duration { return d.deadline().Sub(d.stopAt()) }

// surge plans a moment at which the new version gets every request, where its servers
// would otherwise see less than the usual load, and as far as the bound allows it.
func (d *Decider) surge(p *Plan, f Facts) {
	usual := float64(Tried(p.Share, f.OldServers, f.NewServers))
	if p.Share*float64(f.OldServers) >= surgeBelow*usual {
		return
	}
	at := d.known.Add(time.Duration(surgeAfter * float64(d.stopAt().Sub(d.known))))
	in := at.Sub(d.now)
	if !d.surges && in > 0 && in <= surgeKnown {
		needed := d.exposedBy(p.Routes, p.longest()) + d.rate("")*surgeFor.Seconds()
		d.surges = needed <= d.left()
	}
	if d.surges && in > -surgeFor {
		p.SurgeIn, p.SurgeFor = in, surgeFor
	}
}
