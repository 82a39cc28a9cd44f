// Package suspect remembers which requests may crash servers. Every request
// that ran on a server when it crashed becomes a suspect; a suspect runs only
// alone; one that is alone on a server when that crashes is convicted, and
// one that finishes goes free. What is remembered is bounded and expires.
//
// A Register is used by one goroutine at a time.
package suspect

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// State is what is known of a fingerprint.
type State uint8

// The states of a fingerprint, from harmless to certain.
const (
	Clear State = iota
	Suspected
	Confirmed
)

// maxEntries bounds the fingerprints remembered; the least recently seen go
// first.
const maxEntries = 4096

type entry struct {
	state   State
	expires time.Time
}

// Registry is what one pool knows of fingerprints.
type Registry struct {
	entries   *simplelru.LRU[uint64, entry]
	retention time.Duration
}

// NewRegistry returns an empty register that keeps each verdict for so long.
func NewRegistry(retention time.Duration) *Registry {
	entries, err := simplelru.NewLRU[uint64, entry](maxEntries, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &Registry{entries: entries, retention: retention}
}

// State returns what is known of a fingerprint. Zero is no fingerprint and
// always clear.
func (r *Registry) State(now time.Time, fingerprint uint64) State {
	if r.entries.Len() == 0 || fingerprint == 0 {
		return Clear
	}
	e, ok := r.entries.Get(fingerprint)
	if !ok {
		return Clear
	}
	if !now.Before(e.expires) {
		r.entries.Remove(fingerprint)
		return Clear
	}
	return e.state
}

// ExpiresIn returns how long a verdict still holds.
func (r *Registry) ExpiresIn(now time.Time, fingerprint uint64) time.Duration {
	e, ok := r.entries.Peek(fingerprint)
	if !ok {
		return 0
	}
	return max(0, e.expires.Sub(now))
}

// MarkSuspected makes a fingerprint a suspect, unless it is convicted. It reports
// whether that changed anything.
func (r *Registry) MarkSuspected(now time.Time, fingerprint uint64) bool {
	if fingerprint == 0 || r.State(now, fingerprint) != Clear {
		return false
	}
	r.entries.Add(fingerprint, entry{Suspected, now.Add(r.retention)})
	return true
}

// Confirm convicts a fingerprint.
func (r *Registry) Confirm(now time.Time, fingerprint uint64) {
	if fingerprint != 0 {
		r.entries.Add(fingerprint, entry{Confirmed, now.Add(r.retention)})
	}
}

// Clear clears a suspect that finished. A convict stays one: what one run
// has proved, another that happened to end earlier doesn't disprove. It
// reports whether that changed anything.
func (r *Registry) Clear(now time.Time, fingerprint uint64) bool {
	if r.State(now, fingerprint) != Suspected {
		return false
	}
	r.entries.Remove(fingerprint)
	return true
}

// Merge takes in what another pool knows. The graver state wins; a clearance
// frees a suspect only.
func (r *Registry) Merge(now time.Time, fingerprint uint64, s State, expiresIn time.Duration) {
	if fingerprint == 0 {
		return
	}
	if s == Clear {
		r.Clear(now, fingerprint)
		return
	}
	expires := now.Add(min(expiresIn, r.retention))
	if current := r.State(now, fingerprint); current > s || current == s && r.ExpiresIn(now, fingerprint) >= expiresIn {
		return
	}
	r.entries.Add(fingerprint, entry{s, expires})
}
