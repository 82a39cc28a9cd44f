// Package rollout is the aggregate of the moves of a service to another version of its
// servers: which servers a request may be sent to meanwhile, how much of the traffic is
// canary requests to the new version, what its answers tell of it against the stable
// version's, and when it is promoted or rolled back. It has no clock and calls nobody.
package rollout

import "time"

// State is how far a rollout is, as the platform's store has it.
type State uint8

// The states. An outcome (Succeeded or RolledBack) is final.
const (
	Running State = iota
	Succeeded
	RolledBack
)

// String returns the state's name for the log.
func (s State) String() string {
	switch s {
	case Succeeded:
		return "succeeded"
	case RolledBack:
		return "rolled back"
	default:
		return "running"
	}
}

// ID names a rollout among all that there ever are.
type ID struct {
	Service string
	To      string
	// Created is the revision at which the rollout's object was created. One that is
	// withdrawn and requested again is another one.
	Created uint64
}

// Rollout is an operator's request to move a service's traffic to the servers of a
// version, and what has become of it.
type Rollout struct {
	ID
	// Duration is how long the move may take, from the request on.
	Duration time.Duration
	// Revision is of the object's last write. An outcome is written on the condition
	// that it still holds, so that there is only one.
	Revision uint64
	State    State
	// Acknowledged is set once the operators were told that it runs.
	Acknowledged bool
	// Unreadable is set where the request could not be decoded: it names no version.
	Unreadable bool
}

// InProgress tells whether the rollout has no outcome yet.
func (r Rollout) InProgress() bool { return r.State == Running && !r.Unreadable }

// latest returns which of two readings of a rollout holds.
func (r Rollout) latest(next Rollout) Rollout {
	if next.Created == r.Created && next.Revision < r.Revision {
		return r
	}
	return next
}

// Set holds the rollouts by service, as they were read.
type Set map[string]Rollout

// Put takes a reading of a rollout, and reports whether it is news. Readings may come
// late: one that is older than what is known changes nothing.
func (s Set) Put(next Rollout) bool {
	known, ok := s[next.Service]
	if ok {
		next = known.latest(next)
	}
	s[next.Service] = next
	return !ok || next != known
}

// Replace takes a reading of all rollouts, and reports whether it is news.
func (s Set) Replace(all []Rollout) bool {
	present := make(map[string]bool, len(all))
	changed := false
	for _, next := range all {
		present[next.Service] = true
		changed = s.Put(next) || changed
	}
	for service := range s {
		if !present[service] {
			delete(s, service)
			changed = true
		}
	}
	return changed
}
