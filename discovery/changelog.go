package discovery

import (
	"slices"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Revision is the store's version of a write, as assigned by the platform. It grows with each
// write.
type Revision = objectstore.Version

// maxRemovals limits the removals that a ChangeLog remembers. A client with an older
// list gets the whole list.
const maxRemovals = 4096

// ChangeNumber orders the changes of one ChangeLog; 0 is before the first. It isn't the store's
// revision, because a directory also changes by what the store doesn't say or says later.
type ChangeNumber uint64

// ChangeLog numbers the changes of a directory and remembers the last one of each server, so
// that a client with an older list can be sent the difference.
//
// With whole lists in place of deltas, 1,000 servers of which a few change each second
// make the traffic between zones the largest cost, 3.4 MB/s from the daemon that sends
// most. A ChangeLog is not safe for concurrent use.
type ChangeLog struct {
	current map[string]Server
	// changes and removals are sorted by number, oldest first. A server may be in
	// changes several times; its newest state is in current.
	changes  []change
	removals []change
	// oldest is the first number since which all changes are known.
	oldest, last ChangeNumber
}

// change is the number with which a server changed or was no longer listed.
type change struct {
	id string
	at ChangeNumber
}

// Delta is the difference between a list and an older one.
type Delta struct {
	Changed []Server
	Removed []string
}

// minCompaction is the number of changes below which superseded ones are kept.
const minCompaction = 256

// Newest returns the number of the last change; 0: nothing was recorded.
func (c *ChangeLog) Newest() ChangeNumber { return c.last }

// Record records what has changed in the list, the first time the whole list.
func (c *ChangeLog) Record(d Delta) {
	next := c.last + 1
	if c.current == nil {
		c.oldest, c.last, c.current = next, next, map[string]Server{}
	}
	for _, s := range d.Changed {
		old, known := c.current[s.ID]
		c.current[s.ID] = s
		if !known || !s.Equal(old) {
			c.changes, c.last = append(c.changes, change{s.ID, next}), next
		}
	}
	for _, id := range d.Removed {
		if _, known := c.current[id]; known {
			delete(c.current, id)
			c.removals, c.last = append(c.removals, change{id, next}), next
		}
	}
	c.compact()
}

// compact drops the oldest removals, and the changes that newer ones supersede once
// these are half of all.
func (c *ChangeLog) compact() {
	if excess := len(c.removals) - maxRemovals; excess > 0 {
		c.oldest = c.removals[excess-1].at
		c.removals = slices.Clone(c.removals[excess:])
	}
	if len(c.changes) < max(minCompaction, 2*len(c.current)) {
		return
	}
	c.changes = c.newest(0)
	slices.Reverse(c.changes)
}

// newest returns the last change of each listed server that changed after a number,
// newest first.
func (c *ChangeLog) newest(after ChangeNumber) []change {
	var out []change
	seen := map[string]bool{}
	for _, x := range slices.Backward(c.changes) {
		if x.at <= after {
			break
		}
		if _, listed := c.current[x.id]; listed && !seen[x.id] {
			seen[x.id] = true
			out = append(out, x)
		}
	}
	return out
}

// Since returns the changes after a number, or false if that is too old. The delta may contain
// entries that the older list already has.
func (c *ChangeLog) Since(number ChangeNumber) (Delta, bool) {
	if c.current == nil || number < c.oldest {
		return Delta{}, false
	}
	var d Delta
	for _, x := range c.newest(number) {
		d.Changed = append(d.Changed, c.current[x.id])
	}
	for _, r := range slices.Backward(c.removals) {
		if r.at <= number {
			break
		}
		if _, relisted := c.current[r.id]; !relisted {
			d.Removed = append(d.Removed, r.id)
		}
	}
	return d, true
}
