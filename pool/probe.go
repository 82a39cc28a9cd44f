package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// probePatience is how long a due probe waits for a request of the lowest
	// tier that arrives, before a more urgent one is taken.
	probePatience = 10 * time.Second
	// probeArrivals is the recent peak rate from which a tier counts as
	// arriving, in requests a second.
	probeArrivals = 0.05
)

// scheduleProbes sends a straggler, and a server that counts as down, now and then
// one request of the lowest tier, to see whether it has recovered.
func (p *Pool) scheduleProbes() {
	for _, s := range p.order {
		if !p.up(s) || s == p.alone {
			continue
		}
		var w *waiter
		switch {
		case s.breaker.open:
			if p.now.Before(s.breaker.probeAt()) || s.probing() {
				continue
			}
			w = p.probe(s.breaker.probeAt(), breakerPatience)
		case p.sound && s.straggler && !s.overdue:
			if p.now.Before(s.probeAt) || len(s.running) > 0 {
				continue
			}
			w = p.probe(s.probeAt, probePatience)
		default:
			continue
		}
		if w == nil {
			return
		}
		p.grant(w, p.option(w, s))
	}
}

// probing tells whether a probe runs on a server that counts as down. What began
// there before may stay counted for long.
func (s *server) probing() bool {
	return slices.ContainsFunc(s.running, func(r *run) bool { return !r.since.Before(s.breaker.since) })
}

// probe picks the request to probe with, or nil; the probe was due at a time and
// waits for a request of the lowest tier for so long.
func (p *Pool) probe(due time.Time, patience time.Duration) *waiter {
	for t := request.MaxTiers - 1; t >= 0; t-- {
		lowest := request.Tier(t)
		if it := p.queue.Head(lowest, 0); it != nil {
			w := it.Value
			if p.moveAway(w) {
				return nil
			}
			return w
		}
		if p.arrivals[lowest].Peak(p.now) >= probeArrivals && p.now.Before(due.Add(patience)) {
			return nil
		}
	}
	return nil
}

// probed puts the next probe off.
func (p *Pool) probed(s *server) {
	s.probeWait = min(max(2*s.probeWait, probeMin), probeMax)
	s.probeAt = p.now.Add(s.probeWait)
}
