package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// versionGroup is the servers of a service that share pools: those of one version or,
// without rollouts, all.
//
// With one pool for all versions, a new version would get more than its share, since the
// scheduler prefers fast servers and cached prefixes. A pool keeps its version's name while
// there are servers of the version. A promotion or rollback therefore moves no server to
// another pool, whose owner would not know what runs on it.
type versionGroup struct {
	service, version string
	arm              rollout.Arm
	servers          []discovery.Server // sorted by ID
}

func (g *versionGroup) name() string {
	if g.version == "" {
		return g.service
	}
	return g.service + "@" + g.version
}

// partitioner groups the servers of a service by version.
type partitioner struct {
	// arm returns the arm of the rollout that a server belongs to; nil: versions are ignored.
	arm func(discovery.Server) rollout.Arm
	// canaryServers returns the servers of a new version that get canaries now, beside that
	// many stable ones.
	canaryServers func(service string, stable int, servers []discovery.Server) []discovery.Server
}

// partition groups the servers, which are sorted by ID.
func (p partitioner) partition(servers []discovery.Server) []*versionGroup {
	type key struct{ service, version string }
	groups := map[key]*versionGroup{}
	stable := map[string]int{}
	for _, s := range servers {
		k, arm := key{service: s.Service}, rollout.Stable
		if p.arm != nil {
			k.version, arm = s.Version, p.arm(s)
		}
		if arm == rollout.Off {
			continue
		}
		if groups[k] == nil {
			groups[k] = &versionGroup{service: k.service, version: k.version, arm: arm}
		}
		groups[k].servers = append(groups[k].servers, s)
		if arm == rollout.Stable {
			stable[s.Service]++
		}
	}
	out := make([]*versionGroup, 0, len(groups))
	for _, g := range groups {
		if g.arm == rollout.Canary {
			g.servers = p.canaryServers(g.service, stable[g.service], g.servers)
		}
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *versionGroup) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.version, b.version))
	})
	return out
}

// buildPools builds the pools of each service: one pool per version or, if a version has
// more than workspace.MaxPoolServers servers, as many as keep each near that size, so
// that one owner can schedule it. A service without a stable server gets an empty pool.
func buildPools(t *route.Table, servers []discovery.Server, region string, p partitioner) *workspace.Snapshot {
	out := &workspace.Snapshot{
		Pools:      make(map[string]*workspace.ResolvedPool, len(t.Services)),
		ModelPools: make(map[workspace.ModelRegion][]*workspace.ResolvedPool, len(t.Services)),
	}
	for _, g := range p.partition(servers) {
		if t.Services[g.service] != nil {
			addPools(out, g, region)
		}
	}
	for name := range t.Services {
		if out.ModelPools[workspace.ModelRegion{Model: name, Region: region}] == nil {
			addPools(out, &versionGroup{service: name, arm: rollout.Stable}, region)
		}
	}
	return out
}

// addPools adds the pools of a version group. Stable pools are listed under the empty
// version, which all requests but canaries ask for.
func addPools(snapshot *workspace.Snapshot, g *versionGroup, region string) {
	key := workspace.ModelRegion{Model: g.service, Region: region}
	if g.arm == rollout.Canary {
		key.Version = g.version
	}
	shards := newShards(g.name(), key, shardCount(len(g.servers)))
	for _, p := range shards {
		snapshot.Pools[p.Name] = p
	}
	for _, s := range g.servers {
		shard := shards[shardOf(s.ID, len(shards))]
		shard.Servers = append(shard.Servers, backendServer(s, shard.Name, region))
	}
	snapshot.ModelPools[key] = append(snapshot.ModelPools[key], shards...)
}

// shardOf assigns a server to one of n pools by jump consistent hashing (Lamping and
// Veach, 2014): adding or removing a pool moves only the servers of one. It takes about
// ln n steps instead of rendezvous hashing's n, for each server at each rebuild
// of all pools (BenchmarkBuildPools).
func shardOf(id string, n int) int {
	key, bucket, next := xxhash.Sum64String(id), int64(0), int64(0)
	for next < int64(n) {
		bucket = next
		key = key*2862933555777941757 + 1
		next = int64(float64(bucket+1) * (float64(1<<31) / float64(key>>33+1)))
	}
	return int(bucket)
}

func backendServer(s discovery.Server, pool, region string) workspace.BackendServer {
	return workspace.BackendServer{
		Name: s.ID, Address: s.Address, Region: region, AvailabilityZone: s.AvailabilityZone,
		Pool: pool, Slots: s.Slots, Leaving: s.Leaving,
		// The servers of a service differ in speed permanently, so each is a
		// generation of its own: it is compared with its own baseline, not with
		// the other servers.
		Generation: s.ID, Incarnation: s.Incarnation(), Version: s.Version,
	}
}
