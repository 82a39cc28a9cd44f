package poolhost

import (
	"maps"
	"slices"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
)

// updateEntries updates the scheduler's set of entries: the region's live
// members, and entries whose session is open or ended less than absentEntryTTL
// ago. A live member that has not opened a session is listed by its bare name,
// so that a new owner knows which reports are missing. An absent entry is kept
// while it has outstanding grants, because it may still be alive.
func (r *Runtime) updateEntries() {
	r.entriesCheckedAt = r.now
	set := make([]pool.EntryID, 0, len(r.entries)+len(r.members))
	hasEntry := make(map[string]bool, len(r.entries))
	for id, e := range r.entries {
		e.absent = !r.present(e)
		if !e.absent {
			set = append(set, id)
			hasEntry[poolwire.MemberOf(id)] = true
		} else if len(e.grants) == 0 {
			delete(r.entries, id)
		}
	}
	for _, m := range r.members {
		if !hasEntry[m] {
			set = append(set, pool.EntryID(m))
		}
	}
	slices.Sort(set)
	zones := r.host.zonesOf(set)
	if !slices.Equal(set, r.lastEntrySet.Entries) || !maps.Equal(zones, r.lastEntrySet.Zones) {
		r.lastEntrySet = pool.EntrySet{Entries: set, Zones: zones}
		r.feed(r.lastEntrySet)
	}
}

// zonesOf returns the availability zones of the entries whose members are in the view.
func (h *Host) zonesOf(entries []pool.EntryID) map[pool.EntryID]string {
	if h.cfg.View == nil {
		return nil
	}
	view, zones := h.cfg.View.Load(), make(map[pool.EntryID]string, len(entries))
	for _, id := range entries {
		if m, ok := view.Get(poolwire.MemberOf(id)); ok && m.AvailabilityZone != "" {
			zones[id] = m.AvailabilityZone
		}
	}
	return zones
}

// endPreviousEntries ends the other entries of a new entry's member. A member
// runs one process, so the processes of the others have ended. A late message
// of such a process would end the new entry instead; the new entry then gets a
// reset on its next message and reports its running requests again.
func (r *Runtime) endPreviousEntries(e *entry) {
	member := poolwire.MemberOf(e.id)
	for id, other := range r.entries {
		if other == e || poolwire.MemberOf(id) != member {
			continue
		}
		r.endSession(other)
		delete(r.entries, id)
		r.host.count.entriesEnded.Add(1)
		r.feed(pool.EntryEnded{Entry: id})
	}
}

// present reports whether an entry may still run what it was granted: its
// session is open or ended less than absentEntryTTL ago, or its member is alive.
func (r *Runtime) present(e *entry) bool {
	return e.open || r.now.Sub(e.lastReceived) < absentEntryTTL || slices.Contains(r.members, poolwire.MemberOf(e.id))
}
