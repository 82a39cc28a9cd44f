package pool

import "time"

const (
	// zoneCostShare is the share of a request's first-token target by which a server in
	// another zone must be cheaper to be chosen.
	zoneCostShare = 0.1
	// maxExtraZoneRuns is how many more requests, for equal limits, a server in the entry's
	// zone may run than the cheapest one, so that a zone with few servers is not overloaded.
	maxExtraZoneRuns = 1.5
)

// choice is the cheapest of the options with the best grade.
type choice struct {
	option
	grade grade
	ok    bool
}

func (c *choice) consider(o option, g grade) {
	if other := (choice{option: o, grade: g, ok: true}); other.beats(*c) {
		*c = other
	}
}

// beats reports whether a choice ranks before another one, which may be empty.
func (c choice) beats(other choice) bool {
	return !other.ok || c.grade > other.grade || c.grade == other.grade && c.cost < other.cost
}

// preferredZone returns the zone whose servers are preferred for a request; empty means
// none.
func (p *Pool) preferredZone(w *waiter) string {
	if !p.cfg.Traits.PreferZone {
		return ""
	}
	return p.entries.zones[w.Entry]
}

// preferLocal returns the best option in the entry's zone in place of the best of all, if
// the preference outweighs the difference. The result has the cost of the best of all, so
// that a request is held for a server only if that beats every free one.
func (p *Pool) preferLocal(w *waiter, local, best choice) choice {
	if !local.ok || local.grade < best.grade || local.server == best.server ||
		p.costsMore(w, local.option, best.option) || p.missesMore(w, local, best) {
		return best
	}
	local.cost, local.diverted = best.cost, best.diverted
	return local
}

// costsMore reports whether an option costs more than another by more than the zone's
// worth. Load is compared in running requests, and the rest of the cost as time.
func (p *Pool) costsMore(w *waiter, o, other option) bool {
	if (o.server.load()-other.server.load())*float64(o.server.maxRunning) > maxExtraZoneRuns {
		return true
	}
	return o.cost-o.loadPart > other.cost-other.loadPart+p.zoneCost(w)
}

// missesMore reports whether a request would miss its deadline, or wait on account of the
// time between tokens, with a local option but not with another of the same grade.
func (p *Pool) missesMore(w *waiter, local, other choice) bool {
	switch local.grade {
	case tooLate:
		return p.endsLate(w, local.option) && !p.endsLate(w, other.option)
	case tooSlow:
		return p.worthWaiting(w, local.option)
	default:
		return false
	}
}

func (p *Pool) endsLate(w *waiter, o option) bool {
	return p.now.Add(p.runTime(w, o)).After(w.deadline)
}

// zoneCost is the cost of crossing zones. A request without a first-token target has that
// of the shortest target of the pool.
func (p *Pool) zoneCost(w *waiter) time.Duration {
	target := w.FirstTokenIn + w.Waited
	if w.FirstTokenIn == 0 || target <= 0 {
		target = p.shortestFirstTokenTarget()
	}
	return time.Duration(zoneCostShare * float64(target))
}

// extraZoneCost is the cost of moving a request from a server in its entry's zone to one
// in another zone.
func (p *Pool) extraZoneCost(w *waiter, from, to *server) time.Duration {
	zone := p.preferredZone(w)
	if zone == "" || from.info.AvailabilityZone != zone || to.info.AvailabilityZone == zone {
		return 0
	}
	return p.zoneCost(w)
}

// countZone counts a grant by whether its server is in the entry's zone. Grants between
// unknown zones are not counted.
func (p *Pool) countZone(w *waiter, s *server) {
	zone, x := p.entries.zones[w.Entry], &p.tally[w.Item.Tier]
	switch {
	case zone == "" || s.info.AvailabilityZone == "":
	case zone == s.info.AvailabilityZone:
		x.SameZone++
	default:
		x.OtherZone++
	}
}
