package gateway

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// buildPools makes the pools of each service: one, or as many as it takes that
// none has many more than workspace.MaxPoolServers servers, so that no owner
// schedules more than it can.
func buildPools(t *route.Table, servers []discovery.Server, region string, d division) *workspace.Snapshot {
	out := &workspace.Snapshot{
		Pools:      make(map[string]*workspace.ResolvedPool, len(t.Services)),
		ModelPools: make(map[workspace.ModelRegion][]*workspace.ResolvedPool, len(t.Services)),
	}
	shards := make(map[poolsOf][]*workspace.ResolvedPool, len(t.Services))
	divided := d.servers(servers)
	for name := range t.Services {
		for _, of := range d.pools(name) {
			shards[of] = makeShards(of, region, len(divided[of]))
			for _, p := range shards[of] {
				out.Pools[p.Name] = p
			}
			for _, version := range d.served(of) {
				out.ModelPools[workspace.ModelRegion{Model: name, Version: version, Region: region}] = shards[of]
			}
		}
	}
	for of, servers := range divided { // sorted by ID, as pools have them
		for _, s := range servers {
			if all := shards[of]; len(all) > 0 {
				p := all[shardOf(s.ID, len(all))]
				p.Servers = append(p.Servers, backendServer(s, p.Name, region))
			}
		}
	}
	return out
}

// poolsOf names the pools of a service or, with a version, those of the version that a
// rollout moves it to.
type poolsOf struct{ service, version string }

func (p poolsOf) name() string {
	if p.version == "" {
		return p.service
	}
	return p.service + "@" + p.version
}

// division is how the servers of services with a rollout are divided into pools: the
// servers of the version on trial have pools of their own. They keep these when the
// version has been taken, so that their owners go on knowing what runs there.
//
// What goes wrong with one pool for all: its scheduler sends to the fastest server and
// follows prefixes, and the new version gets more than its share.
type division struct {
	// orders are those that divide, by service.
	orders map[string]rollout.Order
	arm    func(discovery.Server) rollout.Arm
	tried  func(service string, old int, trial []discovery.Server) []discovery.Server
}

// pools returns the pools that a service has. Those that an outcome has emptied stay,
// without servers, for the requests that wait in them: their owner sheds these when
// their patience ends, while without an owner they would wait until their deadline.
func (d division) pools(service string) []poolsOf {
	order, divided := d.orders[service]
	if !divided {
		return []poolsOf{{service: service}}
	}
	return []poolsOf{{service: service}, {service, order.To}}
}

// served returns the versions under which requests ask for the pools; empty: those
// that are not on trial.
func (d division) served(of poolsOf) []string {
	state := d.orders[of.service].State
	switch {
	case of.version == "" && state == rollout.Succeeded, of.version != "" && state == rollout.RolledBack:
		return nil
	case of.version != "" && state == rollout.Succeeded:
		return []string{"", of.version}
	default:
		return []string{of.version}
	}
}

// servers divides the servers, which stay sorted by ID.
func (d division) servers(all []discovery.Server) map[poolsOf][]discovery.Server {
	out := map[poolsOf][]discovery.Server{}
	for _, s := range all {
		if of, ok := d.poolOf(s); ok {
			out[of] = append(out[of], s)
		}
	}
	for service, order := range d.orders {
		if order.State == rollout.Running && d.tried != nil {
			of := poolsOf{service, order.To}
			out[of] = d.tried(service, len(out[poolsOf{service: service}]), out[of])
		}
	}
	return out
}

// poolOf returns where a server belongs; false: nowhere.
func (d division) poolOf(s discovery.Server) (poolsOf, bool) {
	order, divided := d.orders[s.Service]
	if d.arm == nil {
		return poolsOf{service: s.Service}, true
	}
	switch arm := d.arm(s); {
	case arm == rollout.Off:
		return poolsOf{}, false
	case arm == rollout.Trial, divided && order.State == rollout.Succeeded:
		return poolsOf{s.Service, order.To}, true
	default:
		return poolsOf{service: s.Service}, true
	}
}

// division returns how the servers are divided now; the mutex is held.
func (s *state) division() division {
	if !s.orders.enabled {
		return division{}
	}
	return division{orders: s.orders.known, arm: s.orders.arm, tried: s.trials}
}

func makeShards(of poolsOf, region string, servers int) []*workspace.ResolvedPool {
	n := max(1, (servers+workspace.MaxPoolServers-1)/workspace.MaxPoolServers)
	all := make([]*workspace.ResolvedPool, n)
	for i := range all {
		name := of.name()
		if i > 0 {
			name += "#" + strconv.Itoa(i)
		}
		all[i] = &workspace.ResolvedPool{Pool: workspace.Pool{Name: name, Region: region, Model: of.service, Version: of.version}}
	}
	return all
}

// shardOf puts a server into one of n pools by jump consistent hashing (Lamping
// and Veach, 2014): one pool more, or fewer, moves only the servers of one. It
// takes about ln n steps, rendezvous hashing n, for each server at each change of one
// (BenchmarkBuildPools).
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
