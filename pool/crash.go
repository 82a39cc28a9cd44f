package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// oneCrash is the time within which signs of a crash are signs of one.
	oneCrash = 5 * time.Second
	// suspectRetry is the wait told to a suspect that must come back.
	suspectRetry = 5 * time.Second
	// maxIsolated bounds the suspects that wait.
	maxIsolated = 64
	// maxLost bounds the lost runs remembered of a server.
	maxLost = 256
)

// isolated tells whether the request waits among the suspects.
func (w *waiter) isolated() bool { return w.alone }

func (p *Pool) shedConvict(w *waiter) {
	p.emit(Shed{
		Request: w.Request, Entry: w.Entry, Reason: request.ReasonConvicted,
		RetryAfter: p.suspects.ExpiresIn(p.now, w.Fingerprint),
	})
}

// admitSuspect lets a suspect wait for its turn to run alone.
func (p *Pool) admitSuspect(w *waiter) {
	if p.isolated.Len() >= maxIsolated {
		p.shed(&w.Enqueue, request.ReasonSuspectBusy, suspectRetry)
		return
	}
	w.alone = true
	w.Class, w.Due = 0, w.deadline
	p.waiting[w.Request] = w
	p.isolated.Push(&w.Item)
}

// scheduleAlone runs suspects, one at a time in the pool: a server is emptied
// for it, and nothing else is granted there until it has ended. Otherwise a
// crash would prove nothing of it and harm others.
func (p *Pool) scheduleAlone() {
	if p.alone != nil && !p.up(p.alone) && len(p.alone.running) == 0 {
		p.alone = nil
	}
	for p.isolated.Len() > 0 && !p.suspectRuns() {
		w := p.firstIsolated()
		switch p.verdict(w) {
		case suspect.Convicted:
			p.drop(w)
			p.shedConvict(w)
			continue
		case suspect.Clear:
			p.acquit(w)
			continue
		}
		if p.alone == nil {
			p.alone = p.emptiest()
		}
		if p.alone == nil || len(p.alone.running) > 0 || !p.up(p.alone) {
			return
		}
		p.grant(w, p.option(w, p.alone))
		return
	}
	if p.isolated.Len() == 0 && !p.suspectRuns() {
		p.alone = nil
	}
}

func (p *Pool) suspectRuns() bool {
	return p.alone != nil && slices.ContainsFunc(p.alone.running, func(r *run) bool { return r.alone })
}

func (p *Pool) firstIsolated() *waiter {
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		if it := p.isolated.Head(t, 0); it != nil {
			return it.Value
		}
	}
	return nil
}

// acquit puts a request that is no suspect any more among the others.
func (p *Pool) acquit(w *waiter) {
	p.drop(w)
	w.alone = false
	w.Due = p.latestStart(w)
	p.admit(w)
}

// emptiest returns the server with the least running, for a suspect. Where a
// server has just crashed and was not seen to run since, another crash could
// not be told from the last one, and would convict nobody.
func (p *Pool) emptiest() *server {
	var best *server
	for _, s := range p.order {
		unclear := !s.crashed.IsZero() && s.back.IsZero() && p.now.Sub(s.crashed) <= oneCrash
		if p.up(s) && !unclear && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

// aloneEnded frees the server of a suspect that ran alone. One that was not
// dispatched, or whose caller left, stays a suspect.
func (p *Pool) aloneEnded(r *run, _ Outcome) {
	if p.alone == r.server {
		p.alone = nil
	}
}

// lose remembers a run that was lost with its stream: whether its server
// crashed is told only later, by the monitor.
func (p *Pool) lose(r *run) {
	s := r.server
	s.lost = slices.DeleteFunc(s.lost, func(x *run) bool { return p.now.Sub(x.heard) > oneCrash })
	r.heard = p.now
	if len(s.lost) < maxLost {
		s.lost = append(s.lost, r)
	}
}

// serverCrashed makes a suspect of every request that ran on a server when it
// crashed; one that ran alone as a suspect is convicted. A crash shows several
// times: at each of its runs' entries and at the monitor. Signs within a short
// time are one crash; a run that began after the first sign had no part in it,
// unless the server was seen to run again before: then it crashed again.
func (p *Pool) serverCrashed(s *server, first *run) {
	if p.plain() {
		return
	}
	again := first != nil && !s.back.IsZero() && !first.since.Before(s.back)
	if s.crashed.IsZero() || p.now.Sub(s.crashed) > oneCrash || again {
		s.crashed, s.back = p.now, time.Time{}
		p.leaveAlone(s)
		p.forgetCache(s)
	}
	began := s.crashed
	ran := slices.Concat(s.running, s.lost)
	if first != nil && !slices.Contains(ran, first) {
		ran = append(ran, first)
	}
	for _, r := range ran {
		if r.crashed || r.since.After(began) || !slices.Contains(s.running, r) && p.now.Sub(r.heard) > oneCrash {
			continue
		}
		r.crashed = true
		p.accuse(r)
	}
	s.lost = nil
}

func (p *Pool) accuse(r *run) {
	if r.fingerprint == 0 {
		return
	}
	if r.alone {
		p.suspects.Convict(p.now, r.fingerprint)
		p.share(r.fingerprint, Convicted)
		p.shedConvicts(r.fingerprint)
		return
	}
	if p.suspects.Suspect(p.now, r.fingerprint) {
		p.share(r.fingerprint, Suspected)
	}
}

func (p *Pool) share(fingerprint uint64, s SuspectState) {
	p.emit(ShareSuspect{Fingerprint: fingerprint, State: s, ExpiresIn: p.suspects.ExpiresIn(p.now, fingerprint)})
}

// shedConvicts answers those that wait with a convicted fingerprint at once.
func (p *Pool) shedConvicts(fingerprint uint64) {
	for _, w := range p.waitingInOrder() {
		if w.Fingerprint == fingerprint {
			p.drop(w)
			p.shedConvict(w)
		}
	}
}

// learnSuspect takes in what another pool found out.
func (p *Pool) learnSuspect(e SuspectShared) {
	p.suspects.Merge(p.now, e.Fingerprint, suspect.State(e.State), e.ExpiresIn)
	if p.suspects.State(p.now, e.Fingerprint) == suspect.Convicted {
		p.shedConvicts(e.Fingerprint)
	}
}
