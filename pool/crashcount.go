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
	run    *run
	sentAt time.Time
	at     time.Time
	// began is set if the answer had begun long before, so that no part of the prompt can
	// have crashed the server.
	began bool
}

// partCrashTime is how long after the first token of an answer a part of its prompt may still
// crash the server.
const partCrashTime = time.Second

func (p *Pool) newLostAnswer(r *run, e Release) lostAnswer {
	a := lostAnswer{run: r, sentAt: r.grantedAt, at: p.now, began: e.FirstToken > 0 && e.Total-e.FirstToken >= partCrashTime}
	if sent := p.now.Add(-e.Total); sent.Before(a.sentAt) {
		a.sentAt = sent
	}
	return a
}

// lossOf returns what is known of a run whose entry has not reported yet that it was lost.
func (p *Pool) lossOf(r *run) Release {
	e := Release{Total: p.now.Sub(r.grantedAt)}
	if r.firstToken {
		e.FirstToken = 1 // some time since
	}
	return e
}

// countsCrashes reports whether suspects run beside other requests, and are confirmed by
// the number of servers that crash under them.
func (p *Pool) countsCrashes() bool { return p.cfg.ConfirmAfterCrashes > 0 && !p.isBaseline() }

// answerLost remembers a lost answer, or counts the crash if its server is known to be
// gone. A server that is leaving breaks off what it has not finished.
func (p *Pool) answerLost(r *run, e Release) {
	s := r.server
	switch {
	case !p.countsCrashes():
	case !s.goneSince.IsZero():
		p.countCrash(s, []lostAnswer{p.newLostAnswer(r, e)})
	case !s.configured || p.leaving(s):
	default:
		s.lostAnswers = p.recent(s.lostAnswers)
		if len(s.lostAnswers) < maxLostRuns {
			s.lostAnswers = append(s.lostAnswers, p.newLostAnswer(r, e))
		}
	}
}

// recent removes the answers from a slice that were lost longer ago than lostAnswerTTL.
func (p *Pool) recent(lost []lostAnswer) []lostAnswer {
	return slices.DeleteFunc(lost, func(a lostAnswer) bool { return p.now.Sub(a.at) > lostAnswerTTL })
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
	lost := p.recent(s.lostAnswers)
	s.lostAnswers = nil
	p.countCrash(s, lost)
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
			s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(a lostAnswer) bool { return a.run.fingerprint == fingerprint })
		}
	}
}

// serverDisappeared handles a server that is not listed any more. If it had not announced
// that it leaves, and answers were lost before, it has crashed.
func (p *Pool) serverDisappeared(s *server) {
	if len(s.lostAnswers) > 0 && !p.leaving(s) {
		p.serverGone(s)
	}
}

// countCrash counts a server's crash for the contents that it ran, and for the parts of the
// prompts whose answers had just begun.
func (p *Pool) countCrash(s *server, lost []lostAnswer) {
	incarnation := s.info.Name + "/" + s.info.Incarnation
	with, all := p.promptsWith(lost), len(p.waiting)+len(p.byGrant)
	var contents, parts int
	confirmed := false
	for _, a := range lost {
		if f := a.run.fingerprint; p.suspects.AddCrash(p.now, f, incarnation) {
			contents++
			p.shareRecord(f)
			confirmed = confirmed || p.suspects.State(p.now, f) == suspect.Confirmed
		}
		if a.began {
			continue
		}
		p.suspects.RunLost()
		crash := suspect.Crash{Server: incarnation, Workspace: a.run.workspace, SentAt: a.sentAt, LostAt: a.at}
		for _, f := range a.run.parts {
			// One that finished before and is in most prompts is in each crash, whatever the reason.
			if 2*with[f] <= all && p.suspects.AddPartCrash(p.now, f, crash) {
				parts++
				p.sharePart(f)
				confirmed = confirmed || p.suspects.State(p.now, f) == suspect.Confirmed
			}
		}
	}
	if confirmed {
		p.shedWaitingConfirmed()
	}
	p.shareWithdrawn()
	if contents+parts > 0 {
		p.emit(ServerCrashed{Server: s.info.Name, Contents: contents, Parts: parts})
	}
}

// promptsWith counts how many prompts now hold each part of lost runs that was in finished
// answers.
func (p *Pool) promptsWith(lost []lostAnswer) map[uint64]int {
	with := map[uint64]int{}
	for _, a := range lost {
		for _, f := range a.run.parts {
			if p.suspects.HasFinished(f) {
				with[f] = 0
			}
		}
	}
	count := func(parts []uint64) {
		for _, f := range parts {
			if n, ok := with[f]; ok {
				with[f] = n + 1
			}
		}
	}
	if len(with) > 0 {
		for _, r := range p.byGrant {
			count(r.parts)
		}
		for _, w := range p.waiting {
			count(w.Parts)
		}
	}
	return with
}

// sharedPartCrashes is the number of crashes under a part from which others hear of it. Most
// parts were beside the one that crashes servers, and finish soon.
const sharedPartCrashes = 2

func (p *Pool) sharePart(part uint64) {
	if len(p.suspects.Record(p.now, part).Crashes) >= sharedPartCrashes {
		p.shareRecord(part)
	}
}

// partsFinished clears the parts of the prompt of a run that has brought its whole answer.
func (p *Pool) partsFinished(r *run, e Release) {
	if !p.countsCrashes() || e.FirstToken == 0 {
		return
	}
	p.suspects.RunFinished()
	for _, f := range r.parts {
		shared := len(p.suspects.Record(p.now, f).Crashes) >= sharedPartCrashes
		if p.suspects.Finish(p.now, f) && shared {
			p.emit(ShareSuspect{Fingerprint: f, State: SuspectCleared, Part: true})
		}
	}
}

// refusedFor returns the fingerprints for which a request is refused: that of its content, and
// those of the parts of its prompt.
func (p *Pool) refusedFor(w *waiter) []uint64 {
	if !p.suspects.AnyConfirmed() {
		return nil
	}
	var out []uint64
	if p.suspects.State(p.now, w.Fingerprint) == suspect.Confirmed {
		out = append(out, w.Fingerprint)
	}
	for _, f := range w.Parts {
		if p.suspects.Refuses(p.now, f, w.Enqueue.Workspace) {
			out = append(out, f)
		}
	}
	return out
}

// shareRecord announces what is known of a fingerprint.
func (p *Pool) shareRecord(fingerprint uint64) {
	p.emit(ShareSuspect(NewSuspectShared(fingerprint, p.suspects.Record(p.now, fingerprint))))
}

// shareWithdrawn announces the verdicts that were withdrawn because another part explains
// their crashes.
func (p *Pool) shareWithdrawn() {
	for _, f := range p.suspects.TakeWithdrawn() {
		p.emit(ShareSuspect{Fingerprint: f, State: SuspectCleared, Part: true})
	}
}

// beginTrial lets a request that would be refused run if a trial is due. Without trials, what
// ran beside the request that crashes servers each time would be refused for as long as that
// one.
func (p *Pool) beginTrial(w *waiter) {
	if !p.countsCrashes() || w.trial {
		return
	}
	refused := p.refusedFor(w)
	if len(refused) == 0 || slices.ContainsFunc(refused, func(f uint64) bool { return !p.suspects.TrialDue(p.now, f) }) {
		return
	}
	for _, f := range refused {
		p.suspects.BeginTrial(p.now, f)
	}
	w.trial = true
}

// countTrial notes that a trial has got its slot.
func (p *Pool) countTrial(w *waiter) {
	if !w.trial {
		return
	}
	for _, f := range p.refusedFor(w) {
		p.suspects.CountTrial(p.now, f)
		p.shareRecord(f)
	}
}
