package pool

import "github.com/lycheekeel/lycheekeel/request"

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
		p.shed(w.Enqueue, request.ReasonNoServer)
	case len(p.runs) >= slots+p.cfg.MaxWaiting:
		p.shed(w.Enqueue, request.ReasonShed)
	default:
		p.grant(w, s)
	}
}

func (p *Pool) pickAtOnce() *server {
	if p.cfg.Policy == PolicyRoundRobin {
		return p.nextInTurn()
	}
	var best *server
	for _, s := range p.order {
		if s.up() && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

func (p *Pool) nextInTurn() *server {
	for range p.order {
		s := p.order[p.next%len(p.order)]
		p.next++
		if s.up() {
			return s
		}
	}
	return nil
}
