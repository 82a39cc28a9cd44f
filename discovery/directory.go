// Package discovery holds the backend servers that the platform lists: which exist, at
// which addresses, and which of them are leaving. It has no clock and does no I/O.
package discovery

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Server is a backend server as it registered itself.
type Server struct {
	// ID identifies the server and survives its restarts. The address may later belong
	// to a server of another service.
	ID               string
	Service          string
	Address          string // IP:port of the server
	AvailabilityZone string
	Slots            int
	// Version is the server's software version; empty if not given.
	Version string
	// Cold is set while the server is still slow after its start.
	Cold bool
	// Leaving is set once this incarnation has announced that it stops, in its entry or in an
	// answer.
	Leaving bool
	// StartedAt is the start of this incarnation in Unix milliseconds by the server's
	// own clock; 0 if not given. It is only compared with values of the same server.
	StartedAt int64
	// Restarts counts the restarts without a new StartedAt that this directory has
	// detected by a decrease of Sequence. It is not sent to others.
	Restarts int
	// InvalidReason says why the entry is malformed and the server must not be used;
	// empty if the entry is valid.
	InvalidReason string
	// Sequence counts the incarnation's writes, and Revision is that of the entry's
	// last write; 0 if unknown. Both grow with each write, even if nothing else
	// changes.
	Sequence uint64
	Revision Revision
}

// Incarnation identifies one run of the server's process among all runs with the same
// ID.
func (s Server) Incarnation() string {
	return strconv.FormatInt(s.StartedAt, 36) + "." + strconv.Itoa(s.Restarts)
}

// Equal reports whether two entries are equal apart from Sequence and Revision.
func (s Server) Equal(o Server) bool {
	s.Sequence, s.Revision = o.Sequence, o.Revision
	return s == o
}

// StoreRecoveryGrace is how long after a store outage the entry of a running server may
// be missing. Servers write again within about 2 s; the rest covers the interval
// between two reads of the list.
const StoreRecoveryGrace = 2300 * time.Millisecond

// maxLeft bounds the removed servers that a Directory remembers.
const maxLeft = 4096

// Directory holds the known servers. It is not safe for concurrent use.
//
// Entries expire while the store is unavailable, so the first list after an outage
// lacks servers that are running; requests would then be refused for lack of servers.
// The directory therefore keeps servers that are missing from the list for
// StoreRecoveryGrace. A server that has been listed since the outage and is missing
// later has left: keeping it too sent requests to a server 2.1 s after it had left.
type Directory struct {
	servers map[string]Server
	// missing are the servers that are kept although the newest list lacks them.
	missing map[string]bool
	// confirmed are the servers that have been listed since the store recovered.
	confirmed map[string]bool
	// allConfirmed is set while all servers but the missing ones are confirmed.
	allConfirmed bool
	// left are the servers that were removed last, since the store may list them again as they
	// were before.
	left             *simplelru.LRU[string, Server]
	storeDown        bool
	storeRecoveredAt time.Time
	// restored is set while the store shows what its backup had, since storeRecoveredAt.
	restored bool
	// order holds the servers' IDs, sorted.
	order []string
	// touched are the servers that may have changed since the last TakeChanges.
	touched map[string]struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	left, err := simplelru.NewLRU[string, Server](maxLeft, nil)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Directory{servers: map[string]Server{}, missing: map[string]bool{}, confirmed: map[string]bool{}, left: left, touched: map[string]struct{}{}}
}

// StoreUnavailable reports that the store did not answer.
func (d *Directory) StoreUnavailable() { d.storeDown, d.restored = true, false }

// StoreRestored reports that the store was restored from a backup: it lacks the servers
// that registered since, and has those that were removed since, until servers have written and
// entries have expired again.
func (d *Directory) StoreRestored() { d.storeDown, d.restored = true, true }

// Replace applies a complete list and reports whether anything changed.
func (d *Directory) Replace(now time.Time, listed []Server) bool {
	d.markStoreAvailable(now)
	changed := false
	seen := make(map[string]bool, len(listed))
	for _, s := range listed {
		seen[s.ID] = true
		changed = d.upsert(now, s) || changed
	}
	for id := range d.servers {
		if seen[id] {
			continue
		}
		changed = d.handleMissing(now, id) || changed
	}
	return changed
}

// Confirm reports that the store lists exactly the servers that are known and not
// missing.
func (d *Directory) Confirm(now time.Time) {
	d.markStoreAvailable(now)
	d.confirmAll()
}

func (d *Directory) confirmAll() {
	if d.allConfirmed {
		return
	}
	d.allConfirmed = true
	for id := range d.servers {
		d.confirmed[id] = !d.missing[id]
	}
}

// Update applies what has changed since the list that the directory has, like Replace
// with the list after these changes. Its cost grows with the changes.
func (d *Directory) Update(now time.Time, delta Delta) bool {
	d.markStoreAvailable(now)
	relisted := make(map[string]bool, len(delta.Changed))
	for _, s := range delta.Changed {
		relisted[s.ID] = true
	}
	changed := false
	for _, id := range delta.Removed {
		if _, known := d.servers[id]; known && !relisted[id] {
			changed = d.handleMissing(now, id) || changed
		}
	}
	d.confirmAll()
	for _, s := range delta.Changed {
		changed = d.upsert(now, s) || changed
	}
	return changed
}

// TakeChanges returns the changes to the list of Listed since the last call, sorted by
// ID: at first the whole list. A server that is not listed but kept is in Removed.
func (d *Directory) TakeChanges() Delta {
	var delta Delta
	for _, id := range slices.Sorted(maps.Keys(d.touched)) {
		if s, known := d.servers[id]; known && !d.missing[id] {
			delta.Changed = append(delta.Changed, s)
		} else {
			delta.Removed = append(delta.Removed, id)
		}
	}
	d.touched = map[string]struct{}{}
	return delta
}

// Get returns a server, also one with a malformed entry.
func (d *Directory) Get(id string) (Server, bool) {
	s, known := d.servers[id]
	return s, known
}

// Announce records that an incarnation of a server has said in an answer that it stops,
// whatever its entry says from now on. It reports whether the directory changed.
func (d *Directory) Announce(id, incarnation string) bool {
	s, known := d.servers[id]
	if !known || s.Leaving || s.Incarnation() != incarnation {
		return false
	}
	s.Leaving = true
	d.servers[id] = s
	d.touched[id] = struct{}{}
	return true
}

// MergeLeaving applies from a list that is older than the directory only which servers are
// leaving: that may be known from elsewhere than the store. It reports whether the directory
// changed.
func (d *Directory) MergeLeaving(listed []Server) bool {
	changed := false
	for _, s := range listed {
		old, known := d.servers[s.ID]
		beforeRestart := old.Restarts > 0 && s.Revision < old.Revision
		if known && s.Leaving && s.StartedAt == old.StartedAt && !beforeRestart {
			changed = d.Announce(s.ID, old.Incarnation()) || changed
		}
	}
	return changed
}

// Put applies one changed entry and reports whether the directory changed.
func (d *Directory) Put(now time.Time, s Server) bool {
	d.markStoreAvailable(now)
	return d.upsert(now, s)
}

// Delete applies the removal of an entry at a revision (0: unknown) and reports whether
// the directory changed. A removal older than the entry refers to an earlier entry with
// the same ID and is ignored.
func (d *Directory) Delete(now time.Time, id string, at Revision) bool {
	d.markStoreAvailable(now)
	known, ok := d.servers[id]
	if !ok || at > 0 && at < known.Revision {
		return false
	}
	return d.handleMissing(now, id)
}

// handleMissing processes a server's absence from the store and reports whether the
// directory changed. During the grace period an unconfirmed server is kept as missing.
func (d *Directory) handleMissing(now time.Time, id string) bool {
	if d.inRecoveryGrace(now) && !d.confirmed[id] {
		known := d.missing[id]
		d.missing[id] = true
		d.touched[id] = struct{}{}
		return !known
	}
	d.drop(id)
	return true
}

// ExpireMissing removes the servers that are still missing after the grace period, and
// reports whether there were any.
func (d *Directory) ExpireMissing(now time.Time) bool {
	if d.storeDown || d.inRecoveryGrace(now) || len(d.missing) == 0 {
		return false
	}
	for id := range d.missing {
		d.drop(id)
	}
	return true
}

// ExpiresIn returns the time until ExpireMissing must be called; false if no server is
// missing or the store is unavailable.
func (d *Directory) ExpiresIn(now time.Time) (time.Duration, bool) {
	return d.storeRecoveredAt.Add(StoreRecoveryGrace).Sub(now), len(d.missing) > 0 && !d.storeDown
}

// Len returns the number of entries, including missing and invalid ones.
func (d *Directory) Len() int { return len(d.servers) }

// Servers returns all valid servers, including missing ones, sorted by ID.
func (d *Directory) Servers() []Server {
	return d.sorted(func(s Server) bool { return s.InvalidReason == "" })
}

// Listed returns the entries that the store has, sorted by ID. Missing servers are left
// out: a daemon that has seen no outage needs no grace period; for it, a missing server
// has left.
func (d *Directory) Listed() []Server {
	return d.sorted(func(s Server) bool { return !d.missing[s.ID] })
}

func (d *Directory) sorted(keep func(Server) bool) []Server {
	out := make([]Server, 0, len(d.servers))
	for _, id := range d.order {
		if s := d.servers[id]; keep(s) {
			out = append(out, s)
		}
	}
	return out
}

// upsert applies an entry and reports whether the directory changed. A missing server
// that is listed again counts as a change, since others were told that it is not
// listed.
func (d *Directory) upsert(now time.Time, s Server) bool {
	old, known := d.servers[s.ID]
	if !known && d.isOutdated(now, s) {
		return false
	}
	reappeared := d.missing[s.ID]
	delete(d.missing, s.ID)
	d.confirmed[s.ID] = true
	if known {
		s = old.merge(s, d.showsBackup(now))
	} else {
		s = d.mergeLeft(s)
	}
	if !known {
		at, _ := slices.BinarySearch(d.order, s.ID)
		d.order = slices.Insert(d.order, at, s.ID)
	}
	if !known || reappeared || s != old {
		d.servers[s.ID] = s
		d.touched[s.ID] = struct{}{}
	}
	return reappeared || !known || !s.Equal(old)
}

// mergeLeft returns the state of a server that is listed after it was removed. An incarnation
// that was leaving stays leaving.
func (d *Directory) mergeLeft(s Server) Server {
	old, known := d.left.Get(s.ID)
	if !known || s.InvalidReason != "" {
		return s
	}
	d.left.Remove(s.ID)
	if s.StartedAt == 0 {
		s.StartedAt = old.StartedAt
	}
	s.Restarts = old.Restarts
	switch {
	case s.StartedAt != old.StartedAt:
		s.Restarts = 0
	case s.Sequence < old.Sequence:
		s.Restarts++ // nothing that was written before a removal comes after it
	default:
		s.Leaving = s.Leaving || old.Leaving
	}
	return s
}

// restoredEntryTimeout is how long after a restore of the store the entry of a server that has
// ended may be there: until its heartbeats have been missing for long enough.
const restoredEntryTimeout = 6 * time.Second

// isOutdated reports whether an entry is from before its server was removed: the store has it
// from its backup, and the server has not written since.
func (d *Directory) isOutdated(now time.Time, s Server) bool {
	old, known := d.left.Get(s.ID)
	return known && d.showsBackup(now) && s.StartedAt == old.StartedAt && s.Sequence > 0 && s.Sequence <= old.Sequence
}

// showsBackup reports whether entries may be as old as the backup of a store.
func (d *Directory) showsBackup(now time.Time) bool {
	return d.restored && now.Sub(d.storeRecoveredAt) < restoredEntryTimeout
}

// merge returns the state of a server after the entry next. Entries may arrive late and
// out of order: a watch may deliver writes that a list has already included. copied is set if
// next may be a copy from a backup.
func (s Server) merge(next Server, copied bool) Server {
	stale := next.Revision > 0 && next.Revision < s.Revision ||
		next.InvalidReason == "" && next.StartedAt > 0 && next.StartedAt < s.StartedAt
	if stale {
		s.Leaving = s.Leaving || next.Leaving && next.StartedAt == s.StartedAt
		return s
	}
	if next.InvalidReason != "" { // keep the other fields until a valid entry is written
		s.InvalidReason, s.Revision = next.InvalidReason, next.Revision
		return s
	}
	next.Restarts = s.Restarts
	bySequence := !copied && next.StartedAt == 0
	if next.StartedAt == 0 {
		next.StartedAt = s.StartedAt
	}
	if next.detectRestart(s, bySequence) {
		return next
	}
	// A leaving incarnation stays leaving, even if an older copy of its entry arrives.
	next.Leaving = next.Leaving || s.Leaving
	next.Sequence = max(next.Sequence, s.Sequence)
	return next
}

// detectRestart reports whether an entry is of another incarnation than the previous
// one, and counts restarts of servers that give no start time. Without it, a server
// that announced its stop and restarts under the same ID would never be used again. bySequence
// is false if a decrease of Sequence proves nothing: the entry names the start, or it is a copy
// from a backup, and the server that it calls ready may be leaving by now.
func (s *Server) detectRestart(previous Server, bySequence bool) bool {
	if s.StartedAt != previous.StartedAt {
		s.Restarts = 0
		return true
	}
	restarted := bySequence && s.Sequence > 0 && s.Sequence+maxReorderedWrites < previous.Sequence && s.Revision > previous.Revision
	if restarted {
		s.Restarts++
	}
	return restarted
}

// maxReorderedWrites is the largest decrease of Sequence that doesn't count as a
// restart. The store may apply a write seconds after later ones, and a server writes
// about once a second. If every decrease counted, a write from before a server
// announced its stop would put it back into use. A restart within a server's first
// writes is not detected this way.
const maxReorderedWrites = 8

func (d *Directory) drop(id string) {
	if at, found := slices.BinarySearch(d.order, id); found {
		d.order = slices.Delete(d.order, at, at+1)
	}
	d.touched[id] = struct{}{}
	if s, known := d.servers[id]; known {
		d.left.Add(id, s)
	}
	delete(d.servers, id)
	delete(d.missing, id)
	delete(d.confirmed, id)
}

func (d *Directory) markStoreAvailable(now time.Time) {
	if d.storeDown {
		d.storeDown, d.storeRecoveredAt = false, now
		clear(d.confirmed)
		d.allConfirmed = false
	}
}

func (d *Directory) inRecoveryGrace(now time.Time) bool {
	return !d.storeRecoveredAt.IsZero() && now.Sub(d.storeRecoveredAt) < StoreRecoveryGrace
}
