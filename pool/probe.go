package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// stragglerProbeWait is how long a due probe of a straggler waits for a request of
	// the lowest tier before it takes one of a higher tier.
	stragglerProbeWait = 10 * time.Second
	// probeMinArrivals is the recent peak rate, in requests per second, from which a tier
	// is expected to supply a probe.
	probeMinArrivals = 0.05
)

// scheduleProbes sends probes to stragglers and to servers with an open breaker: single
// requests of the lowest tier that show whether the server has recovered.
func (p *Pool) scheduleProbes() {
	for _, s := range p.sorted {
		if !p.acceptsNow(s) || s == p.isolation {
			continue
		}
		var w *waiter
		switch {
		case s.breaker.open:
			if p.now.Before(s.breaker.probeAt()) || s.isProbing() {
				continue
			}
			w = p.pickProbe(s, s.breaker.probeAt(), breakerProbeWait)
		case p.anyHealthy && s.straggler && !s.overdue:
			if p.now.Before(s.probeAt) || len(s.running) > 0 {
				continue
			}
			w = p.pickProbe(s, s.probeAt, stragglerProbeWait)
		default:
			continue
		}
		if w == nil {
			return
		}
		p.grant(w, p.predict(w, s))
	}
}

// isProbing reports whether a probe runs on a server with an open breaker. Runs that
// started before the breaker opened do not count; they may stay counted for long.
func (s *server) isProbing() bool {
	return slices.ContainsFunc(s.running, func(r *run) bool { return !r.grantedAt.Before(s.breaker.lastFailure) })
}

// pickProbe returns the request for a probe of a server, or nil. The probe is due at the given time
// and waits up to maxWait for a request of the lowest tier.
func (p *Pool) pickProbe(s *server, due time.Time, maxWait time.Duration) *waiter {
	for t := request.MaxTiers - 1; t >= 0; t-- {
		lowest := request.Tier(t)
		if it := p.firstEligible(lowest, tier.OnTime, func(w *waiter) bool { return w.mayRunOn(s) && !p.isClosedTo(w.Entry, s) }); it != nil {
			w := it.Value
			if p.divertSuspect(w) {
				return nil
			}
			return w
		}
		if p.arrivals[lowest].Peak(p.now) >= probeMinArrivals && p.now.Before(due.Add(maxWait)) {
			return nil
		}
	}
	return nil
}

// deferProbe doubles the time until the next probe of a straggler.
func (p *Pool) deferProbe(s *server) {
	s.probeBackoff = min(max(2*s.probeBackoff, stragglerBackoffMin), stragglerBackoffMax)
	s.probeAt = p.now.Add(s.probeBackoff)
}
