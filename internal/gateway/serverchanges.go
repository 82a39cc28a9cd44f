package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
)

// serverChange is a change of a server with a valid entry between two rebuilds.
type serverChange struct {
	id            string
	before, after discovery.Server
	was, is       bool   // whether there was one before, and is one after
	from          string // the source of the last change
}

// builtServers is what the last rebuild was made from, so that the next one costs no more
// than what has changed since.
type builtServers struct {
	table     *route.Table
	servers   map[string]discovery.Server // by ID, those with a valid entry
	byAddress map[string]string           // never changed, but replaced
	changed   map[string]string           // the sources of the last changes since, by server ID
}

func newBuiltServers() builtServers {
	return builtServers{servers: map[string]discovery.Server{}, byAddress: map[string]string{}, changed: map[string]string{}}
}

// add adds changes of the directory, known from a source.
func (b *builtServers) add(d discovery.Delta, from string) {
	for _, x := range d.Changed {
		b.changed[x.ID] = from
	}
	for _, id := range d.Removed {
		b.changed[id] = from
	}
}

// take returns the changes since the last call, sorted by ID, with the malformed entries
// among them.
func (b *builtServers) take(d *discovery.Directory) (changes []serverChange, invalid []discovery.Server) {
	for _, id := range slices.Sorted(maps.Keys(b.changed)) {
		after, known := d.Get(id)
		if known && after.InvalidReason != "" {
			invalid = append(invalid, after)
			known = false
		}
		before, was := b.servers[id]
		if known {
			b.servers[id] = after
		} else {
			delete(b.servers, id)
		}
		if (was || known) && !(was && known && after.Equal(before)) {
			changes = append(changes, serverChange{id: id, before: before, after: after, was: was, is: known, from: b.changed[id]})
		}
	}
	b.changed = map[string]string{}
	return changes, invalid
}

// countedVersion is the service and version by which a server counts in the history.
type countedVersion struct{ service, version string }

// recordVersionsLocked records which versions have servers after a change of the directory; the
// mutex is held.
func (s *state) recordVersionsLocked(d discovery.Delta) {
	now := time.Now()
	for _, x := range d.Changed {
		s.recordVersionLocked(now, x.ID)
	}
	for _, id := range d.Removed {
		s.recordVersionLocked(now, id)
	}
}

func (s *state) recordVersionLocked(now time.Time, id string) {
	x, is := s.directory.Get(id)
	is = is && x.InvalidReason == ""
	before, was := s.counted[id]
	after := countedVersion{x.Service, x.Version}
	if is == was && (!is || before == after) {
		return
	}
	if is {
		s.versions.Add(now, after.service, after.version)
		s.counted[id] = after
	} else {
		delete(s.counted, id)
	}
	if was {
		s.versions.Remove(now, before.service, before.version)
	}
}

// updateAddresses returns what runs at each address after the changes.
func (b *builtServers) updateAddresses(changes []serverChange) map[string]string {
	changes = slices.DeleteFunc(slices.Clone(changes), func(c serverChange) bool {
		return c.was && c.is && c.before.Address == c.after.Address && incarnationAt(c.before) == incarnationAt(c.after)
	})
	if len(changes) == 0 {
		return b.byAddress
	}
	next, shared := maps.Clone(b.byAddress), map[string]bool{}
	for _, c := range changes {
		if !c.was {
			continue
		}
		if next[c.before.Address] == incarnationAt(c.before) {
			delete(next, c.before.Address)
		} else {
			shared[c.before.Address] = true
		}
	}
	for _, c := range changes {
		if !c.is {
			continue
		}
		if _, used := next[c.after.Address]; used {
			shared[c.after.Address] = true
		}
		next[c.after.Address] = incarnationAt(c.after)
	}
	b.recomputeAddresses(next, shared)
	b.byAddress = next
	return next
}

// recomputeAddresses recomputes what runs at addresses that several servers have, or had.
func (b *builtServers) recomputeAddresses(byAddress map[string]string, addresses map[string]bool) {
	if len(addresses) == 0 {
		return
	}
	for address := range addresses {
		delete(byAddress, address)
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if x := b.servers[id]; addresses[x.Address] {
			byAddress[x.Address] += incarnationAt(x)
		}
	}
}

// incarnationAt identifies a server and its incarnation at an address.
func incarnationAt(x discovery.Server) string { return x.ID + "/" + x.Incarnation() + " " }

// usableServers returns the use of each server after the changes. If arms have changed, the
// use of all may have.
func (b *builtServers) usableServers(prev *map[string]serverUse, changes []serverChange, arm func(discovery.Server) rollout.Arm, armsChanged bool) *map[string]serverUse {
	use := func(x discovery.Server) serverUse {
		return serverUse{leaving: x.Leaving, version: x.Version, arm: arm(x)}
	}
	if prev == nil || armsChanged {
		next := make(map[string]serverUse, len(b.servers))
		for id, x := range b.servers {
			next[id] = use(x)
		}
		return &next
	}
	changes = slices.DeleteFunc(slices.Clone(changes), func(c serverChange) bool {
		return c.was && c.is && use(c.before) == use(c.after)
	})
	if len(changes) == 0 {
		return prev
	}
	next := maps.Clone(*prev)
	for _, c := range changes {
		if c.is {
			next[c.id] = use(c.after)
		} else {
			delete(next, c.id)
		}
	}
	return &next
}
