package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/suspect"
)

// lostAnswerTTL is how long a lost answer is remembered until its server is known to be
// gone. The entry of a crashed server expires within this time.
const lostAnswerTTL = 8 * time.Second

// lostAnswer is an answer that was lost while nobody knew what had become of its server.
type lostAnswer struct {
	fingerprint uint64
	at          time.Time
}

// countsCrashes reports whether suspects run beside other requests, and are confirmed by
// the number of servers that crash under them.
func (p *Pool) countsCrashes() bool { return p.cfg.ConfirmAfterCrashes > 0 && !p.isBaseline() }

// answerLost remembers a lost answer, or counts the crash if its server is known to be
// gone. A server that is leaving breaks off what it has not finished.
func (p *Pool) answerLost(r *run) {
	s := r.server
	switch {
	case !p.countsCrashes() || r.fingerprint == 0:
	case !s.goneSince.IsZero():
		p.countCrash(s, []uint64{r.fingerprint})
	case p.leaving(s):
	default:
		s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(a lostAnswer) bool { return p.now.Sub(a.at) > lostAnswerTTL })
		if len(s.lostAnswers) < maxLostRuns {
			s.lostAnswers = append(s.lostAnswers, lostAnswer{r.fingerprint, p.now})
		}
	}
}

func (p *Pool) leaving(s *server) bool {
	return !s.configured || s.health == HealthLeaving || p.now.Before(s.leavingUntil)
}

// serverGone notes that a server's process has ended, and counts the crash for the
// contents whose answers were lost with it.
//
// A lost answer alone proves nothing: connections are reset and answers get lost while
// their servers work on.
func (p *Pool) serverGone(s *server) {
	if !p.countsCrashes() {
		return
	}
	if s.goneSince.IsZero() {
		s.goneSince, s.room.accepted = p.now, 0
		p.pauseServer(s)
	}
	var contents []uint64
	for _, a := range s.lostAnswers {
		if p.now.Sub(a.at) <= lostAnswerTTL {
			contents = append(contents, a.fingerprint)
		}
	}
	s.lostAnswers = nil
	p.countCrash(s, contents)
}

// serverWorks notes that a server has answered a run. What was lost before the run was
// granted, was not lost by a crash.
func (p *Pool) serverWorks(r *run) {
	p.endServerRate(r)
	p.endBrittle(r)
	p.pathWorks(r)
	s := r.server
	if len(s.lostAnswers) > 0 {
		s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(a lostAnswer) bool { return a.at.Before(r.grantedAt) })
	}
	if s.goneSince.Before(r.grantedAt) {
		s.goneSince = time.Time{}
	}
}

// forgetLostAnswers forgets the lost answers of a content that a server has run to its end.
func (p *Pool) forgetLostAnswers(fingerprint uint64) {
	for _, s := range p.sorted {
		if len(s.lostAnswers) > 0 {
			s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(a lostAnswer) bool { return a.fingerprint == fingerprint })
		}
	}
}

// serverDisappeared handles a server that is not listed any more. If it had not announced
// that it leaves, and answers were lost before, it has crashed.
func (p *Pool) serverDisappeared(s *server) {
	if len(s.lostAnswers) > 0 && s.health != HealthLeaving && !p.now.Before(s.leavingUntil) {
		p.serverGone(s)
	}
}

// countCrash counts a server's crash for the contents that it ran.
func (p *Pool) countCrash(s *server, contents []uint64) {
	slices.Sort(contents)
	contents = slices.Compact(contents)
	incarnation := s.info.Name + "/" + s.info.Incarnation
	counted := 0
	for _, f := range contents {
		if !p.suspects.AddCrash(p.now, f, incarnation) {
			continue
		}
		counted++
		p.shareRecord(f)
		if p.suspects.State(p.now, f) == suspect.Confirmed {
			p.shedWaitingConfirmed(f)
		}
	}
	if counted > 0 {
		p.emit(ServerCrashed{Server: s.info.Name, Contents: counted})
	}
}

// shareRecord announces what is known of a fingerprint.
func (p *Pool) shareRecord(fingerprint uint64) {
	p.emit(ShareSuspect(NewSuspectShared(fingerprint, p.suspects.Record(p.now, fingerprint))))
}

// beginTrial lets a request with a confirmed content run if a trial is due. Without
// trials, a content that ran beside the one that crashes servers each time would be refused for as
// long as that one.
func (p *Pool) beginTrial(w *waiter) {
	if p.countsCrashes() && !w.trial {
		w.trial = p.suspects.BeginTrial(p.now, w.Fingerprint)
	}
}

// countTrial notes that a trial has got its slot.
func (p *Pool) countTrial(w *waiter) {
	if w.trial {
		p.suspects.CountTrial(p.now, w.Fingerprint)
		p.shareRecord(w.Fingerprint)
	}
}
