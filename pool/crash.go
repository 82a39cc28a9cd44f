package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// crashWindow is the time within which signs of a crash are signs of one.
	crashWindow = 5 * time.Second
	// suspectRetryAfter is the wait told to a suspect that must come back.
	suspectRetryAfter = 5 * time.Second
	// maxIsolatedSuspects bounds the suspects that wait.
	maxIsolatedSuspects = 64
	// maxLostRuns bounds the lost runs remembered of a server.
	maxLostRuns = 256
)

// isolated tells whether the request waits among the suspects.
func (w *waiter) isolated() bool { return w.suspect }

func (p *Pool) shedConfirmed(w *waiter) {
	p.emit(Shed{
		Request: w.Request, Entry: w.Entry, Reason: request.ReasonConvicted,
		RetryAfter: p.suspects.ExpiresIn(p.now, w.Fingerprint),
	})
}

// admitSuspect lets a suspect wait for its turn to run alone.
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

// scheduleSuspects runs suspects, one at a time in the pool: a server is emptied
// for it, and nothing else is granted there until it has ended. Otherwise a
// crash would prove nothing of it and harm others.
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
		if p.isolation == nil {
			p.isolation = p.pickIsolationServer()
		}
		if p.isolation == nil || len(p.isolation.running) > 0 || !p.up(p.isolation) {
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

// readmitCleared puts a request that is no suspect any more among the others.
func (p *Pool) readmitCleared(w *waiter) {
	p.removeWaiter(w)
	w.suspect = false
	w.Due = p.latestStart(w)
	p.admit(w)
}

// pickIsolationServer returns the server with the least running, for a suspect. Where a
// server has just crashed and was not seen to run since, another crash could
// not be told from the last one, and would convict nobody.
func (p *Pool) pickIsolationServer() *server {
	var best *server
	for _, s := range p.sorted {
		ambiguous := !s.crashedAt.IsZero() && s.recoveredAt.IsZero() && p.now.Sub(s.crashedAt) <= crashWindow
		if p.up(s) && !ambiguous && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

// suspectEnded frees the server of a suspect that ran alone. One that was not
// dispatched, or whose caller left, stays a suspect.
func (p *Pool) suspectEnded(r *run, _ Outcome) {
	if p.isolation == r.server {
		p.isolation = nil
	}
}

// recordLostRun remembers a run that was lost with its stream: whether its server
// crashed is told only later, by the monitor.
func (p *Pool) recordLostRun(r *run) {
	s := r.server
	s.lostRuns = slices.DeleteFunc(s.lostRuns, func(x *run) bool { return p.now.Sub(x.lastReport) > crashWindow })
	r.lastReport = p.now
	if len(s.lostRuns) < maxLostRuns {
		s.lostRuns = append(s.lostRuns, r)
	}
}

// serverCrashed makes a suspect of every request that ran on a server when it
// crashed; one that ran alone as a suspect is convicted. A crash shows several
// times: at each of its runs' entries and at the monitor. Signs within a short
// time are one crash; a run that began after the first sign had no part in it,
// unless the server was seen to run again before: then it crashed again.
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
		p.shareSuspect(r.fingerprint, SuspectConfirmed)
		p.shedWaitingConfirmed(r.fingerprint)
		return
	}
	if p.suspects.MarkSuspected(p.now, r.fingerprint) {
		p.shareSuspect(r.fingerprint, Suspected)
	}
}

func (p *Pool) shareSuspect(fingerprint uint64, s SuspectState) {
	p.emit(ShareSuspect{Fingerprint: fingerprint, State: s, ExpiresIn: p.suspects.ExpiresIn(p.now, fingerprint)})
}

// shedWaitingConfirmed answers those that wait with a convicted fingerprint at once.
func (p *Pool) shedWaitingConfirmed(fingerprint uint64) {
	for _, w := range p.sortedWaiters() {
		if w.Fingerprint == fingerprint {
			p.removeWaiter(w)
			p.shedConfirmed(w)
		}
	}
}

// mergeSuspect takes in what another pool found out.
func (p *Pool) mergeSuspect(e SuspectShared) {
	p.suspects.Merge(p.now, e.Fingerprint, suspect.State(e.State), e.ExpiresIn)
	if p.suspects.State(p.now, e.Fingerprint) == suspect.Confirmed {
		p.shedWaitingConfirmed(e.Fingerprint)
	}
}
