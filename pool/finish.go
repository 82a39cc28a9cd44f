package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// finishesTooLate reports whether an answer is expected to end after its deadline with an
// option, while another server could still end it in time. The request then waits for such a
// server, at most for its maximum wait, unless nobody else takes the slot. Infeasible requests
// take any server.
//
// Without it, long answers that find no fast server free are sent to slow or crowded ones.
// Each of them occupies a slot until its deadline, and its caller gets nothing. The symptom
// is streams that are cut off at the deadline.
func (p *Pool) finishesTooLate(w *waiter, o option) bool {
	if !p.cfg.Traits.FinishInTime || p.takeAnyServer || w.Class == tier.Infeasible || !w.lengthExpected() {
		return false
	}
	if !p.now.Add(p.runTime(w, o)).After(w.deadline) {
		return false
	}
	if !p.couldEndInTime(w) {
		return false
	}
	p.passedOver = true
	if !w.passedOver {
		w.passedOver = true
		p.tally[w.Item.Tier].PassedOver++
	}
	return true
}

// contentionMemory is how long after the last refusal for want of a slot a pool counts as
// contended.
const contentionMemory = time.Second

// schedulePassedOver grants the remaining slots to requests that finishesTooLate has kept
// from them, unless the pool is contended. A slot that nobody else wants is better used by an
// answer that may be cut off than by none: the estimate of its length may be wrong.
//
// In an overload short requests are refused after a small part of their target, so that often
// none waits at the moment when a slot comes free, but the next one is about to arrive.
func (p *Pool) schedulePassedOver() {
	if !p.passedOver || p.now.Sub(p.contendedAt) < contentionMemory {
		return
	}
	p.takeAnyServer = true
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		if p.queue.Waiting(t) > 0 && !p.scheduleTier(t) {
			break
		}
	}
	p.takeAnyServer = false
}

// couldEndInTime reports whether an answer could end before its deadline on a server that
// the request may use, if nothing else ran there.
//
// If other servers counted, the rest of a stream would wait for a faster server of another
// version, and a retry for the server that failed it, until both are shed.
func (p *Pool) couldEndInTime(w *waiter) bool {
	if _, whole := p.fastestTimes(w.PromptTokens, w.length.Mean); p.now.Add(whole).After(w.deadline) {
		return false
	}
	return slices.ContainsFunc(p.sorted, func(s *server) bool {
		if !p.up(s) || s.breaker.open || p.anyHealthy && (s.straggler || s.overdue) || p.mustAvoid(w, s) {
			return false
		}
		whole := s.latency.FirstToken(w.PromptTokens) + time.Duration(w.length.Mean)*s.latency.DecodeStep(1)
		return !p.now.Add(whole).After(w.deadline)
	})
}

// noteContention notes that a request is refused at the end of its maximum wait. Those that
// were kept from slots say nothing about the number of slots.
func (p *Pool) noteContention(w *waiter) {
	if !w.passedOver {
		p.contendedAt = p.now
	}
}

// lengthExpected reports whether there is an estimate of the answer's length other than
// its cap.
func (w *waiter) lengthExpected() bool { return w.length.Known || w.ExpectedTokens > 0 }
