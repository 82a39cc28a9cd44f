// Package rollout moves the traffic of a service to another version of its servers. It
// decides which servers a request may use meanwhile, how many requests are canaries on the
// new version, how the new version compares with the stable one, and whether it is promoted
// or rolled back. It has no clock and makes no calls.
package rollout

import "time"

// State is the state of a rollout in the platform's store.
type State uint8

// The states. Succeeded and RolledBack are final.
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

// ID identifies a rollout. It is never reused.
type ID struct {
	Service string
	To      string
	// Created is the revision at which the rollout's object was created. A rollout that is
	// withdrawn and requested again has another one.
	Created uint64
}

// Rollout is an operator's request to move a service's traffic to the servers of a version,
// together with its state.
type Rollout struct {
	ID
	// Duration is the time limit of the rollout, counted from the request.
	Duration time.Duration
	// Revision is that of the object's last write. The final state is written on condition
	// that the revision is unchanged, so there is only one.
	Revision uint64
	State    State
	// Acknowledged is set once the operators were told that the rollout is in progress.
	Acknowledged bool
	// OutcomeLost is set if the store has lost the final state, which has to be written again.
	OutcomeLost bool
	// Unreadable is set if the request could not be decoded. It then names no version.
	Unreadable bool
}

// InProgress reports whether the rollout is readable and has no final state yet.
func (r Rollout) InProgress() bool { return r.State == Running && !r.Unreadable }

// latest returns the newer of two readings of a rollout. A final state stays: the store that
// shows an earlier one later was restored from a backup.
func (r Rollout) latest(next Rollout) Rollout {
	if next.Created == r.Created && next.Revision < r.Revision {
		return r
	}
	if next.ID == r.ID && r.State != Running && next.State == Running && !next.Unreadable {
		next.State, next.OutcomeLost = r.State, true
	}
	return next
}

// Set holds the latest reading of the rollout of each service.
type Set map[string]Rollout

// Put adds a reading of a rollout, and reports whether the set has changed. Readings may
// arrive late: one that is older than the known one has no effect.
func (s Set) Put(next Rollout) bool {
	known, ok := s[next.Service]
	if ok {
		next = known.latest(next)
	}
	s[next.Service] = next
	return !ok || next != known
}

// Replace sets the readings of all rollouts, and reports whether the set has changed.
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
