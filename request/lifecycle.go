package request

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// State is a step in a request's lifecycle.
type State uint32

// The states, in order. A request never returns to an earlier state, except from Granted or
// Claimed to Queued while nothing was dispatched.
const (
	Received State = iota
	Queued
	Granted
	Claimed
	Dispatched
	Ended
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"received", "queued", "granted", "claimed", "dispatched", "ended"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// ErrNoDispatchRight reports that the request's only dispatch right is not available: the
// request was dispatched before, or it has ended.
var ErrNoDispatchRight = errors.New("dispatch right already taken")

// ErrBadTransition reports a state transition that is not allowed.
var ErrBadTransition = errors.New("transition not allowed")

// Lifecycle is the state machine of one request. All its methods are safe for concurrent
// use. The zero value is Received.
//
// Without it, two paths, such as a late grant and a grant in degraded mode, could both send
// the same request, and it would run twice. Every path must win TakeDispatchRight, a single
// compare-and-swap, so the second one fails.
type Lifecycle struct {
	state atomic.Uint32
}

// State returns the current state.
func (l *Lifecycle) State() State { return State(l.state.Load()) }

// Advance moves from one state to another. It returns ErrBadTransition if the current state
// is not from, or if the transition is not allowed.
func (l *Lifecycle) Advance(from, to State) error {
	if !allowed(from, to) {
		return errors.Wrapf(ErrBadTransition, "%s to %s", from, to)
	}
	if !l.state.CompareAndSwap(uint32(from), uint32(to)) {
		return errors.Wrapf(ErrBadTransition, "%s to %s while %s", from, to, l.State())
	}
	return nil
}

// TakeDispatchRight takes the only right to dispatch. It returns nil to one caller at most,
// and ErrNoDispatchRight to every other one.
func (l *Lifecycle) TakeDispatchRight() error {
	for _, from := range []State{Granted, Claimed} {
		if l.state.CompareAndSwap(uint32(from), uint32(Dispatched)) {
			return nil
		}
	}
	return errors.Wrapf(ErrNoDispatchRight, "state %s", l.State())
}

// End moves to Ended from any state, and returns the previous state. Only the first call
// returns true.
func (l *Lifecycle) End() (State, bool) {
	was := State(l.state.Swap(uint32(Ended)))
	return was, was != Ended
}

func allowed(from, to State) bool {
	switch from {
	case Received:
		return to == Queued
	case Queued:
		return to == Granted
	case Granted:
		return to == Queued || to == Claimed
	case Claimed:
		return to == Queued
	default:
		return false // Dispatched and Ended are reached by their own methods only
	}
}
