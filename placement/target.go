package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/lycheekeel/lycheekeel/request"
)

// defaultSlots sizes a server whose configuration does not.
const defaultSlots = 16

// targets divides each region's servers among its pools: a floor for each,
// then server by server to whom the most urgent tier falls short most. Servers
// that nobody needs have no target; they stay where they are.
func targets(pools []Pool, servers []Server) map[string]int {
	out := map[string]int{}
	pools = shifted(pools)
	for _, region := range regions(pools) {
		free, slots := capacity(region, servers)
		var here []Pool
		for _, p := range byUrgency(pools) {
			if p.Region == region {
				here = append(here, p)
			}
		}
		for _, p := range here {
			n := min(floor(p, servers), free)
			out[p.Name] = n
			free -= n
		}
		for tier := range request.MaxTiers {
			for free > 0 && raise(here, tier, slots, out) {
				free--
			}
		}
	}
	return out
}

// floor is what a pool gets whatever its demand. An unwanted version keeps one
// server while it has any, for requests that still name it.
func floor(p Pool, servers []Server) int {
	if p.Wanted {
		return max(1, p.Min)
	}
	if slices.ContainsFunc(servers, func(s Server) bool { return s.Pool == p.Name }) {
		return 1
	}
	return 0
}

// raise gives one more server to the pool that falls short most, counting
// demand up to the tier; false where none does.
func raise(pools []Pool, tier int, slots float64, out map[string]int) bool {
	worst, at := 0.0, ""
	for _, p := range pools {
		if p.Max > 0 && out[p.Name] >= p.Max {
			continue
		}
		demand := 0.0
		for _, d := range p.Demand[:tier+1] {
			demand += d
		}
		if short := demand/slots - float64(out[p.Name]); short > worst {
			worst, at = short, p.Name
		}
	}
	if at == "" {
		return false
	}
	out[at]++
	return true
}

// shifted moves the demand of unwanted versions to the wanted ones of the
// same model and region. Where there is none, the version stays wanted.
func shifted(pools []Pool) []Pool {
	out := slices.Clone(pools)
	for i := range out {
		if out[i].Wanted {
			continue
		}
		var heirs []*Pool
		for j := range out {
			if out[j].Wanted && out[j].Model == out[i].Model && out[j].Region == out[i].Region && pools[j].Wanted {
				heirs = append(heirs, &out[j])
			}
		}
		if len(heirs) == 0 {
			out[i].Wanted = true
			continue
		}
		for _, h := range heirs {
			for t, d := range out[i].Demand {
				h.Demand[t] += d / float64(len(heirs))
			}
		}
		out[i].Demand = [request.MaxTiers]float64{}
	}
	return out
}

// capacity returns the region's usable servers and their mean slots.
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

// byUrgency sorts by demand of tier 0, then of tier 1 and so on, then name.
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
