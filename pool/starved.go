package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/fairshare"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// minCheapShare and minCostlyShare are the parts of the service of all tiers below which
	// a tier of short and one of long requests gets slots out of turn.
	minCheapShare, minCostlyShare = 0.5, 0.35
	// starvedMaxShare is the largest part of the slot time that starved tiers get out of turn.
	starvedMaxShare = 0.1
	// starvedMaxCredit is how much slot time a starved tier saves up, in seconds.
	starvedMaxCredit = 1.0
	// starvedWindow is the time over which the service of the tiers is compared.
	starvedWindow = 10 * time.Second
)

func newFairShare() *fairshare.Ledger {
	return fairshare.New(fairshare.Config{
		MinRatioCheap: minCheapShare, MinRatioCostly: minCostlyShare, MaxShare: starvedMaxShare, MaxCredit: starvedMaxCredit, Window: starvedWindow,
	})
}

// scheduleStarved grants to the tiers that strict order starves what their least share
// of the slot time allows.
//
// What goes wrong without it: the tiers above ask for all slots for as long as an
// overload lasts, and of the lowest tier next to nothing is served. One notices a tier
// that is refused in every second while others are granted (pool_shed, pool_granted).
func (p *Pool) scheduleStarved() {
	for t := request.Tier(request.MaxTiers - 1); t > 0; t-- {
		for p.queue.Waiting(t) > 0 && p.fairShare.IsStarved(p.now, t) && p.grantOutOfTurn(t) {
		}
	}
}

// grantOutOfTurn grants one request of a tier whose turn it is not, and reports whether
// it did. Where a long prompt above waits for memory to come free, nobody goes before it.
func (p *Pool) grantOutOfTurn(t request.Tier) bool {
	servers, slots := p.serversWithSlots()
	if slots == 0 || p.inTurn(t, slots) || p.memoryStarvedAbove(t) {
		return false
	}
	w, o := p.pickLive(t, servers)
	if w == nil {
		return false
	}
	amount := p.slotTime(w, o)
	if !p.fairShare.Allows(t, amount) {
		return false
	}
	p.fairShare.RecordOutOfTurn(p.now, t, amount)
	p.startRun(w, o)
	return true
}

// slotTime predicts how much slot time a request takes: what it holds its own slot for,
// and what its prompt holds the others of its server up for.
func (p *Pool) slotTime(w *waiter, o option) float64 {
	s := o.server
	return (p.runTime(w, o) + time.Duration(len(s.running))*s.speed.PrefillTime(o.uncachedTokens)).Seconds()
}

// inTurn tells whether a tier has its turn with so many slots free.
func (p *Pool) inTurn(t request.Tier, slots int) bool {
	for higher := request.Tier(0); higher < t; higher++ {
		if p.queue.Waiting(higher) > 0 {
			return false
		}
	}
	return slots > p.reservedSlots(t)
}

// memoryStarvedAbove tells whether a tier above t has a head that waits for memory.
func (p *Pool) memoryStarvedAbove(t request.Tier) bool {
	for higher := request.Tier(0); higher < t; higher++ {
		if p.memoryStarved(higher) {
			return true
		}
	}
	return false
}
