package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/lycheekeel/lycheekeel/request"
)

// defaultSlots is the number of slots of a server that neither configures nor reports
// them.
const defaultSlots = 16

// targets divides the servers of each region among its pools. Each pool gets its
// minimum; then each further server goes to the pool with the largest deficit, the most
// urgent tiers first. Servers that no pool needs count in no target; they stay where
// they are.
func targets(pools []Pool, servers []Server) map[string]int {
	out := map[string]int{}
	pools = redistributeDemand(pools)
	for _, region := range regions(pools) {
		free, slots := capacity(region, servers)
		var regional []Pool
		for _, p := range byUrgency(pools) {
			if p.Region == region {
				regional = append(regional, p)
			}
		}
		for _, p := range regional {
			n := min(minServers(p, servers), free)
			out[p.Name] = n
			free -= n
		}
		for tier := range request.MaxTiers {
			for free > 0 && addServer(regional, tier, slots, out) {
				free--
			}
		}
	}
	return out
}

// minServers returns a pool's minimum, regardless of demand. A version that is not
// referenced any more keeps one server if it has any, for requests that still name it.
func minServers(p Pool, servers []Server) int {
	if p.Referenced {
		return max(1, p.Min)
	}
	if slices.ContainsFunc(servers, func(s Server) bool { return s.Pool == p.Name }) {
		return 1
	}
	return 0
}

// addServer gives one more server to the pool with the largest deficit, counting demand
// up to the tier. It returns false if no pool has a deficit.
func addServer(pools []Pool, tier int, slots float64, out map[string]int) bool {
	maxDeficit, neediest := 0.0, ""
	for _, p := range pools {
		if p.Max > 0 && out[p.Name] >= p.Max {
			continue
		}
		demand := 0.0
		for _, d := range p.Demand[:tier+1] {
			demand += d
		}
		if deficit := demand/slots - float64(out[p.Name]); deficit > maxDeficit {
			maxDeficit, neediest = deficit, p.Name
		}
	}
	if neediest == "" {
		return false
	}
	out[neediest]++
	return true
}

// redistributeDemand moves the demand of unreferenced versions to the referenced ones
// of the same model and region. If there is none, the version counts as referenced.
func redistributeDemand(pools []Pool) []Pool {
	out := slices.Clone(pools)
	for i := range out {
		if out[i].Referenced {
			continue
		}
		var successors []*Pool
		for j := range out {
			if out[j].Referenced && out[j].Model == out[i].Model && out[j].Region == out[i].Region && pools[j].Referenced {
				successors = append(successors, &out[j])
			}
		}
		if len(successors) == 0 {
			out[i].Referenced = true
			continue
		}
		for _, successor := range successors {
			for t, d := range out[i].Demand {
				successor.Demand[t] += d / float64(len(successors))
			}
		}
		out[i].Demand = [request.MaxTiers]float64{}
	}
	return out
}

// capacity returns the number of the region's usable servers and their mean slots.
func capacity(region string, servers []Server) (int, float64) {
	n, slots := 0, 0
	for _, s := range servers {
		if s.Region == region && s.usable() {
			n++
			slots += cmp.Or(s.Slots, defaultSlots)
		}
	}
	return n, math.Max(1, float64(slots)/math.Max(1, float64(n)))
}

func regions(pools []Pool) []string {
	var out []string
	for _, p := range pools {
		out = append(out, p.Region)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// byUrgency sorts by demand of tier 0, then of tier 1 and so on, then by name.
func byUrgency(pools []Pool) []Pool {
	out := slices.Clone(pools)
	slices.SortFunc(out, func(a, b Pool) int {
		for t := range a.Demand {
			if c := cmp.Compare(b.Demand[t], a.Demand[t]); c != 0 {
				return c
			}
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}
