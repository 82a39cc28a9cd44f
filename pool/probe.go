package pool

import (
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

// scheduleProbes sends a straggler, now and then, one request of the lowest
// tier, to see whether it has recovered.
func (p *Pool) scheduleProbes() {
	if !p.sound {
		return
	}
	for _, s := range p.order {
		if !s.straggler || s.overdue || !p.up(s) || s == p.alone || len(s.running) > 0 || p.now.Before(s.probeAt) {
			continue
		}
		w := p.probe(s)
		if w == nil {
			return
		}
		p.grant(w, p.option(w, s))
	}
}

// probe picks the request to probe with, or nil.
func (p *Pool) probe(s *server) *waiter {
	for t := request.MaxTiers - 1; t >= 0; t-- {
		lowest := request.Tier(t)
		if it := p.queue.Head(lowest, 0); it != nil {
			w := it.Value
			if p.moveAway(w) {
				return nil
			}
			return w
		}
		if p.arrivals[lowest].Peak(p.now) >= probeArrivals && p.now.Before(s.probeAt.Add(probePatience)) {
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
