package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// nearHead is how many requests near the head of a tier are looked at.
	nearHead = 64
	// maxOptions bounds the options looked at in one choice.
	maxOptions = 128
	// passLate is how many late requests near the head are looked at for one
	// whose prefix is warm.
	passLate = 64
	// maxPassed is how often the head of a tier may be passed by requests
	// whose prefix is warm.
	maxPassed = 32
	// passShare is the part of a prompt that must be cached for it to pass.
	passShare = 0.5
	// passSlack is what the head must have left, beyond its own first token,
	// to be passed.
	passSlack = 200 * time.Millisecond
	// starveAfter is how long smaller requests may go before one for which no
	// server has memory.
	starveAfter = 500 * time.Millisecond
	// passCrowd is how many waiting requests of a tier lift that condition:
	// some of them will be late anyway, and computing cold prompts for those
	// that are due next makes more of them late.
	passCrowd = 16
)

// schedule grants while a request waits and a slot is free: the most urgent
// tier first, in a tier the live requests before the late ones.
func (p *Pool) schedule() {
	if p.plain() {
		p.schedulePlain()
		return
	}
	if p.queue.Len() == 0 && p.isolated.Len() == 0 && p.alone == nil {
		return
	}
	p.refresh()
	p.endHolds()
	p.scheduleAlone()
	p.scheduleProbes()
	p.scheduleStarved()
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		if p.queue.Waiting(t) > 0 && !p.scheduleTier(t) {
			return
		}
	}
	p.scheduleDoomed()
}

// scheduleTier grants to one tier. It reports whether slots may be left for
// lower tiers.
func (p *Pool) scheduleTier(t request.Tier) bool {
	for {
		servers, slots := p.usable()
		if slots == 0 || slots <= p.reserve(t) {
			return false
		}
		w, o := p.pick(t, servers)
		if w == nil {
			return !p.starves(t)
		}
		p.noteLate(w)
		p.grant(w, o)
	}
}

// pick returns the tier's next request, with its option: a live one before a late one,
// but for the turn of one that was passed often.
func (p *Pool) pick(t request.Tier, servers []*server) (w *waiter, o option) {
	if p.lateIsDue(t) && !p.starves(t) {
		w, o = p.pickLate(t, servers)
	}
	if w == nil {
		w, o = p.pickLive(t, servers)
	}
	if w == nil && !p.starves(t) {
		w, o = p.pickLate(t, servers)
	}
	return w, o
}

// pickLive returns the next live request to be granted, with its option. On
// its way it moves hopeless requests to the end of the tier, suspects to
// their own queue, and holds those that should wait for a prefix.
func (p *Pool) pickLive(t request.Tier, servers []*server) (*waiter, option) {
	budget := maxOptions
	for {
		p.near = p.queue.Candidates(t, tier.Live, nearHead, p.near[:0])
		moved := false
		for i, it := range p.near {
			w := it.Value
			if p.moveAway(w) {
				moved = true
				continue
			}
			if budget <= 0 {
				return nil, option{}
			}
			budget -= len(servers)
			o, g, ok := p.best(w, servers)
			switch {
			case !ok && i == 0 && p.starves(t):
				return nil, option{}
			case !ok:
				continue // no server has room for it now
			case g == tooLate && p.hopeless(w):
				p.queue.Reclass(it, tier.Late)
				moved = true
				continue
			case g == tooLate || g == tooSlow && p.fasterElsewhere(w, o):
				continue // a server that can is busy
			case p.holdFor(w, o):
				moved = true
				continue
			}
			return p.warmer(w, o, p.near[i+1:])
		}
		if !moved {
			return nil, option{}
		}
	}
}

// starves tells whether a tier's head has waited too long while no server has
// memory for it. Then nothing else is granted, until one has: smaller requests
// would take what comes free each time, and one would see long prompts expire
// while tags are served.
func (p *Pool) starves(t request.Tier) bool {
	head := p.queue.Head(t, tier.Live)
	if head == nil || p.now.Sub(head.Value.since) < starveAfter {
		return false
	}
	w := head.Value
	for _, s := range p.order {
		if s.ready && s.fits(w.PromptTokens+w.length.High) {
			return false
		}
	}
	return true
}

// pickLate returns the late request to be granted, with its option: the first
// for which a server has room or, since none of them can meet its target any
// more, one near it whose prefix is warm there.
func (p *Pool) pickLate(t request.Tier, servers []*server) (*waiter, option) {
	for {
		moved := false
		p.near = p.queue.Candidates(t, tier.Late, passLate, p.near[:0])
		for i, it := range p.near {
			w := it.Value
			if moved = p.moveAway(w) || p.moveDoomed(w); moved {
				break
			}
			if o, _, ok := p.best(w, servers); ok {
				return p.warmerLate(w, o, p.near[i+1:])
			}
		}
		if !moved {
			return nil, option{}
		}
	}
}

func (p *Pool) moveDoomed(w *waiter) bool {
	if !p.doomed(w) {
		return false
	}
	p.queue.Reclass(&w.Item, tier.Doomed)
	return true
}

// scheduleDoomed grants what is left to requests that can't end in time: they
// may only have what nobody else wants. Their answer is not withheld, since
// the estimate may be wrong; but a slot that another could use is not spent.
func (p *Pool) scheduleDoomed() {
	servers, slots := p.usable()
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		for slots > 0 && slots > p.reserve(request.MaxTiers-1) {
			it := p.queue.Head(t, tier.Doomed)
			if it == nil {
				break
			}
			if p.moveAway(it.Value) {
				continue
			}
			o, _, ok := p.best(it.Value, servers)
			if !ok {
				return
			}
			p.grant(it.Value, o)
			servers, slots = p.usable()
		}
	}
}

// warmerLate is warmer among late requests.
func (p *Pool) warmerLate(head *waiter, o option, others []*tier.Item[*waiter]) (*waiter, option) {
	s := o.server
	if s.index < 0 || head.passed >= maxPassed || p.warm(head, s) {
		return head, o
	}
	for _, it := range others {
		w := it.Value
		if !p.warm(w, s) {
			continue
		}
		if x := p.option(w, s); p.verdict(w) == suspect.Clear && p.roomy(w, x) {
			head.passed++
			return w, x
		}
	}
	return head, o
}

// warmer lets a request near the head pass it on the chosen server, where the
// server holds its prefix and not the head's, and the head can wait or the
// tier is crowded: the head may find its own prefix at the next slot. How
// often a head is passed is bounded, and whoever passes is charged.
func (p *Pool) warmer(head *waiter, o option, others []*tier.Item[*waiter]) (*waiter, option) {
	s := o.server
	short := p.slack(head, o) < passSlack && p.queue.Waiting(head.Item.Tier) < passCrowd
	if s.index < 0 || head.passed >= maxPassed || p.warm(head, s) || short {
		return head, o
	}
	for _, it := range others {
		w := it.Value
		if !p.warm(w, s) {
			continue
		}
		x := p.option(w, s)
		if p.verdict(w) == suspect.Clear && p.roomy(w, x) && p.grade(w, x) == inTarget {
			head.passed++
			return w, x
		}
	}
	return head, o
}

// warm tells whether a server holds a good part of a request's prompt.
func (p *Pool) warm(w *waiter, s *server) bool {
	blocks := int(passShare*float64(w.PromptTokens)) / engine.BlockTokens
	return p.prefixes.Holds(s.index, w.Blocks, max(blocks, holdBlocks))
}

// moveAway takes a convict or a suspect out of the queue and reports whether
// it did.
func (p *Pool) moveAway(w *waiter) bool {
	switch p.verdict(w) {
	case suspect.Convicted:
		p.drop(w)
		p.shedConvict(w)
	case suspect.Suspected:
		p.drop(w)
		p.admitSuspect(w)
	default:
		return false
	}
	return true
}

// grant gives a waiting request a slot in turn.
func (p *Pool) grant(w *waiter, o option) {
	p.shares.Granted(p.now, w.Item.Tier, p.slotTime(w, o))
	p.place(w, o)
}

// place gives a waiting request a slot.
func (p *Pool) place(w *waiter, o option) {
	if p.waiting[w.Request] == w {
		p.drop(w)
	}
	if !p.plain() {
		p.queue.Charge(&w.Item)
	}
	if o.server.straggler {
		p.probed(o.server)
	}
	p.pace.granted[w.Item.Tier].Add(p.now, 1)
	p.tally.granted(w)
	p.seq++
	r := &run{
		id: GrantID{Epoch: p.cfg.Epoch, Seq: p.seq}, request: w.Request, entry: w.Entry, server: o.server,
		since: p.now, heard: p.now, deadline: w.deadline,
		tier: w.Item.Tier, workspace: w.Item.Workspace, mix: w.mix, fingerprint: w.Fingerprint, alone: w.isolated(),
		prompt: w.PromptTokens, maxTokens: w.MaxTokens, hint: w.ExpectedTokens, blocks: w.Blocks, perToken: w.tokenTarget(), cost: w.Cost,
		cached: o.cached, uncached: o.uncached, ahead: o.server.prefill,
		tokens: w.PromptTokens + w.length.High, at: len(o.server.running) + 1,
	}
	p.addRun(r)
	p.emit(Grant{Request: w.Request, Entry: w.Entry, Grant: r.id, Server: o.server.info.Name})
}
