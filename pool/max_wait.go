package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// waitUntil returns until when a request may wait, given the share of its target. A share
// of zero, or an earlier attempt at a server, allows the whole deadline. The rest of a stream
// may wait longer than a new request: few servers can go on with it.
func (p *Pool) waitUntil(w *waiter, share float64) time.Time {
	if share == 0 || len(w.SentTo) > 0 {
		return w.deadline
	}
	if w.isRestOfStream() {
		share = max(share, p.cfg.ExtendedWaitShare)
	}
	whole := w.DeadlineIn
	if w.FirstTokenIn != 0 {
		whole = w.FirstTokenIn
	}
	whole += w.Waited
	return w.enqueuedAt.Add(time.Duration(share*float64(whole)) - w.Waited)
}

// extendedDeadlineShare is the share of its deadline up to which a request's wait may be
// extended. A caller that is shed needs the rest for a retry, and a request whose target
// is close to its deadline could not use a slot granted later.
const extendedDeadlineShare = 0.25

// extendWait extends the wait of a request past its maximum wait, if the predicted wait
// for a slot ends before the extended one. It reports whether it did.
//
// Without it, calls to a plain service with a target of 300 ms would be shed after 36 ms
// in every short queue, without an overload, although each would get a slot some
// milliseconds later.
func (p *Pool) extendWait(w *waiter) bool {
	if w.extended || p.cfg.ExtendedWaitShare <= p.cfg.MaxWaitShare {
		return false
	}
	until := p.waitUntil(w, p.cfg.ExtendedWaitShare)
	latest := w.enqueuedAt.Add(time.Duration(extendedDeadlineShare*float64(w.DeadlineIn+w.Waited)) - w.Waited)
	if leaves := p.callerLeavesAt(w); leaves.Before(latest) {
		latest = leaves
	}
	if w.Class == tier.Late || latest.Before(until) {
		until = latest // a late request has no target left to miss
	}
	if until.After(w.deadline) || p.now.Add(p.predictWait(w)).After(until) {
		return false
	}
	w.extended = true
	p.extendedCount[w.Item.Tier]++
	p.queue.SetExpires(&w.Item, until)
	return true
}

// callerLeavesAt returns when the caller of a stream stops waiting for its first event.
//
// Without it, a late request whose wait is extended would be granted a slot for a caller
// that has left, and that does not retry.
func (p *Pool) callerLeavesAt(w *waiter) time.Time {
	patience := p.cfg.Traits.Patience.of(w.FirstTokenIn+w.Waited, p.cfg.Traits.PauseTarget)
	if patience == 0 || w.FirstTokenIn == 0 {
		return w.deadline
	}
	return w.enqueuedAt.Add(patience - w.Waited)
}

// predictWait predicts how long a request at the end of its maximum wait will still wait
// for a slot. All requests of higher tiers go first, and all earlier ones of its own
// tier; of the latter, only those with an extended wait are still in the queue. All
// requests of its tier go before a late one.
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

// expire ends requests whose maximum wait or deadline has passed.
func (p *Pool) expire() {
	for it := p.queue.Expired(p.now); it != nil; it = p.queue.Expired(p.now) {
		if p.extendWait(it.Value) {
			continue
		}
		p.removeWaiter(it.Value)
		if !p.versionServes(it.Value) {
			p.shed(&it.Value.Enqueue, request.ReasonVersionUnavailable, retryAfterMin)
			continue
		}
		if p.now.Before(it.Value.deadline) {
			p.noteContention(it.Value)
			p.shedLowerTiers(it.Tier)
			p.redirectOrShed(it.Value, request.ReasonShed)
			continue
		}
		p.reportExpired(it.Value)
		p.shed(&it.Value.Enqueue, request.ReasonExpired, p.expectedWait(it.Tier))
	}
	for it := p.isolated.Expired(p.now); it != nil; it = p.isolated.Expired(p.now) {
		p.removeWaiter(it.Value)
		p.shed(&it.Value.Enqueue, request.ReasonSuspectBusy, suspectRetryAfter)
	}
}

// shedLowerTiers sheds all requests of tiers below t, before a request of t is shed
// ahead of its deadline. They get no grants before t, although their maximum wait may be
// longer.
func (p *Pool) shedLowerTiers(t request.Tier) {
	for last := p.evictionCandidate(); last != nil && last.Tier > t; last = p.evictionCandidate() {
		p.removeWaiter(last.Value)
		p.redirectOrShed(last.Value, request.ReasonShed)
	}
}
