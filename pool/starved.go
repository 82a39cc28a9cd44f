package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/fairshare"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// minCheapShare and minCostlyShare are the shares of the service of all tiers below
	// which a tier of short requests and one of long requests get slots out of turn.
	minCheapShare, minCostlyShare = 0.5, 0.35
	// starvedMaxShare is the largest share of slot time that starved tiers get out of turn.
	starvedMaxShare = 0.1
	// starvedMaxCredit is the slot time, in seconds, that a starved tier can accumulate.
	starvedMaxCredit = 1.0
	// starvedWindow is the time over which the service of tiers is compared.
	starvedWindow = 10 * time.Second
)

func newFairShare() *fairshare.Ledger {
	return fairshare.New(fairshare.Config{
		MinRatioCheap: minCheapShare, MinRatioCostly: minCostlyShare, MaxShare: starvedMaxShare, MaxCredit: starvedMaxCredit, Window: starvedWindow,
	})
}

// scheduleStarved grants requests of tiers that strict priority starves, up to their
// minimum share of slot time.
//
// Without it, the higher tiers would take all slots during an overload and the lowest
// tier would get almost none. The symptom is a tier whose requests are shed every second
// while others are granted (pool_shed, pool_granted).
func (p *Pool) scheduleStarved() {
	for t := request.Tier(request.MaxTiers - 1); t > 0; t-- {
		for p.queue.Waiting(t) > 0 && p.fairShare.IsStarved(p.now, t) && p.grantOutOfTurn(t) {
		}
	}
}

// grantOutOfTurn grants one request of a tier out of turn, and reports whether it did. It
// grants nothing while a long prompt of a higher tier waits for memory.
func (p *Pool) grantOutOfTurn(t request.Tier) bool {
	servers, slots := p.serversWithSlots()
	if slots == 0 || p.inTurn(t, slots) || p.memoryStarvedAbove(t) {
		return false
	}
	w, o := p.pickOnTime(t, servers)
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

// slotTime predicts the slot time of a request, in seconds: the time that it occupies
// its own slot, and the time that its prefill delays the server's other slots.
func (p *Pool) slotTime(w *waiter, o option) float64 {
	s := o.server
	return (p.runTime(w, o) + time.Duration(len(s.running))*s.latency.PrefillTime(o.uncachedTokens)).Seconds()
}

// inTurn reports whether a tier is next in priority order, given the number of free
// slots.
func (p *Pool) inTurn(t request.Tier, slots int) bool {
	for higher := request.Tier(0); higher < t; higher++ {
		if p.queue.Waiting(higher) > 0 {
			return false
		}
	}
	return slots > p.reservedSlots(t)
}

// memoryStarvedAbove reports whether the head of a tier above t waits for memory.
func (p *Pool) memoryStarvedAbove(t request.Tier) bool {
	for higher := request.Tier(0); higher < t; higher++ {
		if p.memoryStarved(higher) {
			return true
		}
	}
	return false
}
