package poolhost

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/poolwire"
	"github.com/lycheekeel/lycheekeel/pool"
)

// recoveryTimeout is how long a new owner holds requests while reports of
// live entries are missing.
const recoveryTimeout = 250 * time.Millisecond

// recovery holds requests back from a new owner's scheduler until every live
// entry has reported its running requests, or recoveryTimeout has passed.
//
// Entries find a new owner some tens of milliseconds apart. Without recovery,
// the requests of the first entry would be granted slots that requests of the
// other entries still occupy, and each restart of a daemon would put servers
// over their slots. After the timeout, the scheduler withholds the share of
// the missing entries until they report.
type recovery struct {
	started time.Time
	done    bool
	held    []heldEnqueue
}

type heldEnqueue struct {
	ev         pool.Enqueue
	receivedAt time.Time
}

// enqueue feeds a request to the scheduler, or holds it during recovery.
func (r *Runtime) enqueue(ev pool.Enqueue) {
	if r.recovery.done {
		r.feed(ev)
		return
	}
	r.recovery.held = append(r.recovery.held, heldEnqueue{ev, r.now})
}

// finishRecovery ends the recovery when all entries have reported or the
// timeout has passed, and feeds the held requests to the scheduler.
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

// delayedBy returns the event as if it had been sent later by d.
func (h heldEnqueue) delayedBy(d time.Duration) pool.Enqueue {
	ev := h.ev
	ev.Waited += d
	ev.DeadlineIn -= d
	if ev.FirstTokenIn != 0 {
		ev.FirstTokenIn -= d
	}
	return ev
}

// allReported reports whether the entry of every live member has reported.
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
