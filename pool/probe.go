package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// stragglerProbeWait is how long a due probe waits for a request of the lowest
	// tier that arrives, before a more urgent one is taken.
	stragglerProbeWait = 10 * time.Second
	// probeMinArrivals is the recent peak rate from which a tier counts as
	// arriving, in requests a second.
	probeMinArrivals = 0.05
)

// scheduleProbes sends a straggler, and a server that counts as down, now and then
// one request of the lowest tier, to see whether it has recovered.
func (p *Pool) scheduleProbes() {
	for _, s := range p.sorted {
		if !p.up(s) || s == p.isolation {
			continue
		}
		var w *waiter
		switch {
		case s.breaker.open:
			if p.now.Before(s.breaker.probeAt()) || s.isProbing() {
				continue
			}
			w = p.pickProbe(s.breaker.probeAt(), breakerProbeWait)
		case p.anyHealthy && s.straggler && !s.overdue:
			if p.now.Before(s.probeAt) || len(s.running) > 0 {
				continue
			}
			w = p.pickProbe(s.probeAt, stragglerProbeWait)
		default:
			continue
		}
		if w == nil {
			return
		}
		p.grant(w, p.predict(w, s))
	}
}

// isProbing tells whether a probe runs on a server that counts as down. What began
// there before may stay counted for long.
func (s *server) isProbing() bool {
	return slices.ContainsFunc(s.running, func(r *run) bool { return !r.grantedAt.Before(s.breaker.lastFailure) })
}

// pickProbe picks the request to probe with, or nil; the probe was due at a time and
// waits for a request of the lowest tier for so long.
func (p *Pool) pickProbe(due time.Time, maxWait time.Duration) *waiter {
	for t := request.MaxTiers - 1; t >= 0; t-- {
		lowest := request.Tier(t)
		if it := p.queue.Head(lowest, 0); it != nil {
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

// deferProbe puts the next probe off.
func (p *Pool) deferProbe(s *server) {
	s.probeBackoff = min(max(2*s.probeBackoff, stragglerBackoffMin), stragglerBackoffMax)
	s.probeAt = p.now.Add(s.probeBackoff)
}
