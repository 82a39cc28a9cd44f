package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/headroom"
	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// kvFull is the part of a measured KV capacity that is used.
	kvFull = 0.95
	// headroomSlack is the part of a first-token target in which a request of
	// a burst should find a slot.
	headroomSlack = 0.4
	// unknownService is assumed, in seconds, where nothing has ended yet.
	unknownService = 1.0
	// unknown marks a rate that has to be worked out.
	unknown = -1
)

// limit returns how many requests may run on a server now.
func (p *Pool) limit(s *server) int {
	n := min(limit.Slots(s.requests), limit.Slots(s.slotted))
	if s.slots > 0 {
		n = min(n, s.slots)
	}
	if s.straggler && p.sound || s.breaker.open {
		n = 1 // the probe
	}
	return p.entries.share(max(1, n))
}

// refresh works out, once for an event, which servers may get grants and how
// many requests each may run.
func (p *Pool) refresh() {
	p.sound, p.freed = false, unknown
	for _, s := range p.order {
		s.ready = p.up(s) && !s.breaker.open
		if s.ready && !s.straggler && !s.overdue {
			p.sound = true
		}
	}
	for _, s := range p.order {
		s.most = p.limit(s)
	}
}

// usable returns the servers with a slot free, and how many slots are free on
// all of them. Stragglers and servers with an overdue first token only serve
// where no server is sound; a straggler gets its probes by scheduleProbes.
func (p *Pool) usable() ([]*server, int) {
	p.free = p.free[:0]
	slots := 0
	for _, s := range p.order {
		left := s.most - len(s.running)
		if left <= 0 || !s.ready || s == p.alone || p.sound && (s.straggler || s.overdue) {
			continue
		}
		slots += left
		p.free = append(p.free, s)
	}
	return p.free, slots
}

// fits tells whether a server's KV memory has room for so many more tokens.
// An idle server always has: what is too large for it runs alone.
func (s *server) fits(tokens int) bool {
	if len(s.running) == 0 {
		return true
	}
	if s.kv > 0 && float64(s.tokens+tokens) > kvFull*s.kv {
		return false
	}
	return float64(s.tokens+tokens) <= kiloToken*s.kilo.Limit()
}

// reserve returns how many slots a tier leaves free for those above it.
func (p *Pool) reserve(t request.Tier) int {
	if t == 0 {
		return 0
	}
	freed, all := p.freedPerSecond()
	need := 0
	for higher := request.Tier(0); higher < t; higher++ {
		slack := time.Duration(headroomSlack * float64(p.targets[higher]))
		need += headroom.Reserve(p.arrivals[higher].Peak(p.now), freed, slack)
	}
	return min(need, int(p.cfg.Headroom*float64(all)))
}

// freedPerSecond returns how many slots come free a second when all are in
// use, and how many there are.
func (p *Pool) freedPerSecond() (float64, int) {
	if p.freed != unknown {
		return p.freed, p.slots
	}
	p.freed, p.slots = 0, 0
	for _, s := range p.order {
		if !s.ready || s.straggler {
			continue
		}
		p.slots += s.most
		service := s.service
		if service <= 0 {
			service = unknownService
		}
		p.freed += float64(s.most) / service
	}
	return p.freed, p.slots
}

// expectedWait estimates how long a new request of a tier would wait: what
// waits at its tier or above, at the pace of the work done of late.
func (p *Pool) expectedWait(t request.Tier) time.Duration {
	backlog := 0.0
	for higher := request.Tier(0); higher <= t; higher++ {
		backlog += p.queue.WaitingCost(higher)
	}
	if backlog == 0 {
		return 0
	}
	pace := p.served.PerSecond(p.now)
	if pace <= 0 {
		return retryMax
	}
	return min(time.Duration(backlog/pace*float64(time.Second)), retryMax)
}

// bestTimes returns the least time to a first token, and to a whole answer,
// of any server that is up, with nothing else to compute and nothing cached.
func (p *Pool) bestTimes(prompt, output int) (first, whole time.Duration) {
	if p.fastest == (score.Prior{}) {
		p.findFastest()
	}
	first = p.fastest.FirstToken(prompt)
	return first, first + time.Duration(output)*p.fastest.PerToken(1)
}

// findFastest takes the best of what the servers that are up have shown. It is
// renewed with every comparison of peers.
func (p *Pool) findFastest() {
	p.fastest = score.Prior{}
	for _, s := range p.order {
		if p.up(s) {
			p.fastest = s.speed.Faster(p.fastest)
		}
	}
}
