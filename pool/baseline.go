package pool

import "github.com/lycheekeel/lycheekeel/request"

// The baselines go through the same events and commands as the real policy,
// with the same servers and bounds, and do what plain routers do. They know
// neither tiers nor prefixes, and their limit is each server's slots.

// dispatchesAtOnce reports whether the policy has no queue of its own: such
// routers send each request on as it comes and leave the waiting to the
// engines.
func (p *Pool) dispatchesAtOnce() bool {
	return p.cfg.Policy == PolicyRoundRobin || p.cfg.Policy == PolicyLeastOutstanding
}

// dispatchAtOnce grants or sheds an arriving request. What is outstanding is
// bounded by what the other policies hold, running and waiting.
func (p *Pool) dispatchAtOnce(w *waiter) {
	slots := 0
	for _, s := range p.order {
		slots += s.info.Slots
	}
	s := p.pickAtOnce()
	switch {
	case s == nil:
		p.shed(&w.Enqueue, request.ReasonNoServer, retryMin)
	case len(p.byGrant) >= slots+p.cfg.MaxWaiting:
		p.shed(&w.Enqueue, request.ReasonShed, retryMin)
	default:
		p.grant(w, option{server: s})
	}
}

func (p *Pool) pickAtOnce() *server {
	if p.cfg.Policy == PolicyRoundRobin {
		return p.nextInTurn()
	}
	return p.leastRunning(func(s *server) bool { return p.up(s) })
}

func (p *Pool) nextInTurn() *server {
	for range p.order {
		s := p.order[p.next%len(p.order)]
		p.next++
		if p.up(s) {
			return s
		}
	}
	return nil
}

func (p *Pool) leastRunning(which func(*server) bool) *server {
	var best *server
	for _, s := range p.order {
		if which(s) && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

// admitPlain queues a request in order of age, with no tier, or sheds it.
func (p *Pool) admitPlain(w *waiter) {
	if p.queue.Len() >= p.cfg.MaxWaiting {
		p.shed(&w.Enqueue, request.ReasonShed, retryMin)
		return
	}
	w.Item.Tier, w.Item.Workspace = 0, ""
	w.Due = p.now.Add(-w.Waited)
	p.push(w)
}

func (p *Pool) schedulePlain() {
	for it := p.queue.Head(0, 0); it != nil; it = p.queue.Head(0, 0) {
		s := p.leastRunning(func(s *server) bool { return p.up(s) && len(s.running) < s.info.Slots })
		if s == nil {
			return
		}
		p.grant(it.Value, option{server: s})
	}
}
