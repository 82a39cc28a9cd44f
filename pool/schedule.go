package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// maxCandidates is the number of requests near the head of a tier that are considered.
	maxCandidates = 64
	// maxOptions limits the number of options evaluated for one grant.
	maxOptions = 128
	// maxLateCandidates is the number of late requests near the head that are considered
	// for one with a warm prefix.
	maxLateCandidates = 64
	// maxBypasses limits how often requests with a warm prefix may bypass the head of a
	// tier.
	maxBypasses = 32
	// warmPromptShare is the share of a prompt that must be cached for a bypass.
	warmPromptShare = 0.5
	// bypassSlack is the time that the head must have left, beyond its own first token,
	// to be bypassed.
	bypassSlack = 200 * time.Millisecond
	// memoryStarveAfter is how long smaller requests may overtake a request for which no
	// server has memory.
	memoryStarveAfter = 500 * time.Millisecond
	// bypassQueueLength is the number of waiting requests of a tier from which bypassSlack
	// does not apply. Some of them will be late in any case, and computing cold prompts
	// for those due next would make more of them late.
	bypassQueueLength = 16
)

// schedule grants while requests wait and slots are free. The most urgent tier goes
// first; within a tier, on-time requests go before late ones.
func (p *Pool) schedule() {
	if p.isBaseline() {
		p.scheduleFIFO()
		return
	}
	if p.queue.Len() == 0 && p.isolated.Len() == 0 && p.isolation == nil {
		return
	}
	p.refreshServers()
	p.passedOver = false
	p.endHolds()
	p.scheduleSuspects()
	p.scheduleProbes()
	p.scheduleStarved()
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		if p.queue.Waiting(t) > 0 && !p.scheduleTier(t) {
			return
		}
	}
	p.scheduleBestEffort()
	p.schedulePassedOver()
}

// scheduleTier grants requests of one tier. It reports whether lower tiers may use the
// remaining slots.
func (p *Pool) scheduleTier(t request.Tier) bool {
	for {
		servers, slots := p.serversWithSlots()
		if slots == 0 || slots <= p.reservedSlots(t) {
			return false
		}
		w, o := p.pick(t, servers)
		if w == nil {
			return !p.memoryStarved(t)
		}
		p.countGrantsSinceLate(w)
		p.grant(w, o)
	}
}

// pick returns the tier's next request with its option. On-time requests go before late
// ones, unless it is the turn of a late one.
func (p *Pool) pick(t request.Tier, servers []*server) (w *waiter, o option) {
	if p.isLateTurn(t) && !p.memoryStarved(t) {
		w, o = p.pickLate(t, servers)
	}
	if w == nil {
		w, o = p.pickOnTime(t, servers)
	}
	if w == nil && !p.memoryStarved(t) {
		w, o = p.pickLate(t, servers)
	}
	return w, o
}

// pickOnTime returns the next on-time request to grant, with its option. It also moves
// requests that cannot meet their targets to the end of the tier and suspects to their
// own queue, and holds requests that should wait for a prefix.
func (p *Pool) pickOnTime(t request.Tier, servers []*server) (*waiter, option) {
	budget := maxOptions
	mayUseOne := func(w *waiter) bool { return p.mayUseOneOf(w, servers) }
	for {
		p.candidates = p.queue.Candidates(t, tier.OnTime, maxCandidates, mayUseOne, p.candidates[:0])
		moved := false
		for i, it := range p.candidates {
			w := it.Value
			if p.divertSuspect(w) {
				moved = true
				continue
			}
			if p.isClosedByAll(w, servers) {
				moved = p.moveToLate(w) || moved
				continue
			}
			if budget <= 0 {
				return nil, option{}
			}
			budget -= len(servers)
			o, g, ok := p.bestOption(w, servers)
			switch {
			case !ok && i == 0 && p.memoryStarved(t):
				return nil, option{}
			case !ok && o.diverted && p.moveToLate(w):
				moved = true
				continue
			case !ok:
				continue // no server has room for it now
			case g == tooLate && p.cannotMeetTargets(w):
				p.queue.SetClass(it, tier.Late)
				moved = true
				continue
			case g == tooLate || g == tooSlow && p.worthWaiting(w, o):
				continue // a server that meets its targets is busy
			case p.holdFor(w, o):
				moved = true
				continue
			}
			return p.preferWarm(w, o, p.candidates[i+1:])
		}
		if !moved {
			return nil, option{}
		}
	}
}

// memoryStarved reports whether a tier's head has waited too long because no server has
// memory for it. Nothing else is granted until a server has: smaller requests would take
// the memory each time it is freed, and long prompts would expire while short requests
// are served.
func (p *Pool) memoryStarved(t request.Tier) bool {
	head := p.queue.Head(t, tier.OnTime)
	if head == nil || p.now.Sub(head.Value.enqueuedAt) < memoryStarveAfter {
		return false
	}
	w := head.Value
	for _, s := range p.sorted {
		if s.grantable && s.fits(w.PromptTokens+w.length.High) {
			return false
		}
	}
	return true
}

// pickLate returns the next late request to grant, with its option: the first one for
// which a server has room, or one near it whose prefix is warm on that server. The order
// may change because none of them can meet its target.
func (p *Pool) pickLate(t request.Tier, servers []*server) (*waiter, option) {
	mayUseOne := func(w *waiter) bool { return p.mayUseOneOf(w, servers) }
	for {
		moved := false
		p.candidates = p.queue.Candidates(t, tier.Late, maxLateCandidates, mayUseOne, p.candidates[:0])
		for i, it := range p.candidates {
			w := it.Value
			if moved = p.divertSuspect(w) || p.moveToBestEffort(w); moved {
				break
			}
			if p.isClosedByAll(w, servers) {
				continue
			}
			if o, _, ok := p.bestOption(w, servers); ok {
				return p.preferWarmLate(w, o, p.candidates[i+1:])
			}
		}
		if !moved {
			return nil, option{}
		}
	}
}

func (p *Pool) moveToBestEffort(w *waiter) bool {
	if !p.cannotMeetDeadline(w) {
		return false
	}
	p.queue.SetClass(&w.Item, tier.Infeasible)
	return true
}

// reconsiderInfeasible moves requests back to the late ones of their tiers once they can
// meet their deadlines after all: their answers turned out to be shorter, or the servers
// faster.
func (p *Pool) reconsiderInfeasible() {
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		p.candidates = p.queue.Candidates(t, tier.Infeasible, maxLateCandidates, func(*waiter) bool { return true }, p.candidates[:0])
		for _, it := range p.candidates {
			if !p.cannotMeetDeadline(it.Value) {
				p.queue.SetClass(it, tier.Late)
			}
		}
	}
}

// scheduleBestEffort grants the remaining slots to requests that cannot meet their
// deadlines. They only get slots that no other request can use. They are still served,
// since the estimate of their length may be wrong.
func (p *Pool) scheduleBestEffort() {
	servers, slots := p.serversWithSlots()
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		for slots > 0 && slots > p.reservedSlots(request.MaxTiers-1) {
			it := p.firstEligible(t, tier.Infeasible, func(w *waiter) bool {
				return p.mayUseOneOf(w, servers) && !p.isClosedByAll(w, servers)
			})
			if it == nil {
				break
			}
			if p.divertSuspect(it.Value) {
				continue
			}
			o, _, ok := p.bestOption(it.Value, servers)
			if !ok {
				return
			}
			p.grant(it.Value, o)
			servers, slots = p.serversWithSlots()
		}
	}
}

// firstEligible returns the first eligible request near the head of a class, or nil.
func (p *Pool) firstEligible(t request.Tier, c tier.Class, eligible func(*waiter) bool) *tier.Item[*waiter] {
	p.candidates = p.queue.Candidates(t, c, 1, eligible, p.candidates[:0])
	if len(p.candidates) == 0 {
		return nil
	}
	return p.candidates[0]
}

// preferWarmLate is preferWarm for late requests.
func (p *Pool) preferWarmLate(head *waiter, o option, others []*tier.Item[*waiter]) (*waiter, option) {
	s := o.server
	if s.prefixID < 0 || head.bypassed >= maxBypasses || p.isWarm(head, s) {
		return head, o
	}
	for _, it := range others {
		w := it.Value
		if !p.isWarm(w, s) || p.mustAvoid(w, s) {
			continue
		}
		if x := p.predict(w, s); p.suspectState(w) == suspect.Clear && p.hasRoom(w, x) && !p.isClosed(w, x) && !p.finishesTooLate(w, x) {
			head.bypassed++
			return w, x
		}
	}
	return head, o
}

// preferWarm lets a request near the head bypass it on the chosen server, if the server
// caches the prefix of that request but not the head's, and the head has slack or the
// queue is long. The head may find its own prefix with the next slot. The number of
// bypasses is limited, and the bypassing request's workspace is charged.
func (p *Pool) preferWarm(head *waiter, o option, others []*tier.Item[*waiter]) (*waiter, option) {
	s := o.server
	short := p.holdSlack(head, o) < bypassSlack && p.queue.Waiting(head.Item.Tier) < bypassQueueLength
	if s.prefixID < 0 || head.bypassed >= maxBypasses || p.isWarm(head, s) || short {
		return head, o
	}
	for _, it := range others {
		w := it.Value
		if !p.isWarm(w, s) || p.mustAvoid(w, s) {
			continue
		}
		x := p.predict(w, s)
		if p.suspectState(w) == suspect.Clear && p.hasRoom(w, x) && !p.isClosed(w, x) && p.grade(w, x) == onTarget {
			head.bypassed++
			return w, x
		}
	}
	return head, o
}

// isWarm reports whether a server caches a large part of a request's prompt.
func (p *Pool) isWarm(w *waiter, s *server) bool {
	blocks := int(warmPromptShare*float64(w.PromptTokens)) / engine.BlockTokens
	return p.prefixes.Holds(s.prefixID, w.Blocks, max(blocks, holdMinBlocks))
}

// divertSuspect removes a suspected or confirmed request from the regular queue, and
// reports whether it did.
func (p *Pool) divertSuspect(w *waiter) bool {
	switch p.suspectState(w) {
	case suspect.Confirmed:
		p.removeWaiter(w)
		p.shedConfirmed(w)
	case suspect.Suspected:
		p.removeWaiter(w)
		p.admitSuspect(w)
	default:
		return false
	}
	return true
}

// grant gives a slot to a waiting request in its turn.
func (p *Pool) grant(w *waiter, o option) {
	p.fairShare.RecordGrant(p.now, w.Item.Tier, p.slotTime(w, o))
	p.startRun(w, o)
}

// startRun gives a slot to a waiting request.
func (p *Pool) startRun(w *waiter, o option) {
	if p.waiting[w.Request] == w {
		p.removeWaiter(w)
	}
	if !p.isBaseline() {
		p.queue.Charge(&w.Item)
	}
	if o.server.straggler {
		p.deferProbe(o.server)
	}
	p.rates.granted[w.Item.Tier].Add(p.now, 1)
	p.tally.countGrant(w, o)
	p.countZone(w, o.server)
	p.grantSeq++
	r := &run{
		id: GrantID{Epoch: p.cfg.Epoch, Seq: p.grantSeq}, request: w.Request, entry: w.Entry, server: o.server,
		grantedAt: p.now, lastReport: p.now, deadline: w.deadline,
		tier: w.Item.Tier, workspace: w.Item.Workspace, estimateKey: w.estimateKey, fingerprint: w.Fingerprint, parts: w.Parts, suspect: w.isolated(),
		promptTokens: w.PromptTokens, maxTokens: w.MaxTokens, hint: w.ExpectedTokens, blocks: w.Blocks, perToken: w.tokenTarget(), cost: w.Cost,
		cachedBlocks: o.cachedBlocks, uncachedTokens: o.uncachedTokens, prefillAhead: o.server.pendingPrefill,
		kvTokens: w.PromptTokens + w.length.High, runningAtGrant: len(o.server.running) + 1,
		late: w.Class >= tier.Late, firstTokenDue: w.firstTokenDue,
	}
	if p.isBeyondSlots(o.server) {
		p.countExtraCall(r)
	}
	p.addRun(r)
	p.takeServerRate(o.server)
	p.countTrial(w)
	p.emit(Grant{Request: w.Request, Entry: w.Entry, Grant: r.id, Server: o.server.info.Name})
}
