package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Summary tells how the pool stands.
func (p *Pool) Summary(now time.Time) Summary {
	sum := Summary{Pool: p.cfg.Name, Running: len(p.runs)}
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		sum.Waiting[t] = p.queue.Waiting(t)
	}
	for _, s := range p.order {
		if s.up() {
			sum.Free += max(0, s.info.Slots-len(s.running))
		}
		sum.Servers = append(sum.Servers, ServerSummary{
			Name: s.info.Name, Health: s.health, Running: len(s.running), Limit: s.info.Slots,
		})
	}
	return sum
}
