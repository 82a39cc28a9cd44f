package member

// maxInheritedOwners limits the owners that a view takes over, so that those of pools that no
// longer exist don't accumulate.
const maxInheritedOwners = 4096

// maxInheritedShare is the share of the members up to which a difference between two views is
// worked into the owners. Beyond it most of them are looked up anew.
const maxInheritedShare = 0.25

// inheritOwners fills the cache of a new view from that of the one that it replaces: only the
// members that differ are compared with the owner that was found.
func (v *View) inheritOwners(old *View) {
	if old.ownerCache == nil || v.ownerCache == nil {
		return
	}
	added, removed := ownershipChanges(old.Members, v.Members)
	if float64(len(added)+len(removed)) > maxInheritedShare*float64(len(v.Members)) {
		return
	}
	n := 0
	old.ownerCache.Range(func(k, cached any) bool {
		key, owner := k.(ownerKey), cached.(Member)
		if m, known := v.Get(owner.Name); known && !removed[owner.Name] {
			v.ownerCache.Store(key, bestOwner(key, m, added))
			n++
		}
		return n < maxInheritedOwners
	})
}

// bestOwner returns the owner among a pool's owner and added members.
func bestOwner(key ownerKey, owner Member, added []Member) Member {
	best, bestScore := owner, owner.Score(key.pool)
	for _, m := range added {
		if m.Region != key.region {
			continue
		}
		if score := m.Score(key.pool); outranks(m, score, best, bestScore) {
			best, bestScore = m, score
		}
	}
	return best
}

// ownershipChanges returns the members that may own pools in the newer list but did not, or
// not with the same weight and region, in the older one, and the names of those the other way
// round. Both lists are sorted by name.
func ownershipChanges(older, newer []Member) (added []Member, removed map[string]bool) {
	removed = map[string]bool{}
	i := 0
	drop := func(until string, all bool) {
		for ; i < len(older) && (all || older[i].Name < until); i++ {
			if older[i].mayOwn() {
				removed[older[i].Name] = true
			}
		}
	}
	for _, m := range newer {
		drop(m.Name, false)
		if i == len(older) || older[i].Name != m.Name {
			if m.mayOwn() {
				added = append(added, m)
			}
			continue
		}
		was := older[i]
		i++
		if was.mayOwn() == m.mayOwn() && was.Region == m.Region && was.Weight == m.Weight {
			continue
		}
		if was.mayOwn() {
			removed[m.Name] = true
		}
		if m.mayOwn() {
			added = append(added, m)
		}
	}
	drop("", true)
	return added, removed
}
