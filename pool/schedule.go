package pool

import "github.com/lycheekeel/lycheekeel/request"

// schedule grants while a request waits and a slot is free.
func (p *Pool) schedule() {
	for p.queue.Len() > 0 {
		s := p.leastRunning()
		w := p.first()
		if s == nil || w == nil {
			return
		}
		p.drop(w)
		p.queue.Charge(&w.Item)
		p.grant(w, s)
	}
}

func (p *Pool) first() *waiter {
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		if p.queue.Waiting(t) > 0 {
			it := p.queue.Head(t, 0)
			if it == nil {
				it = p.queue.Head(t, 1)
			}
			return it.Value
		}
	}
	return nil
}

func (p *Pool) leastRunning() *server {
	var best *server
	for _, s := range p.order {
		if s.free() && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

func (p *Pool) grant(w *waiter, s *server) {
	p.seq++
	r := &run{id: GrantID{Epoch: p.cfg.Epoch, Seq: p.seq}, request: w.Request, entry: w.Entry, server: s, waiter: w, since: p.now}
	p.addRun(r)
	p.emit(Grant{Request: w.Request, Entry: w.Entry, Grant: r.id, Server: s.info.Name})
}
