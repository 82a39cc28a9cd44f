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
	// keepersTold is how many other daemons hold a record. With three, the death of any three
	// daemons of six loses none.
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
	groups [keeperGroups][]string // as of that view; nil: not computed yet
}

// keepersOf returns up to n keepers of a stream, the first ones in the order of preference,
// without this daemon itself.
func (r *ranking) keepersOf(k key, n int) []string {
	view, group := r.view.Load(), uint64(k)%keeperGroups
	r.mu.Lock()
	defer r.mu.Unlock()
	if view != r.asOf {
		r.asOf, r.groups = view, [keeperGroups][]string{}
	}
	if r.groups[group] == nil {
		r.groups[group] = rankKeepers(view, r.region, group)
	}
	all := r.groups[group]
	return all[:min(n, len(all))]
}

// rankKeepers ranks the other daemons of a region by rendezvous hashing. The first of each
// availability zone come first, so that no zone's loss takes all keepers.
func rankKeepers(v *member.View, region string, group uint64) []string {
	type candidate struct {
		name, zone string
		weight     uint64
		rankInZone int
	}
	all := make([]candidate, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Region == region && m.State != member.Dead {
			all = append(all, candidate{name: m.Name, zone: m.AvailabilityZone, weight: keeperWeight(m.Name, group)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	inZone := map[string]int{}
	for i := range all {
		all[i].rankInZone = inZone[all[i].zone]
		inZone[all[i].zone]++
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.rankInZone, b.rankInZone) })
	out := make([]string, 0, keepersAsked)
	for _, c := range all {
		if c.name != v.Self && len(out) < keepersAsked {
			out = append(out, c.name)
		}
	}
	return out
}

func keeperWeight(name string, group uint64) uint64 {
	return xxhash.Sum64String(name + string(rune('a'+group)))
}
