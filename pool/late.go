package pool

import (
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// maxGrantsBeforeLate is the number of consecutive grants to on-time requests of a tier
// while a late one waits, if requests may wait until their deadlines.
const maxGrantsBeforeLate = 8

// isLateTurn reports whether a tier's next grant goes to a late request. This only
// applies without a maximum wait: with one, a late request is shed early enough for its
// caller to try elsewhere.
//
// Without it, callers that fill the slots without overloading the pool would starve the
// few requests that became late. These would expire although all others are served in
// time.
func (p *Pool) isLateTurn(t request.Tier) bool {
	return p.cfg.MaxWaitShare == 0 && p.grantsSinceLate[t] >= maxGrantsBeforeLate && p.queue.Head(t, tier.Late) != nil
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
