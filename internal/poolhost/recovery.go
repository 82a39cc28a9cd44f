package poolhost

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
)

// recoveryTimeout is how long a new owner's requests wait for the reports of the
// entries that it has not heard of.
const recoveryTimeout = 250 * time.Millisecond

// recovery holds requests back from a new owner's scheduler until every live
// entry has told what it runs, or a moment has passed.
//
// Entries find a new owner some tens of milliseconds after one another. What
// goes wrong without this: the first one's requests are granted the slots
// that the others' are still using; one would see servers over their slots at
// each restart of a daemon. After the moment the scheduler grants the missing
// entries' share only as they report.
type recovery struct {
	started time.Time
	done    bool
	held    []heldEnqueue
}

type heldEnqueue struct {
	ev         pool.Enqueue
	receivedAt time.Time
}

// enqueue feeds a request, or holds it.
func (r *Runtime) enqueue(ev pool.Enqueue) {
	if r.recovery.done {
		r.feed(ev)
		return
	}
	r.recovery.held = append(r.recovery.held, heldEnqueue{ev, r.now})
}

// finishRecovery feeds the held requests when it is time.
func (r *Runtime) finishRecovery() {
	s := &r.recovery
	if s.done || (r.now.Sub(s.started) < recoveryTimeout && !r.allReported()) {
		return
	}
	s.done = true
	for _, h := range s.held {
		e := r.entries[h.ev.Entry]
		if e == nil {
			continue
		}
		if _, waiting := e.waiting[h.ev.Request]; !waiting {
			continue
		}
		r.feed(h.delayedBy(r.now.Sub(h.receivedAt)))
	}
	s.held = nil
}

// delayedBy returns the event as if sent that much later.
func (h heldEnqueue) delayedBy(d time.Duration) pool.Enqueue {
	ev := h.ev
	ev.Waited += d
	ev.DeadlineIn -= d
	if ev.FirstTokenIn != 0 {
		ev.FirstTokenIn -= d
	}
	return ev
}

// allReported tells whether every live member's entry has reported.
func (r *Runtime) allReported() bool {
	reported := map[string]bool{}
	for id, e := range r.entries {
		if e.reported {
			reported[poolwire.MemberOf(id)] = true
		}
	}
	for _, m := range r.members {
		if !reported[m] {
			return false
		}
	}
	return true
}
