package pool

import (
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// maxGrantsBeforeLate is how many live requests of a tier go before its late ones in a row, where
// requests wait up to their deadlines.
const maxGrantsBeforeLate = 8

// isLateTurn tells whether a tier's late requests were passed often enough for one of them
// to have its turn. Where patience ends a wait early, a late request is refused in time
// for its caller to go elsewhere, and has none.
//
// What goes wrong without it: callers fill the slots without an overload, and each live
// request goes before the few that have once become late, which expire in the end although
// all others are served in time.
func (p *Pool) isLateTurn(t request.Tier) bool {
	return p.cfg.MaxWaitShare == 0 && p.grantsSinceLate[t] >= maxGrantsBeforeLate && p.queue.Head(t, tier.Late) != nil
}

// countGrantsSinceLate counts how often a tier's late requests are passed.
func (p *Pool) countGrantsSinceLate(w *waiter) {
	t := w.Item.Tier
	if w.Class == tier.Late || p.queue.Head(t, tier.Late) == nil {
		p.grantsSinceLate[t] = 0
		return
	}
	p.grantsSinceLate[t]++
}
