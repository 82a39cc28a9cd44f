package request

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// State is a step in a request's life.
type State uint32

// The states, in order. A request never goes back, but for Granted, which
// returns to Queued while nothing was dispatched.
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

// ErrNoDispatchRight reports that the request's one dispatch right is gone:
// it was dispatched before, or it has ended.
var ErrNoDispatchRight = errors.New("dispatch right already taken")

// ErrBadTransition reports a step that a request's life does not allow.
var ErrBadTransition = errors.New("transition not allowed")

// Lifecycle is the state machine of one request. All its methods are safe for
// concurrent use. The zero value is Received.
//
// What goes wrong without it: two paths (a late grant and a degraded-mode
// grant, say) each send the same request. One would notice two runs of one
// request in the engines' logs. Every path must win TakeDispatchRight, a
// single compare-and-swap, so the second one fails.
type Lifecycle struct {
	state atomic.Uint32
}

// State returns the current state.
func (l *Lifecycle) State() State { return State(l.state.Load()) }

// Advance moves from one state to another. It returns ErrBadTransition when
// the life is not in from, or when the step is not allowed.
func (l *Lifecycle) Advance(from, to State) error {
	if !allowed(from, to) {
		return errors.Wrapf(ErrBadTransition, "%s to %s", from, to)
	}
	if !l.state.CompareAndSwap(uint32(from), uint32(to)) {
		return errors.Wrapf(ErrBadTransition, "%s to %s while %s", from, to, l.State())
	}
	return nil
}

// TakeDispatchRight takes the one right to dispatch. After it returned nil,
// it returns ErrNoDispatchRight to every other call.
func (l *Lifecycle) TakeDispatchRight() error {
	for _, from := range []State{Granted, Claimed} {
		if l.state.CompareAndSwap(uint32(from), uint32(Dispatched)) {
			return nil
		}
	}
	return errors.Wrapf(ErrNoDispatchRight, "state %s", l.State())
}

// End ends the life from any state and returns the state it was in. Only the
// first call returns true.
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
		return false // to Dispatched and Ended only by their own methods
	}
}
