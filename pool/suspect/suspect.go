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
	Convicted
)

// maxKnown bounds the fingerprints remembered; the least recently seen go
// first.
const maxKnown = 4096

type record struct {
	state   State
	expires time.Time
}

// Register is what one pool knows of fingerprints.
type Register struct {
	known *simplelru.LRU[uint64, record]
	keep  time.Duration
}

// NewRegister returns an empty register that keeps each verdict for so long.
func NewRegister(keep time.Duration) *Register {
	known, err := simplelru.NewLRU[uint64, record](maxKnown, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &Register{known: known, keep: keep}
}

// State returns what is known of a fingerprint. Zero is no fingerprint and
// always clear.
func (r *Register) State(now time.Time, fingerprint uint64) State {
	if r.known.Len() == 0 || fingerprint == 0 {
		return Clear
	}
	rec, ok := r.known.Get(fingerprint)
	if !ok {
		return Clear
	}
	if !now.Before(rec.expires) {
		r.known.Remove(fingerprint)
		return Clear
	}
	return rec.state
}

// ExpiresIn returns how long a verdict still holds.
func (r *Register) ExpiresIn(now time.Time, fingerprint uint64) time.Duration {
	rec, ok := r.known.Peek(fingerprint)
	if !ok {
		return 0
	}
	return max(0, rec.expires.Sub(now))
}

// Suspect makes a fingerprint a suspect, unless it is convicted. It reports
// whether that changed anything.
func (r *Register) Suspect(now time.Time, fingerprint uint64) bool {
	if fingerprint == 0 || r.State(now, fingerprint) != Clear {
		return false
	}
	r.known.Add(fingerprint, record{Suspected, now.Add(r.keep)})
	return true
}

// Convict convicts a fingerprint.
func (r *Register) Convict(now time.Time, fingerprint uint64) {
	if fingerprint != 0 {
		r.known.Add(fingerprint, record{Convicted, now.Add(r.keep)})
	}
}

// Release clears a suspect that finished. A convict stays one: what one run
// has proved, another that happened to end earlier doesn't disprove. It
// reports whether that changed anything.
func (r *Register) Release(now time.Time, fingerprint uint64) bool {
	if r.State(now, fingerprint) != Suspected {
		return false
	}
	r.known.Remove(fingerprint)
	return true
}

// Merge takes in what another pool knows. The graver state wins; a clearance
// frees a suspect only.
func (r *Register) Merge(now time.Time, fingerprint uint64, s State, expiresIn time.Duration) {
	if fingerprint == 0 {
		return
	}
	if s == Clear {
		r.Release(now, fingerprint)
		return
	}
	expires := now.Add(min(expiresIn, r.keep))
	if have := r.State(now, fingerprint); have > s || have == s && r.ExpiresIn(now, fingerprint) >= expiresIn {
		return
	}
	r.known.Add(fingerprint, record{s, expires})
}
