// Package discovery is the aggregate of the backend servers that the platform
// lists: which exist, where, and which of them are leaving. It has no clock
// and calls nobody.
package discovery

import (
	"cmp"
	"slices"
	"time"
)

// Server is one incarnation of a backend server, as it registered itself.
type Server struct {
	// ID names this incarnation: a server that starts again has another one, and a
	// server of another service may get its address.
	ID               string
	Service          string
	Address          string // IP:port
	AvailabilityZone string
	Slots            int
	// Leaving is set once the server has announced that it stops.
	Leaving bool
}

// ReturnGrace is how long after the store's return an entry may still be
// missing whose server lives: the servers write again within about 2 s; the
// rest covers the time between two of our reads.
const ReturnGrace = 2300 * time.Millisecond

// Directory holds the servers. It is not safe for concurrent use.
//
// What goes wrong with the plain list: entries lapse while the store is down,
// and the first list after its return lacks servers that are well. One would
// notice requests refused for want of servers just after an outage. So what
// is missing then is kept for ReturnGrace. One that the store has had since its
// return, and then lacks, has left: to keep that one too sent requests to a
// server 2.1 s after it had left.
type Directory struct {
	servers map[string]Server
	// missing are kept servers that the newest list lacks.
	missing map[string]bool
	// confirmed are servers that the store has had since its return.
	confirmed map[string]bool
	away      bool
	returned  time.Time
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{servers: map[string]Server{}, missing: map[string]bool{}, confirmed: map[string]bool{}}
}

// StoreAway tells that the store did not answer.
func (d *Directory) StoreAway() { d.away = true }

// Replace takes a whole list, and reports whether anything changed.
func (d *Directory) Replace(now time.Time, listed []Server) bool {
	d.storeAnswered(now)
	changed := false
	seen := make(map[string]bool, len(listed))
	for _, s := range listed {
		seen[s.ID] = true
		changed = d.put(s) || changed
	}
	for id := range d.servers {
		if seen[id] {
			continue
		}
		changed = d.lacks(now, id) || changed
	}
	return changed
}

// Confirm tells that the store has exactly the servers that are known and not
// missing.
func (d *Directory) Confirm(now time.Time) {
	d.storeAnswered(now)
	for id := range d.servers {
		d.confirmed[id] = !d.missing[id]
	}
}

// Put takes one changed entry, and reports whether it says anything new.
func (d *Directory) Put(now time.Time, s Server) bool {
	d.storeAnswered(now)
	return d.put(s)
}

// Removed takes the removal of one entry.
func (d *Directory) Removed(now time.Time, id string) bool {
	d.storeAnswered(now)
	if _, ok := d.servers[id]; !ok {
		return false
	}
	return d.lacks(now, id)
}

// lacks takes it that the store lacks a server, and reports whether that is
// news.
func (d *Directory) lacks(now time.Time, id string) bool {
	if d.graceful(now) && !d.confirmed[id] {
		known := d.missing[id]
		d.missing[id] = true
		return !known
	}
	d.remove(id)
	return true
}

// Expire removes what is still missing when the grace has passed.
func (d *Directory) Expire(now time.Time) bool {
	if d.away || d.graceful(now) || len(d.missing) == 0 {
		return false
	}
	for id := range d.missing {
		d.remove(id)
	}
	return true
}

// ExpiresIn returns when Expire is to be called; false where nothing is missing.
func (d *Directory) ExpiresIn(now time.Time) (time.Duration, bool) {
	return d.returned.Add(ReturnGrace).Sub(now), len(d.missing) > 0 && !d.away
}

// Servers returns all servers, sorted by ID, those that are missing included.
func (d *Directory) Servers() []Server { return d.sorted(func(string) bool { return true }) }

// Listed returns the servers that the store has, sorted by ID. A daemon that
// has seen no outage needs no grace: what is missing has left.
func (d *Directory) Listed() []Server {
	return d.sorted(func(id string) bool { return !d.missing[id] })
}

func (d *Directory) sorted(keep func(id string) bool) []Server {
	out := make([]Server, 0, len(d.servers))
	for id, s := range d.servers {
		if keep(id) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (d *Directory) put(s Server) bool {
	delete(d.missing, s.ID)
	d.confirmed[s.ID] = true
	old, known := d.servers[s.ID]
	// A server does not come back from leaving; an older copy may say so.
	s.Leaving = s.Leaving || old.Leaving
	d.servers[s.ID] = s
	return !known || s != old
}

func (d *Directory) remove(id string) {
	delete(d.servers, id)
	delete(d.missing, id)
	delete(d.confirmed, id)
}

func (d *Directory) storeAnswered(now time.Time) {
	if d.away {
		d.away, d.returned = false, now
		clear(d.confirmed)
	}
}

func (d *Directory) graceful(now time.Time) bool {
	return !d.returned.IsZero() && now.Sub(d.returned) < ReturnGrace
}
