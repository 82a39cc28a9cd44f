package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheekeel/lycheekeel/member"
)

// daemonsPerHub is how many daemons of an availability zone share a hub of the
// quotas. A hub gets 12 batches a second of each, at most, and answers them: with
// more of them it would be busy with that on a small VM.
const daemonsPerHub = 24

// hubKey is the key for which the hubs of the quotas are chosen.
const hubKey = "hub of the quotas"

// hubRoute is where a daemon reports what it let through of the quotas.
type hubRoute struct {
	// candidates are the daemons to report to, the preferred one first; they
	// may hold the daemon itself, and there is always one.
	candidates []string
	// hubs are the hubs of all availability zones.
	hubs []string
}

// newHubRoute chooses the hubs of a view by rendezvous hashing over the live
// members of each availability zone, so that most messages stay within it.
// Where no hub of its own zone answers, a daemon reports to others of its zone,
// which become hubs by that, and then to the hubs of other zones.
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

// rotate rotates names so that the daemons begin with different ones.
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
