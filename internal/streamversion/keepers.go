package streamversion

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/member"
)

const (
	// keeperGroups is the number of groups into which streams are divided. Each has keepers of
	// its own, so that a daemon of a large fleet talks to few others.
	keeperGroups = 16
	// keepersTold is how many daemons hold a record at least, besides one more. With three, the
	// death of any three daemons of six loses none.
	keepersTold = 3
	// keepersAsked is larger: daemons that started since a record was made have taken the
	// places of some keepers.
	keepersAsked = 2 * keepersTold
)

// ranking ranks the daemons that keep the records of streams. It is safe for concurrent use.
type ranking struct {
	region string
	view   *member.CurrentView

	mu     sync.Mutex
	asOf   *member.View
	groups [keeperGroups]*keeperGroup // as of that view; nil: not computed yet
}

// keeperGroup holds the keepers of a group of streams, without this daemon itself.
type keeperGroup struct {
	// told are the daemons that have to hold each record: the group's first keepersTold+1,
	// in the order of preference.
	told []keeper
	// asked are told, and daemons that may know older records.
	asked []string
}

// keeper is one process that keeps records. A restart loses them and changes the incarnation.
type keeper struct {
	name        string
	incarnation uint64
}

func groupOf(k key) uint64 { return uint64(k) % keeperGroups }

// group returns the keepers of a group as of the current view.
func (r *ranking) group(group uint64) *keeperGroup {
	view := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if view != r.asOf {
		r.asOf, r.groups = view, [keeperGroups]*keeperGroup{}
	}
	if r.groups[group] == nil {
		r.groups[group] = rankKeepers(view, r.region, group)
	}
	return r.groups[group]
}

// rankKeepers ranks the daemons of a region for a group. A daemon that leaves is told nothing
// new, but asked while it lives. One that is suspected is told if there are too few others.
func rankKeepers(v *member.View, region string, group uint64) *keeperGroup {
	all := rankMembers(v, region, group)
	inState := func(s member.State) []member.Member {
		return spreadZones(slices.DeleteFunc(slices.Clone(all), func(m member.Member) bool { return m.State != s }))
	}
	first := append(inState(member.Alive), inState(member.Suspect)...)
	g := &keeperGroup{}
	for _, m := range first[:min(len(first), keepersTold+1)] {
		if m.Name != v.Self {
			g.told = append(g.told, keeper{m.Name, m.Incarnation})
			g.asked = append(g.asked, m.Name)
		}
	}
	for _, m := range spreadZones(all) {
		if len(g.asked) < keepersAsked && m.Name != v.Self && !slices.Contains(g.asked, m.Name) {
			g.asked = append(g.asked, m.Name)
		}
	}
	return g
}

// rankMembers ranks the daemons of a region that live by rendezvous hashing.
func rankMembers(v *member.View, region string, group uint64) []member.Member {
	type candidate struct {
		member.Member
		weight uint64
	}
	all := make([]candidate, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Region == region && m.State != member.Dead {
			all = append(all, candidate{m, keeperWeight(m.Name, group)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	out := make([]member.Member, len(all))
	for i, c := range all {
		out[i] = c.Member
	}
	return out
}

// spreadZones returns ranked daemons with the first of each availability zone before all
// others, so that no zone's loss takes all keepers.
func spreadZones(ranked []member.Member) []member.Member {
	inZone, rankInZone := map[string]int{}, make(map[string]int, len(ranked))
	for _, m := range ranked {
		rankInZone[m.Name] = inZone[m.AvailabilityZone]
		inZone[m.AvailabilityZone]++
	}
	out := slices.Clone(ranked)
	slices.SortStableFunc(out, func(a, b member.Member) int { return cmp.Compare(rankInZone[a.Name], rankInZone[b.Name]) })
	return out
}

func keeperWeight(name string, group uint64) uint64 {
	return xxhash.Sum64String(name + string(rune('a'+group)))
}
