package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// waiter is a request that waits for a slot.
type waiter struct {
	tier.Item[*waiter]
	Enqueue
	deadline time.Time
}

const (
	retryMin    = 500 * time.Millisecond
	retryMax    = 30 * time.Second
	retryJitter = 0.25 // each way
)

func (p *Pool) enqueue(e Enqueue) {
	if r := p.granted[e.Request]; r != nil && r.entry == e.Entry {
		// The grant was lost on the way: a connection broke. Giving the same
		// grant again is idempotent; a second one would count one request
		// twice.
		p.emit(Grant{Request: r.request, Entry: r.entry, Grant: r.id, Server: r.server.info.Name})
		return
	}
	if e.DeadlineIn <= 0 {
		p.shed(e, request.ReasonExpired)
		return
	}
	if e.Tier >= request.MaxTiers {
		e.Tier = request.MaxTiers - 1
	}
	if old := p.waiting[e.Request]; old != nil {
		p.drop(old)
	}
	w := p.newWaiter(e)
	if p.dispatchesAtOnce() {
		p.dispatchAtOnce(w)
		return
	}
	if !p.makeRoom(w) {
		p.shed(e, request.ReasonShed)
		return
	}
	p.waiting[e.Request] = w
	p.queue.Push(&w.Item)
}

func (p *Pool) newWaiter(e Enqueue) *waiter {
	w := &waiter{Enqueue: e, deadline: p.now.Add(e.DeadlineIn)}
	w.Item.Tier, w.Item.Workspace, w.Item.Value = e.Tier, e.Workspace, w
	w.Due = p.now.Add(e.DeadlineIn)
	if e.FirstTokenIn != 0 {
		w.Due = p.now.Add(e.FirstTokenIn)
	}
	w.Expires = w.deadline
	w.Cost = float64(1 + e.PromptTokens + e.MaxTokens)
	if p.cfg.Policy == PolicyFIFO {
		w.Item.Tier, w.Item.Workspace = 0, ""
		w.Due = p.now.Add(-e.Waited)
	}
	return w
}

// makeRoom evicts for w and reports whether w may wait.
func (p *Pool) makeRoom(w *waiter) bool {
	if p.queue.Len() < p.cfg.MaxWaiting {
		return true
	}
	last := p.queue.Last()
	if last == nil || last.Tier <= w.Item.Tier {
		return false
	}
	victim := last.Value
	p.drop(victim)
	p.shed(victim.Enqueue, request.ReasonShed)
	return true
}

func (p *Pool) drop(w *waiter) {
	p.queue.Remove(&w.Item)
	delete(p.waiting, w.Request)
}

func (p *Pool) withdraw(e Withdraw) {
	if w := p.waiting[e.Request]; w != nil && w.Entry == e.Entry {
		p.drop(w)
	}
}

func (p *Pool) expire() {
	for it := p.queue.Expired(p.now); it != nil; it = p.queue.Expired(p.now) {
		p.drop(it.Value)
		p.shed(it.Value.Enqueue, request.ReasonExpired)
	}
}

func (p *Pool) shed(e Enqueue, reason request.Reason) {
	p.emit(Shed{Request: e.Request, Entry: e.Entry, Reason: reason, RetryAfter: p.retryAfter(retryMin)})
}

// retryAfter bounds and jitters a wait, so that callers refused together
// don't come back together.
func (p *Pool) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, retryMin), retryMax)
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*p.random.Float64()))
}
