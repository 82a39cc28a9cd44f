package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/estimate"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// outputWeight is the number of prompt tokens that cost as much as one generated token.
// An engine computes many prompt tokens per step, but one token of an answer.
const outputWeight = 8

// waiter is a request that waits for a slot.
type waiter struct {
	tier.Item[*waiter]
	Enqueue
	estimateKey   estimate.Key
	length        estimate.Length
	firstTokenDue time.Time // deadline of its first token; zero means no target
	deadline      time.Time
	enqueuedAt    time.Time // in this pool
	bypassed      int       // how often a request with a warm prefix was granted first
	suspect       bool      // waits in Pool.isolated
	trial         bool      // tries a confirmed content again
	extended      bool      // its maximum wait was extended
	passedOver    bool      // it was kept from a free slot by finishesTooLate

	heldFor   *server
	heldUntil time.Time
	heldRun   *run // run that computes the prefix it waits for
	noHold    bool
}

func (p *Pool) enqueue(e Enqueue) {
	e.Tier = min(e.Tier, request.MaxTiers-1)
	e.PromptTokens, e.MaxTokens, e.ExpectedTokens = max(0, e.PromptTokens), max(0, e.MaxTokens), max(0, e.ExpectedTokens)
	if r := p.byRequest[e.Request]; r != nil && r.entry == e.Entry {
		// The entry did not receive the grant because its connection broke. Repeating the
		// grant is idempotent; a second grant would count the request twice.
		r.withdrawnAt = time.Time{}
		p.emit(Grant{Request: r.request, Entry: r.entry, Grant: r.id, Server: r.server.info.Name})
		return
	}
	if old := p.waiting[e.Request]; old != nil {
		p.removeWaiter(old)
	}
	if e.DeadlineIn <= 0 {
		p.shed(&e, request.ReasonExpired, p.expectedWait(e.Tier))
		return
	}
	w := p.newWaiter(e)
	if p.dispatchesImmediately() {
		p.dispatchImmediately(w)
		return
	}
	if p.isBaseline() {
		p.admitFIFO(w)
		return
	}
	p.arrivals[e.Tier].Add(p.now)
	p.rates.arrived[e.Tier].Add(p.now, 1)
	if e.FirstTokenIn != 0 {
		p.firstTokenTargets[e.Tier] = e.FirstTokenIn + e.Waited
	}
	p.admit(w)
}

func (p *Pool) newWaiter(e Enqueue) *waiter {
	w := &waiter{
		Enqueue:     e,
		estimateKey: estimate.Key{Workspace: e.Workspace, Template: e.Template, Model: e.Model},
		deadline:    p.now.Add(e.DeadlineIn),
		enqueuedAt:  p.now,
	}
	if e.FirstTokenIn != 0 && !w.isRestOfStream() {
		w.firstTokenDue = p.now.Add(e.FirstTokenIn)
	}
	p.updateLength(w)
	w.Item.Tier, w.Item.Workspace, w.Item.Value = e.Tier, e.Workspace, w
	if p.isLateRetry(w) {
		w.Class = tier.Late
	}
	w.Expires = p.waitUntil(w, p.cfg.MaxWaitShare)
	w.Due = p.latestStart(w)
	if w.isRestOfStream() {
		w.Due = p.now // its caller has had no event for a while
	}
	w.Cost = workCost(e.PromptTokens, w.length.Mean)
	return w
}

// isCall reports whether the request is a call to a plain service, which has no tokens.
func (w *waiter) isCall() bool { return w.PromptTokens == 0 && w.MaxTokens == 0 }

// isLateRetry reports whether a request is a retry whose target has already passed for
// its caller. It waits behind the requests of its tier that can be in time.
func (p *Pool) isLateRetry(w *waiter) bool {
	if p.isBaseline() || w.FirstTokenIn == 0 || w.isRestOfStream() {
		return false
	}
	elapsed := p.deadlines.sinceFirstAttempt(p.now, w.estimateKey, w.DeadlineIn+w.Waited)
	return elapsed > w.FirstTokenIn+w.Waited
}

// workCost is the work of a request, in prompt tokens. A call to a plain service has no
// tokens and counts as one.
func workCost(prompt, output int) float64 { return float64(1 + prompt + outputWeight*output) }

// latestStart is the latest time at which a request must start to meet its targets, on
// the fastest server and without a cached prefix.
func (p *Pool) latestStart(w *waiter) time.Time {
	first, whole := p.fastestTimes(w.PromptTokens, w.length.Mean)
	due := w.deadline.Add(-whole)
	if !w.firstTokenDue.IsZero() {
		if d := w.firstTokenDue.Add(-first); d.Before(due) {
			return d
		}
	}
	return due
}

// removeWaiter removes a waiting request from its queue.
func (p *Pool) removeWaiter(w *waiter) {
	if w.heldFor != nil {
		p.removeHold(w)
	}
	if w.extended {
		p.extendedCount[w.Item.Tier]--
		w.extended = false
	}
	p.queueOf(w).Remove(&w.Item)
	delete(p.waiting, w.Request)
}

func (p *Pool) queueOf(w *waiter) *tier.Queue[*waiter] {
	if w.isolated() {
		return p.isolated
	}
	return p.queue
}

func (p *Pool) withdraw(e Withdraw) {
	if w := p.waiting[e.Request]; w != nil && w.Entry == e.Entry {
		if w.deadline.Sub(p.now) < withdrawnAtDeadline {
			p.reportExpired(w)
		}
		p.removeWaiter(w)
		return
	}
	if r := p.byRequest[e.Request]; r != nil && r.entry == e.Entry && r.withdrawnAt.IsZero() {
		r.withdrawnAt = p.now
	}
}

// suspectState returns the suspect state of a waiting request.
func (p *Pool) suspectState(w *waiter) suspect.State {
	switch {
	case p.isBaseline() || w.trial:
		return suspect.Clear
	case !p.countsCrashes():
		return p.suspects.State(p.now, w.Fingerprint)
	case len(p.refusedFor(w)) > 0:
		return suspect.Confirmed
	}
	return suspect.Clear
}
