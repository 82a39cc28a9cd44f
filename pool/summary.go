package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/request"
)

// Summary is a snapshot of a pool's load, for sibling pools, entries and placement.
type Summary struct {
	Pool    string
	Waiting [request.MaxTiers]int
	Running int
	Free    int
	// LostRuns counts the runs whose slots were reclaimed without a release, since the
	// pool's start.
	LostRuns int
	// Tally counts the results of requests by tier. It is not sent to other processes.
	Tally Tally
	// ExpectedWait is the estimated queueing delay of a new request, by tier.
	ExpectedWait [request.MaxTiers]time.Duration
	Servers      []ServerSummary
}

// ServerSummary is the load of one server in a Summary.
type ServerSummary struct {
	Name      string
	Health    Health
	Running   int
	Limit     int
	Straggler bool
	// Paused is set while the server gets no grants because it could not be reached or has
	// refused a request.
	Paused bool
}

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
			Paused: p.now.Before(s.pausedUntil),
		})
	}
	return sum
}
