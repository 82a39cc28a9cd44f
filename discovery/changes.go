package discovery

import "slices"

// Revision is the platform's: it grows with each of its changes.
type Revision uint64

// maxRemoved bounds the removals that Changes remembers. Who is further behind
// than these gets the whole list.
const maxRemoved = 4096

// Changes remembers since which revision a directory has each of its servers as
// it is, so that one who has an older list can be told what differs from it.
//
// What goes wrong where each change is told as the whole list: with 1,000
// servers of which a few change each second, the bytes between zones cost more
// than all else, 3.4 MB/s from the daemon that tells most. It is not safe for
// concurrent use.
type Changes struct {
	listed  map[string]Server
	changed map[string]Revision
	removed []removal // oldest first
	// since is the oldest revision from which on all changes are known.
	since Revision
}

// removal is a server that is not listed any more.
type removal struct {
	id string
	at Revision
}

// Delta is what a list has that an older one has not.
type Delta struct {
	Changed []Server
	Removed []string
}

// Note takes what is listed as of a revision.
func (c *Changes) Note(listed []Server, as Revision) {
	before := c.listed
	if before == nil {
		c.since, c.changed = as, map[string]Revision{}
	}
	c.listed = make(map[string]Server, len(listed))
	for _, s := range listed {
		c.listed[s.ID] = s
		if old, known := before[s.ID]; !known || !s.Equal(old) {
			c.changed[s.ID] = as
		}
	}
	for id := range before {
		if _, there := c.listed[id]; !there {
			delete(c.changed, id)
			c.removed = append(c.removed, removal{id, as})
		}
	}
	if over := len(c.removed) - maxRemoved; over > 0 {
		c.since = c.removed[over-1].at
		c.removed = slices.Clone(c.removed[over:])
	}
}

// After returns what has changed after a revision; false: that is too long ago.
// It may hold what the older list has already.
func (c *Changes) After(as Revision) (Delta, bool) {
	if c.listed == nil || as < c.since {
		return Delta{}, false
	}
	var d Delta
	for id, at := range c.changed {
		if at > as {
			d.Changed = append(d.Changed, c.listed[id])
		}
	}
	for _, r := range c.removed {
		if _, again := c.listed[r.id]; r.at > as && !again {
			d.Removed = append(d.Removed, r.id)
		}
	}
	return d, true
}

// Apply returns a list with the changes made.
func (d Delta) Apply(listed []Server) []Server {
	gone := make(map[string]bool, len(d.Removed)+len(d.Changed))
	for _, id := range d.Removed {
		gone[id] = true
	}
	for _, s := range d.Changed {
		gone[s.ID] = true
	}
	out := make([]Server, 0, len(listed)+len(d.Changed))
	for _, s := range listed {
		if !gone[s.ID] {
			out = append(out, s)
		}
	}
	return append(out, d.Changed...)
}
