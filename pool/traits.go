package pool

import "time"

// Traits enable scheduling decisions that only some services need, according to their
// routes. The zero value enables none.
type Traits struct {
	// DeferLate lets late requests of all tiers wait until their deadlines, behind the
	// on-time ones of all tiers.
	DeferLate bool
	// PauseTarget is the target for the longest gap between two events of a stream, each of
	// TokensPerEvent tokens; zero means no target.
	PauseTarget    time.Duration
	TokensPerEvent int
	// Overlap lets a server of a plain service have more granted calls than slots, so that
	// a slot has its next call ready when it becomes free.
	Overlap bool
	// PreferZone prefers servers in the zone of a request's entry.
	PreferZone bool
}

// TraitsSet replaces the pool's traits.
type TraitsSet struct{ Traits }

func (TraitsSet) event() {}
