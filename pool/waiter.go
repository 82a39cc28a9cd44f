package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/estimate"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// outputWeight is how many prompt tokens cost as much as one generated token:
// a prompt is computed many tokens a step, an answer one token a step.
const outputWeight = 8

// waiter is a request that waits for a slot.
type waiter struct {
	tier.Item[*waiter]
	Enqueue
	mix        estimate.Mix
	length     estimate.Length
	firstToken time.Time // when its first token is due; zero: no target
	deadline   time.Time
	since      time.Time // in this pool
	passed     int       // times that another went first for its prefix
	alone      bool      // a suspect: it waits in Pool.isolated
	waitsOn    bool      // beyond the shorter patience

	heldFor   *server
	heldUntil time.Time
	heldRun   *run // computes the prefix that it waits for
	noHold    bool
}

func (p *Pool) enqueue(e Enqueue) {
	e.Tier = min(e.Tier, request.MaxTiers-1)
	e.PromptTokens, e.MaxTokens, e.ExpectedTokens = max(0, e.PromptTokens), max(0, e.MaxTokens), max(0, e.ExpectedTokens)
	if r := p.granted[e.Request]; r != nil && r.entry == e.Entry {
		// The grant was lost on the way: a connection broke. Giving the same
		// grant again is idempotent; a second one would count one request
		// twice.
		r.withdrawn = time.Time{}
		p.emit(Grant{Request: r.request, Entry: r.entry, Grant: r.id, Server: r.server.info.Name})
		return
	}
	if old := p.waiting[e.Request]; old != nil {
		p.drop(old)
	}
	if e.DeadlineIn <= 0 {
		p.shed(&e, request.ReasonExpired, p.expectedWait(e.Tier))
		return
	}
	w := p.newWaiter(e)
	if p.dispatchesAtOnce() {
		p.dispatchAtOnce(w)
		return
	}
	if p.plain() {
		p.admitPlain(w)
		return
	}
	p.arrivals[e.Tier].Add(p.now)
	p.pace.came[e.Tier].Add(p.now, 1)
	if e.FirstTokenIn != 0 {
		p.targets[e.Tier] = e.FirstTokenIn + e.Waited
	}
	p.admit(w)
}

func (p *Pool) newWaiter(e Enqueue) *waiter {
	w := &waiter{
		Enqueue:  e,
		mix:      estimate.Mix{Workspace: e.Workspace, Template: e.Template, Model: e.Model},
		deadline: p.now.Add(e.DeadlineIn),
		since:    p.now,
	}
	if e.FirstTokenIn != 0 {
		w.firstToken = p.now.Add(e.FirstTokenIn)
	}
	if !p.plain() && e.MaxTokens > 0 {
		w.length = p.expectLength(w.mix, e.ExpectedTokens, e.MaxTokens)
	}
	w.Item.Tier, w.Item.Workspace, w.Item.Value = e.Tier, e.Workspace, w
	if p.returnsLate(w) {
		w.Class = tier.Late
	}
	w.Expires = p.lastMoment(w, p.cfg.Patience)
	w.Due = p.latestStart(w)
	w.Cost = cost(e.PromptTokens, w.length.Mean)
	return w
}

// returnsLate tells whether a request comes back when its target has passed for its
// caller. It waits behind those of its tier that can be in time.
func (p *Pool) returnsLate(w *waiter) bool {
	if p.plain() || w.FirstTokenIn == 0 {
		return false
	}
	elapsed := p.deadlines.elapsed(p.now, w.mix, w.DeadlineIn+w.Waited)
	return elapsed > w.FirstTokenIn+w.Waited
}

// cost is the work of a request, in prompt tokens. A call to a plain service
// has no tokens: each counts as one.
func cost(prompt, output int) float64 { return float64(1 + prompt + outputWeight*output) }

// latestStart is when a request must have a server at the latest, on the best
// server there is, without any cached prefix.
func (p *Pool) latestStart(w *waiter) time.Time {
	first, whole := p.bestTimes(w.PromptTokens, w.length.Mean)
	due := w.deadline.Add(-whole)
	if !w.firstToken.IsZero() {
		if d := w.firstToken.Add(-first); d.Before(due) {
			return d
		}
	}
	return due
}

// drop takes a waiting request out.
func (p *Pool) drop(w *waiter) {
	if w.heldFor != nil {
		p.forgetHeld(w)
	}
	if w.waitsOn {
		p.waitOn[w.Item.Tier]--
		w.waitsOn = false
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
		p.drop(w)
		return
	}
	if r := p.granted[e.Request]; r != nil && r.entry == e.Entry && r.withdrawn.IsZero() {
		r.withdrawn = p.now
	}
}

// verdict returns what is known of a waiting request's fingerprint.
func (p *Pool) verdict(w *waiter) suspect.State {
	if p.plain() {
		return suspect.Clear
	}
	return p.suspects.State(p.now, w.Fingerprint)
}
