package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// waitUntil is until when a request may wait with so much patience.
func (p *Pool) waitUntil(w *waiter, share float64) time.Time {
	if share == 0 || len(w.SentTo) > 0 {
		return w.deadline
	}
	whole := w.DeadlineIn
	if w.FirstTokenIn != 0 {
		whole = w.FirstTokenIn
	}
	whole += w.Waited
	return w.enqueuedAt.Add(time.Duration(share*float64(whole)) - w.Waited)
}

// extendedDeadlineShare is the part of its deadline up to which a request may wait on. A caller
// that is refused after all needs the rest to come back, and one whose target is near
// its deadline would be granted a slot that it has no time left to use.
const extendedDeadlineShare = 0.25

// extendWait lets a request whose patience is over wait on where the grants of
// its tier and of those above come fast enough.
//
// What goes wrong without it: the calls of a plain service with a target of
// 300 ms are shed after 36 ms at each little queue, without any overload, although
// each would have a slot some milliseconds later.
func (p *Pool) extendWait(w *waiter) bool {
	if w.extended || p.cfg.ExtendedWaitShare <= p.cfg.MaxWaitShare {
		return false
	}
	until := p.waitUntil(w, p.cfg.ExtendedWaitShare)
	latest := w.enqueuedAt.Add(time.Duration(extendedDeadlineShare*float64(w.DeadlineIn+w.Waited)) - w.Waited)
	if w.Class == tier.Late || latest.Before(until) {
		until = latest // a late one has no target to be missed
	}
	if until.After(w.deadline) || p.now.Add(p.predictWait(w)).After(until) {
		return false
	}
	w.extended = true
	p.extendedCount[w.Item.Tier]++
	p.queue.SetExpires(&w.Item, until)
	return true
}

// predictWait is how long a request whose patience is just over will wait for its slot:
// until all above its tier, and all of its tier that came before it, have theirs. Of
// these only the ones that wait on are still there. Before a late one go all of its
// tier.
func (p *Pool) predictWait(w *waiter) time.Duration {
	t, waiting := w.Item.Tier, 1+p.extendedCount[w.Item.Tier]
	if w.Class == tier.Late {
		t, waiting = t+1, 1
	}
	for higher := request.Tier(0); higher < t; higher++ {
		waiting += p.queue.Waiting(higher)
	}
	slotRate := p.slotRateFor(t)
	if slotRate <= float64(waiting)/retryAfterMax.Seconds() {
		return retryAfterMax
	}
	return time.Duration(float64(waiting) / slotRate * float64(time.Second))
}

// expire ends what has waited too long.
func (p *Pool) expire() {
	for it := p.queue.Expired(p.now); it != nil; it = p.queue.Expired(p.now) {
		if p.extendWait(it.Value) {
			continue
		}
		p.removeWaiter(it.Value)
		if p.now.Before(it.Value.deadline) {
			p.shedLowerTiers(it.Tier)
			p.redirectOrShed(it.Value, request.ReasonShed)
			continue
		}
		p.shed(&it.Value.Enqueue, request.ReasonExpired, p.expectedWait(it.Tier))
	}
	for it := p.isolated.Expired(p.now); it != nil; it = p.isolated.Expired(p.now) {
		p.removeWaiter(it.Value)
		p.shed(&it.Value.Enqueue, request.ReasonSuspectBusy, suspectRetryAfter)
	}
}

// shedLowerTiers gives up what waits at the tiers below t, before a request of t is
// shed while it still has time. Nothing is granted to them before those of t,
// and their patience may be the longer one.
func (p *Pool) shedLowerTiers(t request.Tier) {
	for last := p.evictionCandidate(); last != nil && last.Tier > t; last = p.evictionCandidate() {
		p.removeWaiter(last.Value)
		p.redirectOrShed(last.Value, request.ReasonShed)
	}
}
