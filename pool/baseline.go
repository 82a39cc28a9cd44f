package pool

import "github.com/lycheekeel/lycheekeel/request"

// The baselines handle the same events and commands as PolicyLycheekeel, with the same
// servers and queue limit, but route like simple load balancers. They ignore tiers and
// prefixes, and use each server's configured slots instead of an adaptive limit.

// dispatchesImmediately reports whether the policy has no queue of its own. Such a
// policy sends each request on arrival and leaves the queueing to the engines.
func (p *Pool) dispatchesImmediately() bool {
	return p.cfg.Policy == PolicyRoundRobin || p.cfg.Policy == PolicyLeastOutstanding
}

// dispatchImmediately grants or sheds an arriving request. The number of outstanding
// requests is limited to the number that other policies hold, running and waiting.
func (p *Pool) dispatchImmediately(w *waiter) {
	slots := 0
	for _, s := range p.sorted {
		slots += s.info.Slots
	}
	s := p.pickBaseline()
	switch {
	case s == nil:
		p.shed(&w.Enqueue, request.ReasonNoServer, retryAfterMin)
	case len(p.byGrant) >= slots+p.cfg.MaxWaiting:
		p.shed(&w.Enqueue, request.ReasonShed, retryAfterMin)
	default:
		p.grant(w, option{server: s})
	}
}

func (p *Pool) pickBaseline() *server {
	if p.cfg.Policy == PolicyRoundRobin {
		return p.nextRoundRobin()
	}
	return p.leastRunning(func(s *server) bool { return p.up(s) })
}

func (p *Pool) nextRoundRobin() *server {
	for range p.sorted {
		s := p.sorted[p.nextServer%len(p.sorted)]
		p.nextServer++
		if p.up(s) {
			return s
		}
	}
	return nil
}

func (p *Pool) leastRunning(eligible func(*server) bool) *server {
	var best *server
	for _, s := range p.sorted {
		if eligible(s) && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

// admitFIFO queues a request by age in a single tier, or sheds it.
func (p *Pool) admitFIFO(w *waiter) {
	if p.queue.Len() >= p.cfg.MaxWaiting {
		p.shed(&w.Enqueue, request.ReasonShed, retryAfterMin)
		return
	}
	w.Item.Tier, w.Item.Workspace = 0, ""
	w.Due = p.now.Add(-w.Waited)
	p.queueWaiter(w)
}

func (p *Pool) scheduleFIFO() {
	for it := p.queue.Head(0, 0); it != nil; it = p.queue.Head(0, 0) {
		s := p.leastRunning(func(s *server) bool { return p.up(s) && len(s.running) < s.info.Slots })
		if s == nil {
			return
		}
		p.grant(it.Value, option{server: s})
	}
}
