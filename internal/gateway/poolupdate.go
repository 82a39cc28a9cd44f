package gateway

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// poolEdit is what changes among the servers of a version group.
type poolEdit struct {
	removed map[string]bool // by ID; includes those that are added again
	added   []discovery.Server
}

// updatePools returns the snapshot after changes of servers, as buildPools would build it:
// only the pools that change are built. All servers must be in the stable arm, and the
// services as in prev. It returns false where all pools have to be built.
func updatePools(prev *workspace.Snapshot, changes []serverChange, region string, versioned bool) (*workspace.Snapshot, bool) {
	edits := editsOf(changes, region, versioned)
	maps.DeleteFunc(edits, func(g serviceVersion, _ *poolEdit) bool {
		return len(prev.ModelPools[workspace.ModelRegion{Model: g.service, Region: region}]) == 0 // no route
	})
	if len(edits) == 0 {
		return prev, true
	}
	next := &workspace.Snapshot{Pools: maps.Clone(prev.Pools), ModelPools: maps.Clone(prev.ModelPools)}
	for g, e := range edits {
		if !e.apply(next, g, region) {
			return nil, false
		}
	}
	return next, true
}

// sameServices reports whether two tables, of which the older may be nil, have the same
// services, on whose names alone the pools depend.
func sameServices(t, older *route.Table) bool {
	if t == older {
		return true
	}
	if older == nil || len(t.Services) != len(older.Services) {
		return false
	}
	for name := range t.Services {
		if older.Services[name] == nil {
			return false
		}
	}
	return true
}

// editsOf groups the changes that matter to pools by version group.
func editsOf(changes []serverChange, region string, versioned bool) map[serviceVersion]*poolEdit {
	edits := map[serviceVersion]*poolEdit{}
	edit := func(x discovery.Server) *poolEdit {
		g := groupOf(x, versioned)
		if edits[g] == nil {
			edits[g] = &poolEdit{removed: map[string]bool{}}
		}
		return edits[g]
	}
	for _, c := range changes {
		if c.was && c.is && groupOf(c.before, versioned) == groupOf(c.after, versioned) &&
			backendServer(c.before, "", region) == backendServer(c.after, "", region) {
			continue
		}
		if c.was {
			edit(c.before).removed[c.id] = true
		}
		if c.is {
			e := edit(c.after)
			e.added = append(e.added, c.after)
		}
	}
	return edits
}

// groupOf returns the version group of a server.
func groupOf(x discovery.Server, versioned bool) serviceVersion {
	if !versioned {
		return serviceVersion{service: x.Service}
	}
	return serviceVersion{x.Service, x.Version}
}

// apply changes the pools of a version group in a snapshot whose maps nobody else has yet.
// It returns false if the group appears or disappears.
func (e *poolEdit) apply(s *workspace.Snapshot, g serviceVersion, region string) bool {
	name := (&versionGroup{service: g.service, version: g.version}).name()
	key := workspace.ModelRegion{Model: g.service, Region: region}
	if strings.Contains(g.version, shardSeparator) {
		return false // its name may be that of another version's pool
	}
	shards := shardsOf(s, name, g.service)
	before := 0
	for _, p := range shards {
		before += len(p.Servers)
	}
	after := before - len(e.removed) + len(e.added)
	if before == 0 || after <= 0 {
		return false
	}
	var next []*workspace.ResolvedPool
	if n := shardCount(after); n == len(shards) {
		next = e.editShards(shards, region)
	} else {
		next = e.reshard(shards, newShards(name, key, n), region)
	}
	replaceShards(s, key, shards, next)
	return true
}

// editShards returns the pools with those replaced that change.
func (e *poolEdit) editShards(shards []*workspace.ResolvedPool, region string) []*workspace.ResolvedPool {
	next, changed := slices.Clone(shards), map[int]bool{}
	for id := range e.removed {
		changed[shardOf(id, len(shards))] = true
	}
	for _, x := range e.added {
		changed[shardOf(x.ID, len(shards))] = true
	}
	for i := range changed {
		next[i] = &workspace.ResolvedPool{Pool: shards[i].Pool, Servers: e.kept(shards[i].Servers)}
	}
	for _, x := range e.added {
		p := next[shardOf(x.ID, len(shards))]
		p.Servers = append(p.Servers, backendServer(x, p.Name, region))
	}
	for i := range changed {
		sortServers(next[i].Servers)
	}
	return next
}

// reshard distributes the servers of the pools over another number of pools.
func (e *poolEdit) reshard(shards, next []*workspace.ResolvedPool, region string) []*workspace.ResolvedPool {
	var all []workspace.BackendServer
	for _, p := range shards {
		all = append(all, e.kept(p.Servers)...)
	}
	for _, x := range e.added {
		all = append(all, backendServer(x, "", region))
	}
	sortServers(all)
	for _, x := range all {
		p := next[shardOf(x.Name, len(next))]
		x.Pool = p.Name
		p.Servers = append(p.Servers, x)
	}
	return next
}

// kept returns a copy of the servers without the removed ones; nil if none is left.
func (e *poolEdit) kept(servers []workspace.BackendServer) []workspace.BackendServer {
	var out []workspace.BackendServer
	for _, x := range servers {
		if !e.removed[x.Name] {
			out = append(out, x)
		}
	}
	return out
}

func sortServers(servers []workspace.BackendServer) {
	slices.SortFunc(servers, func(a, b workspace.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
}

// shardsOf returns the pools of a version group of a service, in order.
func shardsOf(s *workspace.Snapshot, name, service string) []*workspace.ResolvedPool {
	var out []*workspace.ResolvedPool
	for p := s.Pools[name]; p != nil && p.Model == service; p = s.Pools[shardName(name, len(out))] {
		out = append(out, p)
	}
	return out
}

// replaceShards replaces the pools of a version group, at their place among those of the
// service.
func replaceShards(s *workspace.Snapshot, key workspace.ModelRegion, shards, next []*workspace.ResolvedPool) {
	for _, p := range shards {
		delete(s.Pools, p.Name)
	}
	for _, p := range next {
		s.Pools[p.Name] = p
	}
	all := s.ModelPools[key]
	at := slices.Index(all, shards[0])
	s.ModelPools[key] = slices.Concat(all[:at], next, all[at+len(shards):])
}

// shardSeparator separates a pool's number from the name of its version group.
const shardSeparator = "#"

// shardName returns the name of a version group's pool.
func shardName(group string, i int) string {
	if i == 0 {
		return group
	}
	return group + shardSeparator + strconv.Itoa(i)
}

// shardCount returns how many pools that many servers need.
func shardCount(servers int) int {
	return max(1, (servers+workspace.MaxPoolServers-1)/workspace.MaxPoolServers)
}

// newShards returns the empty pools of a version group.
func newShards(group string, key workspace.ModelRegion, n int) []*workspace.ResolvedPool {
	shards := make([]*workspace.ResolvedPool, n)
	for i := range shards {
		shards[i] = &workspace.ResolvedPool{Pool: workspace.Pool{Name: shardName(group, i), Region: key.Region, Model: key.Model, Version: key.Version}}
	}
	return shards
}
