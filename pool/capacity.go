package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/headroom"
	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// maxKVFill is the share of a server's measured KV capacity that may be used.
	maxKVFill = 0.95
	// headroomTargetShare is the share of a first-token target within which a request of a
	// burst should find a slot.
	headroomTargetShare = 0.4
	// defaultServiceSeconds is the assumed service time, in seconds, of a server that has
	// not completed a run.
	defaultServiceSeconds = 1.0
	// rateUnknown marks a rate that has to be computed.
	rateUnknown = -1
)

// runLimit returns how many requests may run on a server now.
func (p *Pool) runLimit(s *server) int {
	n := min(limit.Slots(s.latencyLimit), limit.Slots(s.queueingLimit))
	if s.engineSlots > 0 {
		n = min(n, s.engineSlots)
	}
	if s.straggler && p.anyHealthy || s.breaker.open {
		n = 1 // one probe at a time
	}
	return p.entries.limitShare(max(1, p.roomLimit(s, n)))
}

// refreshServers determines, once per event, which servers may get grants and how many
// requests each may run.
func (p *Pool) refreshServers() {
	p.anyHealthy, p.freeRate = false, rateUnknown
	for _, s := range p.sorted {
		s.grantable = p.acceptsNow(s) && !s.breaker.open
		if s.grantable && !s.straggler && !s.overdue {
			p.anyHealthy = true
		}
	}
	for _, s := range p.sorted {
		s.maxRunning = p.runLimit(s)
	}
	p.refreshGapBudgets()
}

// serversWithSlots returns the servers that have a free slot, and their total number
// of free slots. Stragglers and servers with an overdue first token are included only
// if no server is healthy; scheduleProbes sends a straggler its probes. If no server has
// a free slot, it returns those that may get an extra call, and 1.
func (p *Pool) serversWithSlots() ([]*server, int) {
	p.usableServers = p.usableServers[:0]
	slots := 0
	for _, s := range p.sorted {
		left := s.maxRunning - len(s.running)
		if left <= 0 || !s.grantable || s == p.isolation || p.anyHealthy && (s.straggler || s.overdue) {
			continue
		}
		slots += left
		p.usableServers = append(p.usableServers, s)
	}
	if slots == 0 && p.cfg.Traits.Overlap {
		return p.serversWithExtraCalls()
	}
	return p.usableServers, slots
}

// fits reports whether a server's KV memory has room for the given number of tokens.
// An idle server always has room, so that a request too large for the memory runs alone.
func (s *server) fits(tokens int) bool {
	if len(s.running) == 0 {
		return true
	}
	if s.kvCapacity > 0 && float64(s.kvTokens+tokens) > maxKVFill*s.kvCapacity {
		return false
	}
	return float64(s.kvTokens+tokens) <= kiloToken*s.memoryLimit.Limit()
}

// reservedSlots returns how many slots a tier must leave free for higher tiers.
func (p *Pool) reservedSlots(t request.Tier) int {
	if t == 0 {
		return 0
	}
	perSecond, total := p.slotFreeRate()
	reserved := 0
	for higher := request.Tier(0); higher < t; higher++ {
		slack := time.Duration(headroomTargetShare * float64(p.firstTokenTargets[higher]))
		reserved += headroom.Reserve(p.arrivals[higher].Peak(p.now), perSecond, slack)
	}
	return min(reserved, int(p.cfg.Headroom*float64(total)))
}

// slotFreeRate returns how many slots are freed per second when all are in use, and
// the number of slots.
func (p *Pool) slotFreeRate() (float64, int) {
	if p.freeRate != rateUnknown {
		return p.freeRate, p.totalSlots
	}
	p.freeRate, p.totalSlots = 0, 0
	for _, s := range p.sorted {
		if !s.grantable || s.straggler {
			continue
		}
		p.totalSlots += s.maxRunning
		service := s.meanService
		if service <= 0 {
			service = defaultServiceSeconds
		}
		p.freeRate += float64(s.maxRunning) / service
	}
	return p.freeRate, p.totalSlots
}

// expectedWait estimates the queueing delay of a new request: the backlog of its tier
// and of those above, at the current rate of work served.
func (p *Pool) expectedWait(t request.Tier) time.Duration {
	backlog := 0.0
	for higher := request.Tier(0); higher <= t; higher++ {
		backlog += p.queue.WaitingCost(higher)
	}
	if backlog == 0 {
		return 0
	}
	perSecond := p.servedWork.PerSecond(p.now)
	if perSecond <= 0 {
		return retryAfterMax
	}
	return min(time.Duration(backlog/perSecond*float64(time.Second)), retryAfterMax)
}

// fastestTimes returns the shortest time to a first token and to a whole answer on any
// server that is up, with no other prefill pending and nothing cached.
func (p *Pool) fastestTimes(prompt, output int) (first, whole time.Duration) {
	if p.fastest == (score.Profile{}) {
		p.findFastest()
	}
	first = p.fastest.FirstToken(prompt)
	return first, first + time.Duration(output)*p.fastest.PerToken(1)
}

// findFastest combines the best latencies of all servers that are up. compareServers
// calls it again each time.
func (p *Pool) findFastest() {
	p.fastest = score.Profile{}
	for _, s := range p.sorted {
		if p.up(s) {
			p.fastest = s.latency.Fastest(p.fastest)
		}
	}
}
