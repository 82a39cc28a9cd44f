package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/member"
)

// daemonsPerHub is how many daemons of an availability zone share a quota hub. A hub
// receives and answers up to 12 batches per second from each of them; a larger group
// would take too much of a small VM's processor.
const daemonsPerHub = 24

// hubKey is the rendezvous hashing key by which the quota hubs are selected.
const hubKey = "hub of the quotas"

// hubRoute is where a daemon reports its quota usage.
type hubRoute struct {
	// candidates are the daemons to report to, in order of preference. The daemon itself
	// may be one of them. The list is never empty.
	candidates []string
	// hubs are the hubs of all availability zones.
	hubs []string
}

// newHubRoute selects the hubs of a view by rendezvous hashing over the live members of
// each availability zone, so that most messages stay within a zone. If no hub of its
// zone answers, a daemon reports to other daemons of its zone, which thereby become
// hubs, and then to the hubs of other zones.
func newHubRoute(v *member.View) hubRoute {
	zones := map[string][]member.Member{}
	for _, m := range v.Members {
		if m.State == member.Alive {
			zones[m.AvailabilityZone] = append(zones[m.AvailabilityZone], m)
		}
	}
	self, _ := v.Get(v.Self)
	var out hubRoute
	var near, far []string
	for name, members := range zones {
		slices.SortFunc(members, func(a, b member.Member) int { return cmp.Compare(b.Score(hubKey), a.Score(hubKey)) })
		n := (len(members) + daemonsPerHub - 1) / daemonsPerHub
		hubs := memberNames(members[:n])
		out.hubs = append(out.hubs, hubs...)
		if name == self.AvailabilityZone {
			near = append(rotate(hubs, v.Self), memberNames(members[n:])...)
		} else {
			far = append(far, hubs...)
		}
	}
	slices.Sort(far)
	switch out.candidates = append(near, rotate(far, v.Self)...); {
	case len(out.candidates) == 0, slices.Contains(out.hubs, v.Self):
		out.candidates = []string{v.Self}
	}
	return out
}

// rotate rotates the names by a hash of self, so that daemons spread over them.
func rotate(all []string, self string) []string {
	if len(all) == 0 {
		return nil
	}
	at := int(xxhash.Sum64String(self) % uint64(len(all)))
	return append(slices.Clone(all[at:]), all[:at]...)
}

func memberNames(members []member.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}
