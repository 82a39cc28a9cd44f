package gateway

import (
	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// buildPools makes one pool for each service.
func buildPools(t *route.Table, servers []discovery.Server, region string) *workspace.Snapshot {
	out := &workspace.Snapshot{
		Pools:      make(map[string]*workspace.ResolvedPool, len(t.Services)),
		ModelPools: make(map[workspace.ModelRegion][]*workspace.ResolvedPool, len(t.Services)),
	}
	for name := range t.Services {
		p := &workspace.ResolvedPool{Pool: workspace.Pool{Name: name, Region: region, Model: name}}
		out.Pools[name] = p
		out.ModelPools[workspace.ModelRegion{Model: name}] = []*workspace.ResolvedPool{p}
	}
	for _, s := range servers { // sorted by ID, as pools have them
		if p := out.Pools[s.Service]; p != nil {
			p.Servers = append(p.Servers, workspace.BackendServer{
				Name: s.ID, Address: s.Address, Region: region, AvailabilityZone: s.AvailabilityZone,
				Pool: s.Service, Slots: s.Slots, Leaving: s.Leaving,
				// Servers of one service differ in speed for good: each is
				// judged by what it usually does, not by the others.
				Generation: s.ID,
			})
		}
	}
	return out
}
