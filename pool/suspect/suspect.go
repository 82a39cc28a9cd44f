// Package suspect tracks requests that may crash servers, by fingerprint. Every
// request that ran on a server when it crashed becomes suspected. A suspected
// request runs alone: if its server crashes again it is confirmed, and if it
// finishes it is cleared. The number of entries is bounded, and they expire.
//
// A Registry is not safe for concurrent use.
package suspect

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// State is the state of a fingerprint.
type State uint8

// The states of a fingerprint, in ascending order of severity.
const (
	Clear State = iota
	Suspected
	Confirmed
)

// maxEntries is how many fingerprints are kept; the least recently used are
// evicted.
const maxEntries = 4096

type entry struct {
	state   State
	expires time.Time
}

// Registry holds the states of the fingerprints of one pool.
type Registry struct {
	entries   *simplelru.LRU[uint64, entry]
	retention time.Duration
}

// NewRegistry returns an empty registry whose entries expire after retention.
func NewRegistry(retention time.Duration) *Registry {
	entries, err := simplelru.NewLRU[uint64, entry](maxEntries, nil)
	if err != nil {
		panic(err) // fails only for a size below one
	}
	return &Registry{entries: entries, retention: retention}
}

// State returns the state of a fingerprint. Zero is no fingerprint and always
// Clear.
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

// ExpiresIn returns the time until the entry of a fingerprint expires, or zero if
// there is none.
func (r *Registry) ExpiresIn(now time.Time, fingerprint uint64) time.Duration {
	e, ok := r.entries.Peek(fingerprint)
	if !ok {
		return 0
	}
	return max(0, e.expires.Sub(now))
}

// MarkSuspected makes a clear fingerprint suspected. It reports whether the state
// changed.
func (r *Registry) MarkSuspected(now time.Time, fingerprint uint64) bool {
	if fingerprint == 0 || r.State(now, fingerprint) != Clear {
		return false
	}
	r.entries.Add(fingerprint, entry{Suspected, now.Add(r.retention)})
	return true
}

// Confirm makes a fingerprint confirmed.
func (r *Registry) Confirm(now time.Time, fingerprint uint64) {
	if fingerprint != 0 {
		r.entries.Add(fingerprint, entry{Confirmed, now.Add(r.retention)})
	}
}

// Clear clears a suspected fingerprint whose request finished. A confirmed one
// stays confirmed: a run that ends without a crash does not disprove an earlier
// one. Clear reports whether the state changed.
func (r *Registry) Clear(now time.Time, fingerprint uint64) bool {
	if r.State(now, fingerprint) != Suspected {
		return false
	}
	r.entries.Remove(fingerprint)
	return true
}

// Merge merges the state that another pool has for a fingerprint. The more severe
// state wins, except that Clear clears a suspected fingerprint. expiresIn is capped
// at the registry's retention.
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
