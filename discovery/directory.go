// Package discovery is the aggregate of the backend servers that the platform
// lists: which exist, where, and which of them are leaving. It has no clock
// and calls nobody.
package discovery

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Server is a backend server as it registered itself.
type Server struct {
	// ID names the server. It may start again under it; a server of another
	// service may get its address.
	ID               string
	Service          string
	Address          string // IP:port
	AvailabilityZone string
	Slots            int
	// Version is of the server's software; empty: it does not say.
	Version string
	// Cold is set while the server is still slow after its start.
	Cold bool
	// Leaving is set once this incarnation has announced that it stops.
	Leaving bool
	// StartedAt is when this incarnation started, in Unix milliseconds by its own
	// clock; 0: it does not say. It is compared with the same server's alone.
	StartedAt int64
	// Restarts is how often the sequence fell back under one StartedAt, as far as
	// this directory has seen. It is not told to others.
	Restarts int
	// InvalidReason says why the entry is malformed, and its server not to be used; empty:
	// it is well-formed.
	InvalidReason string
	// Sequence counts what the incarnation has written, 0: unknown; Revision is of
	// the entry's last write, 0: unknown. They grow while nothing else changes.
	Sequence uint64
	Revision Revision
}

// Incarnation names one run of the server's process, from its start to its end,
// among all that had its ID.
func (s Server) Incarnation() string {
	return strconv.FormatInt(s.StartedAt, 36) + "." + strconv.Itoa(s.Restarts)
}

// Equal tells whether two entries say the same, whenever they were written.
func (s Server) Equal(o Server) bool {
	s.Sequence, s.Revision = o.Sequence, o.Revision
	return s == o
}

// StoreRecoveryGrace is how long after the store's return an entry may still be
// missing whose server lives: the servers write again within about 2 s; the
// rest covers the time between two of our reads.
const StoreRecoveryGrace = 2300 * time.Millisecond

// Directory holds the servers. It is not safe for concurrent use.
//
// What goes wrong with the plain list: entries lapse while the store is down,
// and the first list after its return lacks servers that are well. One would
// notice requests refused for want of servers just after an outage. So what
// is missing then is kept for StoreRecoveryGrace. One that the store has had since its
// return, and then lacks, has left: to keep that one too sent requests to a
// server 2.1 s after it had left.
type Directory struct {
	servers map[string]Server
	// missing are kept servers that the newest list lacks.
	missing map[string]bool
	// confirmed are servers that the store has had since its return.
	confirmed        map[string]bool
	storeDown        bool
	storeRecoveredAt time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]Server{}, missing: map[string]bool{}, confirmed: map[string]bool{}}
}

// StoreUnavailable tells that the store did not answer.
func (d *Directory) StoreUnavailable() { d.storeDown = true }

// Replace takes a whole list, and reports whether anything changed.
func (d *Directory) Replace(now time.Time, listed []Server) bool {
	d.markStoreAvailable(now)
	changed := false
	seen := make(map[string]bool, len(listed))
	for _, s := range listed {
		seen[s.ID] = true
		changed = d.upsert(s) || changed
	}
	for id := range d.servers {
		if seen[id] {
			continue
		}
		changed = d.handleMissing(now, id) || changed
	}
	return changed
}

// Confirm tells that the store has exactly the servers that are known and not
// missing.
func (d *Directory) Confirm(now time.Time) {
	d.markStoreAvailable(now)
	for id := range d.servers {
		d.confirmed[id] = !d.missing[id]
	}
}

// Put takes one changed entry, and reports whether it says anything new.
func (d *Directory) Put(now time.Time, s Server) bool {
	d.markStoreAvailable(now)
	return d.upsert(s)
}

// Delete takes the removal of one entry at a revision; 0: unknown. A removal that
// is older than the entry was of an earlier one under that ID.
func (d *Directory) Delete(now time.Time, id string, at Revision) bool {
	d.markStoreAvailable(now)
	known, ok := d.servers[id]
	if !ok || at > 0 && at < known.Revision {
		return false
	}
	return d.handleMissing(now, id)
}

// handleMissing takes it that the store lacks a server, and reports whether that is
// news.
func (d *Directory) handleMissing(now time.Time, id string) bool {
	if d.inRecoveryGrace(now) && !d.confirmed[id] {
		known := d.missing[id]
		d.missing[id] = true
		return !known
	}
	d.drop(id)
	return true
}

// ExpireMissing removes what is still missing when the grace has passed.
func (d *Directory) ExpireMissing(now time.Time) bool {
	if d.storeDown || d.inRecoveryGrace(now) || len(d.missing) == 0 {
		return false
	}
	for id := range d.missing {
		d.drop(id)
	}
	return true
}

// ExpiresIn returns when Expire is to be called; false where nothing is missing.
func (d *Directory) ExpiresIn(now time.Time) (time.Duration, bool) {
	return d.storeRecoveredAt.Add(StoreRecoveryGrace).Sub(now), len(d.missing) > 0 && !d.storeDown
}

// Len is how many entries there are, of whatever kind.
func (d *Directory) Len() int { return len(d.servers) }

// Servers returns all servers that may be used, sorted by ID, those that are
// missing included.
func (d *Directory) Servers() []Server {
	return d.sorted(func(s Server) bool { return s.InvalidReason == "" })
}

// InvalidReason returns the malformed entries, sorted by ID.
func (d *Directory) Invalid() []Server {
	return d.sorted(func(s Server) bool { return s.InvalidReason != "" })
}

// Listed returns the entries that the store has, sorted by ID. A daemon that
// has seen no outage needs no grace: what is missing has left.
func (d *Directory) Listed() []Server {
	return d.sorted(func(s Server) bool { return !d.missing[s.ID] })
}

func (d *Directory) sorted(keep func(Server) bool) []Server {
	out := make([]Server, 0, len(d.servers))
	for _, s := range d.servers {
		if keep(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// upsert takes an entry, and reports whether it says anything new. That a missing
// server is listed again is news to those who were told that it is not.
func (d *Directory) upsert(s Server) bool {
	reappeared := d.missing[s.ID]
	delete(d.missing, s.ID)
	d.confirmed[s.ID] = true
	old, known := d.servers[s.ID]
	if known {
		s = old.merge(s)
	}
	d.servers[s.ID] = s
	return reappeared || !known || !s.Equal(old)
}

// merge returns what is known of a server when an entry comes after s. Copies
// come late and out of order: a watch tells of writes that a list has told of.
func (s Server) merge(next Server) Server {
	stale := next.Revision > 0 && next.Revision < s.Revision ||
		next.InvalidReason == "" && next.StartedAt > 0 && next.StartedAt < s.StartedAt
	if stale {
		s.Leaving = s.Leaving || next.Leaving && next.StartedAt == s.StartedAt
		return s
	}
	if next.InvalidReason != "" { // until it is overwritten: what was known of the server holds then
		s.InvalidReason, s.Revision = next.InvalidReason, next.Revision
		return s
	}
	next.Restarts = s.Restarts
	if next.StartedAt == 0 {
		next.StartedAt = s.StartedAt
	}
	if next.detectRestart(s) {
		return next
	}
	// An incarnation does not come back from leaving; an older copy may say so.
	next.Leaving = next.Leaving || s.Leaving
	next.Sequence = max(next.Sequence, s.Sequence)
	return next
}

// detectRestart tells whether an entry is of another incarnation than the one
// before, and counts those that do not say when they started.
//
// What goes wrong without it: a server that announced that it leaves and starts
// again under its ID is never used again.
func (s *Server) detectRestart(previous Server) bool {
	if s.StartedAt != previous.StartedAt {
		s.Restarts = 0
		return true
	}
	restarted := s.Sequence > 0 && s.Sequence+maxReorderedWrites < previous.Sequence && s.Revision > previous.Revision
	if restarted {
		s.Restarts++
	}
	return restarted
}

// maxReorderedWrites is by how much a sequence falls back without a restart: the store may
// do a write seconds after the server's next ones, and a server writes about once a
// second. If each fall were a restart, a write from before a server announced that
// it leaves would bring it back into use. A server that starts again within its
// first writes is not told apart so.
const maxReorderedWrites = 8

func (d *Directory) drop(id string) {
	delete(d.servers, id)
	delete(d.missing, id)
	delete(d.confirmed, id)
}

func (d *Directory) markStoreAvailable(now time.Time) {
	if d.storeDown {
		d.storeDown, d.storeRecoveredAt = false, now
		clear(d.confirmed)
	}
}

func (d *Directory) inRecoveryGrace(now time.Time) bool {
	return !d.storeRecoveredAt.IsZero() && now.Sub(d.storeRecoveredAt) < StoreRecoveryGrace
}
