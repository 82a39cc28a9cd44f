// Package rollout is the aggregate of the moves of a service to another version of
// its servers: which servers a request may be sent to meanwhile, how much of the
// traffic tries the new version, what its answers tell of it, and when it is taken or
// taken back. It has no clock and calls nobody.
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

// ID names an order among all that there ever are.
type ID struct {
	Service string
	To      string
	// Created is the revision at which the order's object was created. An order that
	// is withdrawn and given again is another one.
	Created uint64
}

// Order asks to move a service's traffic to the servers of a version.
type Order struct {
	ID
	// Duration is how long the move may take, from the order on.
	Duration time.Duration
	// Revision is of the object's last write. An outcome is written on the condition
	// that it still holds, so that there is only one.
	Revision uint64
	State    State
	// Acknowledged is set once the operators were told that it runs.
	Acknowledged bool
}

// followedBy returns which of two readings of an order holds.
func (o Order) followedBy(next Order) Order {
	if next.Created == o.Created && next.Revision < o.Revision {
		return o
	}
	return next
}

// Orders are the orders by service, as they were read.
type Orders map[string]Order

// Put takes a reading of an order, and reports whether it is news. Readings may come
// late: one that is older than what is known changes nothing.
func (o Orders) Put(next Order) bool {
	known, ok := o[next.Service]
	if ok {
		next = known.followedBy(next)
	}
	o[next.Service] = next
	return !ok || next != known
}

// Replace takes a reading of all orders, and reports whether it is news.
func (o Orders) Replace(all []Order) bool {
	there := make(map[string]bool, len(all))
	news := false
	for _, next := range all {
		there[next.Service] = true
		news = o.Put(next) || news
	}
	for service := range o {
		if !there[service] {
			delete(o, service)
			news = true
		}
	}
	return news
}

// Arm is what a server is to the requests of its service.
type Arm uint8

// The arms.
const (
	// Off servers get no request: their version was rejected or replaced, or it is
	// not known yet whether there is an order for it.
	Off Arm = iota
	// Stable servers get every request that is not on trial.
	Stable
	// Trial servers get the requests on trial.
	Trial
)

// Versions remembers, for one service, which versions were found fit to serve it.
//
// What goes wrong without it: servers of another version appear without an order when
// a release replaces servers one by one, and they must serve; and they stay when an
// order is withdrawn, and must not. It is not safe for concurrent use.
type Versions struct {
	accepted map[string]bool
	rejected map[string]bool
}

// NewVersions returns a memory without any version.
func NewVersions() *Versions {
	return &Versions{accepted: map[string]bool{}, rejected: map[string]bool{}}
}

// Accepted tells whether servers of a version have served without an order.
func (v *Versions) Accepted(version string) bool { return v.accepted[version] }

// Arms returns the arm of each version of the servers that are there. The order is
// nil where there is none. Vetted tells whether the orders are known as of a moment at
// which servers of the version were there already.
func (v *Versions) Arms(order *Order, present []string, vetted func(version string) bool) map[string]Arm {
	arms := make(map[string]Arm, len(present))
	for _, version := range present {
		arms[version] = v.arm(order, version, len(present) == 1 || vetted(version), contains(present, order))
	}
	return arms
}

// contains tells whether the version of the order is among the versions.
func contains(present []string, order *Order) bool {
	for _, version := range present {
		if order != nil && version == order.To {
			return true
		}
	}
	return false
}

func (v *Versions) arm(order *Order, version string, vetted, newThere bool) Arm {
	switch {
	case order == nil || order.State == Running && version != order.To:
		return v.withoutOrder(version, vetted)
	case order.State == Running:
		return v.onTrial(version)
	case order.State == Succeeded && (version == order.To || !newThere):
		v.accept(version)
		return Stable
	case order.State == Succeeded: // replaced; servers of it stop
		return Off
	case version == order.To && !v.accepted[version]: // rolled back
		v.reject(version)
		return Off
	default:
		return v.withoutOrder(version, vetted)
	}
}

// withoutOrder returns the arm of a version for which no order holds.
func (v *Versions) withoutOrder(version string, vetted bool) Arm {
	if v.rejected[version] || !vetted && !v.accepted[version] {
		return Off
	}
	v.accept(version)
	return Stable
}

// onTrial returns the arm of the version that a running order moves to. It serves on
// where it served before the order: there is nothing to try.
func (v *Versions) onTrial(version string) Arm {
	if v.accepted[version] {
		return Stable
	}
	v.reject(version) // until the order's outcome
	return Trial
}

func (v *Versions) accept(version string) {
	v.accepted[version] = true
	delete(v.rejected, version)
}

func (v *Versions) reject(version string) {
	v.rejected[version] = true
	delete(v.accepted, version)
}
