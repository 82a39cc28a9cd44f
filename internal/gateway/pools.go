package gateway

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// buildPools makes the pools of each service: one, or as many as it takes that
// none has many more than workspace.MaxPoolServers servers, so that no owner
// schedules more than it can.
func buildPools(t *route.Table, servers []discovery.Server, region string) *workspace.Snapshot {
	out := &workspace.Snapshot{
		Pools:      make(map[string]*workspace.ResolvedPool, len(t.Services)),
		ModelPools: make(map[workspace.ModelRegion][]*workspace.ResolvedPool, len(t.Services)),
	}
	count := map[string]int{}
	for _, s := range servers {
		count[s.Service]++
	}
	shards := make(map[string][]*workspace.ResolvedPool, len(t.Services))
	for name := range t.Services {
		shards[name] = makeShards(name, region, count[name])
		out.ModelPools[workspace.ModelRegion{Model: name, Region: region}] = shards[name]
		for _, p := range shards[name] {
			out.Pools[p.Name] = p
		}
	}
	for _, s := range servers { // sorted by ID, as pools have them
		if all := shards[s.Service]; len(all) > 0 {
			p := all[shardOf(s.ID, len(all))]
			p.Servers = append(p.Servers, backendServer(s, p.Name, region))
		}
	}
	return out
}

func makeShards(service, region string, servers int) []*workspace.ResolvedPool {
	n := max(1, (servers+workspace.MaxPoolServers-1)/workspace.MaxPoolServers)
	all := make([]*workspace.ResolvedPool, n)
	for i := range all {
		name := service
		if i > 0 {
			name += "#" + strconv.Itoa(i)
		}
		all[i] = &workspace.ResolvedPool{Pool: workspace.Pool{Name: name, Region: region, Model: service}}
	}
	return all
}

// shardOf puts a server into one of n pools by jump consistent hashing (Lamping
// and Veach, 2014): one pool more, or fewer, moves only the servers of one. It
// takes about ln n steps. Rendezvous hashing takes n: with 3,000 servers in 94
// pools a snapshot, made at each change of a server, takes 20 ms with that and
// 4.5 ms with this (BenchmarkBuildPools).
func shardOf(id string, n int) int {
	key, at, next := xxhash.Sum64String(id), int64(0), int64(0)
	for next < int64(n) {
		at = next
		key = key*2862933555777941757 + 1
		next = int64(float64(at+1) * (float64(1<<31) / float64(key>>33+1)))
	}
	return int(at)
}

func backendServer(s discovery.Server, pool, region string) workspace.BackendServer {
	return workspace.BackendServer{
		Name: s.ID, Address: s.Address, Region: region, AvailabilityZone: s.AvailabilityZone,
		Pool: pool, Slots: s.Slots, Leaving: s.Leaving,
		// Servers of one service differ in speed for good: each is judged by
		// what it usually does, not by the others.
		Generation: s.ID, Incarnation: s.Incarnation(),
	}
}
