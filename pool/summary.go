package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Summary returns a snapshot of the pool's load at time now.
func (p *Pool) Summary(now time.Time) Summary {
	p.now = now
	sum := Summary{LostRuns: p.reclaimedRuns, Tally: p.tally, Pool: p.cfg.Name, Running: len(p.byGrant)}
	for _, w := range p.waiting {
		sum.Waiting[w.Enqueue.Tier]++
	}
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		sum.ExpectedWait[t] = p.expectedWait(t)
	}
	for _, s := range p.sorted {
		n := s.info.Slots
		if !p.isBaseline() {
			n = p.runLimit(s)
		}
		if p.up(s) && s != p.isolation && !s.breaker.open {
			sum.Free += max(0, n-len(s.running))
		}
		sum.Servers = append(sum.Servers, ServerSummary{
			Name: s.info.Name, Health: s.health, Running: len(s.running), Limit: n, Straggler: s.straggler,
		})
	}
	return sum
}
