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

	mu         sync.Mutex
	asOf       *member.View
	candidates []candidate                // as of that view, in any order
	groups     [keeperGroups]*keeperGroup // as of that view; nil: not computed yet
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
		r.asOf, r.candidates, r.groups = view, candidatesOf(view, r.region), [keeperGroups]*keeperGroup{}
	}
	if r.groups[group] == nil {
		r.groups[group] = rankKeepers(r.candidates, view.Self, group)
	}
	return r.groups[group]
}

// candidate is a daemon of the region that lives, and its weight in a group.
type candidate struct {
	*member.Member
	weight uint64
}

func candidatesOf(v *member.View, region string) []candidate {
	all := make([]candidate, 0, len(v.Members))
	for i := range v.Members {
		if m := &v.Members[i]; m.Region == region && m.State != member.Dead {
			all = append(all, candidate{Member: m})
		}
	}
	return all
}

// rankKeepers ranks the candidates for a group by rendezvous hashing, and sorts them by weight. A
// daemon that leaves is told nothing new, but asked while it lives. One that is suspected is told
// if there are too few others.
func rankKeepers(all []candidate, self string, group uint64) *keeperGroup {
	var name []byte
	for i := range all {
		name = append(append(name[:0], all[i].Name...), byte('a'+group))
		all[i].weight = xxhash.Sum64(name)
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	first := firstOf(all, keepersTold+1, func(c candidate) bool { return c.State == member.Alive })
	if lacking := keepersTold + 1 - len(first); lacking > 0 {
		first = append(first, firstOf(all, lacking, func(c candidate) bool { return c.State == member.Suspect })...)
	}
	g := &keeperGroup{}
	for _, c := range first {
		if c.Name != self {
			g.told = append(g.told, keeper{c.Name, c.Incarnation})
			g.asked = append(g.asked, c.Name)
		}
	}
	for _, c := range firstOf(all, keepersAsked+1, func(candidate) bool { return true }) {
		if len(g.asked) < keepersAsked && c.Name != self && !slices.Contains(g.asked, c.Name) {
			g.asked = append(g.asked, c.Name)
		}
	}
	return g
}

// firstOf returns up to n ranked candidates that may be chosen, with the first of each
// availability zone before all others, so that no zone's loss takes all keepers.
func firstOf(ranked []candidate, n int, mayChoose func(candidate) bool) (out []candidate) {
	for rank, found := 1, true; found && len(out) < n; rank++ {
		found = false
		inZone := map[string]int{}
		for _, c := range ranked {
			if len(out) == n {
				return out
			}
			if !mayChoose(c) {
				continue
			}
			if inZone[c.AvailabilityZone]++; inZone[c.AvailabilityZone] == rank {
				out, found = append(out, c), true
			}
		}
	}
	return out
}
