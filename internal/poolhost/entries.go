package poolhost

import (
	"slices"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
)

// updateEntries tells the scheduler which entries there are: the region's live
// members, and every entry whose session is open or was until a moment ago.
// A live member that has not said hello counts by its bare name, so that a
// new owner knows whose reports are still to come. What an absent entry was
// granted is remembered for a while: it may have been wrongly taken for dead.
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
	if !slices.Equal(set, r.lastEntrySet) {
		r.lastEntrySet = set
		r.feed(pool.EntrySet{Entries: set})
	}
}

// endPreviousEntries ends the entries of a new entry's member: a member has one
// process, so theirs have ended. A late message of such a process would end the
// new entry instead; that one is then told so at its next word, and tells anew
// what it runs.
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

// present tells whether an entry may still run what it was granted: its
// session is open, or ended a moment ago, or its member lives.
func (r *Runtime) present(e *entry) bool {
	return e.open || r.now.Sub(e.lastReceived) < absentEntryTTL || slices.Contains(r.members, poolwire.MemberOf(e.id))
}
