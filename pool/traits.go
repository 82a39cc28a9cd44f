package pool

import "time"

// Traits enable scheduling decisions that only some services need, according to their
// routes. The zero value enables none.
type Traits struct {
	// FinishInTime keeps a request from servers on which its answer would end after its
	// deadline, while another server could still end it in time.
	FinishInTime bool
	// PauseTarget is the target for the longest gap between two events of a stream, each of
	// TokensPerEvent tokens; zero means no target.
	PauseTarget    time.Duration
	TokensPerEvent int
	// Patience is how long a caller of a stream waits for its first event.
	Patience Patience
	// Overlap lets a server of a plain service have more granted calls than slots, so that
	// a slot has its next call ready when it becomes free.
	Overlap bool
	// PreferZone prefers servers in the zone of a request's entry.
	PreferZone bool
}

// Patience is the time without an event after which callers abandon a stream: the longest
// of Min, TargetFactor times the first-event target and PauseFactor times the target for
// the longest gap between events. The zero value means that they wait until the deadline.
type Patience struct {
	Min                       time.Duration
	TargetFactor, PauseFactor float64
}

// of returns how long callers wait for an event, given their first-event target and the
// target for gaps; zero means until the deadline.
func (p Patience) of(firstEvent, gap time.Duration) time.Duration {
	return max(p.Min, time.Duration(p.TargetFactor*float64(firstEvent)), time.Duration(p.PauseFactor*float64(gap)))
}

// TraitsSet replaces the pool's traits.
type TraitsSet struct{ Traits }

func (TraitsSet) event() {}
