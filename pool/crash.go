package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// crashWindow is the time within which several signs of a crash count as one crash.
	crashWindow = 5 * time.Second
	// suspectRetryAfter is the Retry-After of a suspect that is shed.
	suspectRetryAfter = 5 * time.Second
	// maxIsolatedSuspects limits the number of waiting suspects.
	maxIsolatedSuspects = 64
	// maxLostRuns limits the number of lost runs remembered per server.
	maxLostRuns = 256
)

// isolated reports whether the request waits in the queue of suspects.
func (w *waiter) isolated() bool { return w.suspect }

func (p *Pool) shedConfirmed(w *waiter) {
	retryIn := p.suspects.RetryIn(p.now, w.Fingerprint)
	for _, f := range p.refusedFor(w) {
		retryIn = max(retryIn, p.suspects.RetryIn(p.now, f))
	}
	p.emit(Shed{Request: w.Request, Entry: w.Entry, Reason: request.ReasonSuspectConfirmed, RetryAfter: retryIn})
}

// admitSuspect queues a suspect until it can run alone.
func (p *Pool) admitSuspect(w *waiter) {
	if p.isolated.Len() >= maxIsolatedSuspects {
		p.shed(&w.Enqueue, request.ReasonSuspectBusy, suspectRetryAfter)
		return
	}
	w.suspect = true
	w.Class, w.Due = 0, w.deadline
	p.waiting[w.Request] = w
	p.isolated.Push(&w.Item)
}

// scheduleSuspects runs suspects, one at a time per pool. It drains a server for the
// suspect and grants nothing else there until the suspect has ended. Otherwise a crash
// would not prove that the suspect caused it, and would harm other requests.
func (p *Pool) scheduleSuspects() {
	if p.isolation != nil && !p.up(p.isolation) && len(p.isolation.running) == 0 {
		p.isolation = nil
	}
	for p.isolated.Len() > 0 && !p.suspectRunning() {
		w := p.nextSuspect()
		switch p.suspectState(w) {
		case suspect.Confirmed:
			p.removeWaiter(w)
			p.shedConfirmed(w)
			continue
		case suspect.Clear:
			p.readmitCleared(w)
			continue
		}
		if p.isolation == nil || len(p.isolation.running) == 0 && (!w.mayRunOn(p.isolation) || p.isClosedTo(w.Entry, p.isolation)) {
			p.isolation = p.pickIsolationServer(w)
		}
		if p.isolation == nil || len(p.isolation.running) > 0 || !p.acceptsNow(p.isolation) {
			return
		}
		p.grant(w, p.predict(w, p.isolation))
		return
	}
	if p.isolated.Len() == 0 && !p.suspectRunning() {
		p.isolation = nil
	}
}

func (p *Pool) suspectRunning() bool {
	return p.isolation != nil && slices.ContainsFunc(p.isolation.running, func(r *run) bool { return r.suspect })
}

func (p *Pool) nextSuspect() *waiter {
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		if it := p.isolated.Head(t, 0); it != nil {
			return it.Value
		}
	}
	return nil
}

// readmitCleared moves a request that is no longer a suspect to the regular queue.
func (p *Pool) readmitCleared(w *waiter) {
	p.removeWaiter(w)
	w.suspect = false
	w.Due = p.latestStart(w)
	p.admit(w)
}

// pickIsolationServer returns the server with the fewest running requests for a suspect. It skips a
// server that has just crashed and has not recovered: another crash could not be told
// from the last one, and would confirm no suspect.
func (p *Pool) pickIsolationServer(w *waiter) *server {
	var best *server
	for _, s := range p.sorted {
		ambiguous := !s.crashedAt.IsZero() && s.recoveredAt.IsZero() && p.now.Sub(s.crashedAt) <= crashWindow
		if p.up(s) && !ambiguous && w.mayRunOn(s) && !p.isClosedTo(w.Entry, s) && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

// suspectEnded frees the server of a suspect that ran alone. A suspect that was not
// dispatched, or whose caller left, remains a suspect.
func (p *Pool) suspectEnded(r *run, _ Outcome) {
	if p.isolation == r.server {
		p.isolation = nil
	}
}

// recordLostRun remembers a run whose stream was lost. The health monitor only reports
// later whether its server crashed.
func (p *Pool) recordLostRun(r *run) {
	s := r.server
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(x *run) bool { return p.now.Sub(x.lastReport) > crashWindow })
	r.lastReport = p.now
	if len(s.lostRuns) < maxLostRuns {
		s.lostRuns = append(s.lostRuns, r)
	}
}

// serverCrashed makes a suspect of every request that ran on a server when it crashed.
// A suspect that ran alone is confirmed. A crash is reported several times: by the entry
// of each run and by the health monitor. Reports within crashWindow count as one crash.
// A run that started after the first report is not involved, unless the server recovered
// in between: then it is a second crash.
func (p *Pool) serverCrashed(s *server, reporter *run) {
	if p.isBaseline() {
		return
	}
	secondCrash := reporter != nil && !s.recoveredAt.IsZero() && !reporter.grantedAt.Before(s.recoveredAt)
	if s.crashedAt.IsZero() || p.now.Sub(s.crashedAt) > crashWindow || secondCrash {
		s.crashedAt, s.recoveredAt = p.now, time.Time{}
		p.pauseServer(s)
		p.forgetCache(s)
	}
	crashTime := s.crashedAt
	affected := slices.Concat(s.running, s.lostRuns)
	if reporter != nil && !slices.Contains(affected, reporter) {
		affected = append(affected, reporter)
	}
	for _, r := range affected {
		if r.crashed || r.grantedAt.After(crashTime) || !slices.Contains(s.running, r) && p.now.Sub(r.lastReport) > crashWindow {
			continue
		}
		r.crashed = true
		p.markSuspect(r)
	}
	s.lostRuns = nil
}

func (p *Pool) markSuspect(r *run) {
	if r.fingerprint == 0 {
		return
	}
	if r.suspect {
		p.suspects.Confirm(p.now, r.fingerprint)
		p.shareRecord(r.fingerprint)
		p.shedWaitingConfirmed()
		return
	}
	if p.suspects.MarkSuspected(p.now, r.fingerprint) {
		p.shareRecord(r.fingerprint)
	}
}

// shedWaitingConfirmed sheds the waiting requests that are confirmed to crash servers.
func (p *Pool) shedWaitingConfirmed() {
	for _, w := range p.sortedWaiters() {
		if p.suspectState(w) == suspect.Confirmed {
			p.removeWaiter(w)
			p.shedConfirmed(w)
		}
	}
}

// mergeSuspect merges a fingerprint's state that another pool found.
func (p *Pool) mergeSuspect(e SuspectShared) {
	p.suspects.Merge(p.now, e.Fingerprint, e.Record())
	if p.suspects.State(p.now, e.Fingerprint) == suspect.Confirmed {
		p.shedWaitingConfirmed()
	}
	p.shareWithdrawn()
}
