package pool

import (
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// maxGrantsBeforeLate is the number of consecutive grants to on-time requests of a tier
	// while a late one waits, if requests may wait until their deadlines.
	maxGrantsBeforeLate = 8
	// maxGrantsBeforeLongWaiting is the same for a late one that has waited long.
	maxGrantsBeforeLongWaiting = 1
	// longWaitShare is the share of its time to the deadline after which a late request has
	// waited long.
	longWaitShare = 0.5
)

// isLateTurn reports whether a tier's next grant goes to a late request. This only
// applies without a maximum wait: with one, a late request is shed early enough for its
// caller to try elsewhere.
//
// Without it, callers that fill the slots without overloading the pool would starve the
// few requests that became late. These would expire although all others are served in
// time.
func (p *Pool) isLateTurn(t request.Tier) bool {
	head := p.queue.Head(t, tier.Late)
	if p.cfg.MaxWaitShare > 0 || head == nil {
		return false
	}
	if p.waitedLong(head.Value) {
		return p.grantsSinceLate[t] >= maxGrantsBeforeLongWaiting
	}
	return p.grantsSinceLate[t] >= maxGrantsBeforeLate
}

// waitedLong reports whether a late request has waited so long that turns counted in grants
// may come too late: the longer the answers, the longer such a turn takes. In a queue longer
// than the slots none has, or each tier of an overload would become late as a whole.
func (p *Pool) waitedLong(w *waiter) bool {
	if _, slots := p.slotFreeRate(); p.queue.Waiting(w.Item.Tier) > slots {
		return false
	}
	whole := w.DeadlineIn + w.Waited
	return float64(w.deadline.Sub(p.now)) < (1-longWaitShare)*float64(whole)
}

// countGrantsSinceLate counts the grants to on-time requests while a late one of the tier
// waits.
func (p *Pool) countGrantsSinceLate(w *waiter) {
	t := w.Item.Tier
	if w.Class == tier.Late || p.queue.Head(t, tier.Late) == nil {
		p.grantsSinceLate[t] = 0
		return
	}
	p.grantsSinceLate[t]++
}
