package placement

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

const (
	// maxConcurrentProbes bounds the engines asked at once.
	maxConcurrentProbes = 32
	// unreachableAfterMisses is how many probes in a row a server must miss.
	unreachableAfterMisses = 3
	// demandEWMAWeight is the newest demand's share in the smoothed one; demand
	// over some rounds decides, not one burst.
	demandEWMAWeight = 0.2
)

// observe returns the region as it is now, and the servers' addresses.
func (c *Controller) observe(ctx context.Context, snapshot *workspace.Snapshot) (Input, map[string]string) {
	in := Input{MaxMoves: c.opts.MaxMoves}
	addresses := map[string]string{}
	c.smoothDemand(c.opts.Demand(ctx))
	referenced := referencedVersions(snapshot)
	var specs []workspace.BackendServer
	for _, name := range sortedPools(snapshot) {
		p := snapshot.Pools[name]
		if p.Region != c.opts.Region || p.Service != "" {
			continue
		}
		in.Pools = append(in.Pools, Pool{
			Name: p.Name, Region: p.Region, Model: p.Model, Version: p.Version, Min: p.MinServers,
			Max:    cmp.Or(p.MaxServers, workspace.MaxPoolServers),
			Demand: c.demand[p.Name], Referenced: referenced[[2]string{p.Model, p.Version}],
		})
		for _, s := range p.Servers {
			s.Pool = p.Name
			specs = append(specs, s)
			addresses[s.Name] = s.Address
		}
	}
	in.Servers = c.probe(ctx, specs)
	return in, addresses
}

// referencedVersions are the model versions that some workspace resolves to.
func referencedVersions(s *workspace.Snapshot) map[[2]string]bool {
	out := map[[2]string]bool{}
	for _, w := range s.Workspaces {
		for _, m := range w.Models {
			out[[2]string{m.Name, m.Version}] = true
		}
	}
	return out
}

func sortedPools(s *workspace.Snapshot) []string {
	var names []string
	for name := range s.Pools {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// smoothDemand takes the newest demand into the smoothed one.
func (c *Controller) smoothDemand(newest map[string]Demand) {
	for name, d := range newest {
		previous, known := c.demand[name]
		for t := range d {
			if known {
				d[t] = previous[t] + demandEWMAWeight*(d[t]-previous[t])
			}
		}
		c.demand[name] = d
	}
}

// observation is what the controller last heard of a server.
type observation struct {
	report   engine.LoadReport
	misses   int // probes without an answer since
	answered bool
}

// update takes in a probe's result and tells whether the server counts as
// reachable. Until several probes in a row were missed, what it last said
// holds: otherwise one slow answer would move servers between pools.
func (s *observation) update(r engine.LoadReport, err error) bool {
	if err == nil {
		*s = observation{report: r, answered: true}
		return true
	}
	s.misses++
	return s.answered && s.misses < unreachableAfterMisses
}

// probe asks every engine for its load report.
func (c *Controller) probe(ctx context.Context, specs []workspace.BackendServer) []Server {
	reports := make([]engine.LoadReport, len(specs))
	errs := make([]error, len(specs))
	group := pool.New().WithMaxGoroutines(maxConcurrentProbes)
	for i, s := range specs {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
			defer cancel()
			reports[i], errs[i] = c.opts.Engines.Engine(s.Address).Load(ctx)
		})
	}
	group.Wait()
	var out []Server
	for i, s := range specs {
		observed := c.observations[s.Name]
		if observed == nil {
			observed = &observation{}
			c.observations[s.Name] = observed
		}
		reachable := observed.update(reports[i], errs[i])
		r := observed.report
		fenced, known := c.fenced[s.Name]
		out = append(out, Server{
			Name: s.Name, Region: s.Region, AvailabilityZone: s.AvailabilityZone, Generation: s.Generation,
			Pool: s.Pool, Slots: cmp.Or(s.Slots, r.Slots), Reachable: reachable, Leaving: s.Leaving || r.Leaving,
			Warming: r.Warming, Models: r.Models, CanUnload: c.canUnload(s.Name, s.Pool),
			ChecksTokens: s.ChecksTokens, Fenced: known && fenced == r.Incarnation,
		})
	}
	return out
}

// mostUnreachable tells whether most servers are out of reach: rather the controller
// itself is, and what it sees is no ground for moves.
func mostUnreachable(servers []Server) bool {
	unreachable := 0
	for _, s := range servers {
		if !s.Reachable {
			unreachable++
		}
	}
	return 2*unreachable > len(servers)
}

// canUnload tells whether the server has served the pool for the settle time,
// as far as this controller has seen, by CLOCK_MONOTONIC.
func (c *Controller) canUnload(server, pool string) bool {
	previous, known := c.assignments[server]
	if !known || previous.pool != pool {
		c.assignments[server] = assignment{pool: pool, since: time.Now()}
		return false
	}
	return time.Since(previous.since) >= c.opts.UnloadDelay
}

// DemandOf turns a pool's waiting requests by tier and its running ones into
// demand. Which tiers run is not known: they count for the least urgent one.
func DemandOf(waiting [request.MaxTiers]int, running int) Demand {
	var d Demand
	for t, n := range waiting {
		d[t] = float64(n)
	}
	d[request.MaxTiers-1] += float64(running)
	return d
}
