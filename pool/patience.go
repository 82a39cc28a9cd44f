package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// lastMoment is until when a request may wait with so much patience.
func (p *Pool) lastMoment(w *waiter, patience float64) time.Time {
	if patience == 0 || len(w.SentTo) > 0 {
		return w.deadline
	}
	whole := w.DeadlineIn
	if w.FirstTokenIn != 0 {
		whole = w.FirstTokenIn
	}
	whole += w.Waited
	return w.since.Add(time.Duration(patience*float64(whole)) - w.Waited)
}

// waitOnShare is the part of its deadline up to which a request may wait on. A caller
// that is refused after all needs the rest to come back, and one whose target is near
// its deadline would be granted a slot that it has no time left to use.
const waitOnShare = 0.25

// mayWaitOn lets a request whose patience is over wait on where the grants of
// its tier and of those above come fast enough.
//
// What goes wrong without it: the calls of a plain service with a target of
// 300 ms are shed after 36 ms at each little queue, without any overload, although
// each would have a slot some milliseconds later.
func (p *Pool) mayWaitOn(w *waiter) bool {
	if w.waitsOn || p.cfg.LongPatience <= p.cfg.Patience {
		return false
	}
	until := p.lastMoment(w, p.cfg.LongPatience)
	most := w.since.Add(time.Duration(waitOnShare*float64(w.DeadlineIn+w.Waited)) - w.Waited)
	if w.Class == tier.Late || most.Before(until) {
		until = most // a late one has no target to be missed
	}
	if until.After(w.deadline) || p.now.Add(p.waitOf(w)).After(until) {
		return false
	}
	w.waitsOn = true
	p.waitOn[w.Item.Tier]++
	p.queue.Postpone(&w.Item, until)
	return true
}

// waitOf is how long a request whose patience is just over will wait for its slot:
// until all above its tier, and all of its tier that came before it, have theirs. Of
// these only the ones that wait on are still there. Before a late one go all of its
// tier.
func (p *Pool) waitOf(w *waiter) time.Duration {
	t, waiting := w.Item.Tier, 1+p.waitOn[w.Item.Tier]
	if w.Class == tier.Late {
		t, waiting = t+1, 1
	}
	for higher := request.Tier(0); higher < t; higher++ {
		waiting += p.queue.Waiting(higher)
	}
	slots := p.slotsFor(t)
	if slots <= float64(waiting)/retryMax.Seconds() {
		return retryMax
	}
	return time.Duration(float64(waiting) / slots * float64(time.Second))
}

// expire ends what has waited too long.
func (p *Pool) expire() {
	for it := p.queue.Expired(p.now); it != nil; it = p.queue.Expired(p.now) {
		if p.mayWaitOn(it.Value) {
			continue
		}
		p.drop(it.Value)
		if p.now.Before(it.Value.deadline) {
			p.shedBelow(it.Tier)
			p.giveUp(it.Value, request.ReasonShed)
			continue
		}
		p.shed(&it.Value.Enqueue, request.ReasonExpired, p.expectedWait(it.Tier))
	}
	for it := p.isolated.Expired(p.now); it != nil; it = p.isolated.Expired(p.now) {
		p.drop(it.Value)
		p.shed(&it.Value.Enqueue, request.ReasonSuspectBusy, suspectRetry)
	}
}

// shedBelow gives up what waits at the tiers below t, before a request of t is
// shed while it still has time. Nothing is granted to them before those of t,
// and their patience may be the longer one.
func (p *Pool) shedBelow(t request.Tier) {
	for last := p.lastWaiting(); last != nil && last.Tier > t; last = p.lastWaiting() {
		p.drop(last.Value)
		p.giveUp(last.Value, request.ReasonShed)
	}
}
