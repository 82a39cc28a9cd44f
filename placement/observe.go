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
	// maxConcurrentProbes limits the engines that are probed at the same time.
	maxConcurrentProbes = 32
	// unreachableAfterMisses is the number of consecutive missed probes from which on a
	// server counts as unreachable.
	unreachableAfterMisses = 3
	// demandEWMAWeight is the weight of the newest demand in its moving average, which
	// keeps a single burst from causing moves.
	demandEWMAWeight = 0.2
)

// observe returns the region's current state and its servers' addresses.
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

// referencedVersions returns the model versions that any workspace resolves to.
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

// smoothDemand adds the newest demand to the moving averages.
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

// observation is the last load report of a server.
type observation struct {
	report   engine.LoadReport
	misses   int // consecutive probes without an answer since the report
	answered bool
}

// update adds a probe's result and reports whether the server counts as reachable. The
// last report remains valid until several consecutive probes are missed; otherwise one
// slow answer would move servers between pools.
func (s *observation) update(r engine.LoadReport, err error) bool {
	if err == nil {
		*s = observation{report: r, answered: true}
		return true
	}
	s.misses++
	return s.answered && s.misses < unreachableAfterMisses
}

// probe requests the load report of each engine.
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

// mostUnreachable reports whether most servers are unreachable. Then the controller
// itself is probably isolated, and its observations are no basis for moves.
func mostUnreachable(servers []Server) bool {
	unreachable := 0
	for _, s := range servers {
		if !s.Reachable {
			unreachable++
		}
	}
	return 2*unreachable > len(servers)
}

// canUnload reports whether the server has served the pool for UnloadDelay, as far as
// this controller has observed, by CLOCK_MONOTONIC.
func (c *Controller) canUnload(server, pool string) bool {
	previous, known := c.assignments[server]
	if !known || previous.pool != pool {
		c.assignments[server] = assignment{pool: pool, since: time.Now()}
		return false
	}
	return time.Since(previous.since) >= c.opts.UnloadDelay
}

// DemandOf returns the demand of a pool from its waiting requests by tier and its
// running requests. The tiers of the running ones are unknown; they count in the least
// urgent tier.
func DemandOf(waiting [request.MaxTiers]int, running int) Demand {
	var d Demand
	for t, n := range waiting {
		d[t] = float64(n)
	}
	d[request.MaxTiers-1] += float64(running)
	return d
}
