package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	retryMin    = 500 * time.Millisecond
	retryMax    = 30 * time.Second
	retryJitter = 0.25 // each way
	// returnShare of the grants is reckoned to be left for callers that come back:
	// those that come for the first time go on coming.
	returnShare = 0.5
	// returnMost bounds how far returns are spaced out: a burst of that length is an
	// overload, of which nobody can say when it ends.
	returnMost = 10 * time.Second
	// freshSibling is the age beyond which a sibling's report says nothing.
	freshSibling = 2 * time.Second
)

// sibling is another pool of the same model as it last reported.
type sibling struct {
	Sibling
	at time.Time
}

func (p *Pool) learnSibling(e Sibling) {
	if e.Gone {
		delete(p.siblings, e.Pool)
		return
	}
	p.siblings[e.Pool] = &sibling{Sibling: e, at: p.now.Add(-e.Age)}
}

// admit lets a request wait, or gives it or another one up.
//
// The rule, for each bound: nobody is given up while anything of a lower tier
// waits here, nor, as far as fresh reports tell, in a sibling pool.
func (p *Pool) admit(w *waiter) {
	switch p.verdict(w) {
	case suspect.Convicted:
		p.shedConvict(w)
		return
	case suspect.Suspected:
		p.admitSuspect(w)
		return
	}
	if p.exceedsBound(w) && !p.overBound(w) {
		return
	}
	if !p.makeRoom(w) {
		return
	}
	p.push(w)
}

func (p *Pool) push(w *waiter) {
	p.waiting[w.Request] = w
	p.queue.Push(&w.Item)
}

func (p *Pool) exceedsBound(w *waiter) bool {
	return w.MaxWaiting > 0 && !p.entries.rebuilding(p.now) &&
		p.queue.WaitingOf(w.Item.Tier, w.Item.Workspace) >= w.MaxWaiting
}

// overBound decides on a request above its workspace's bound and reports
// whether it may wait. While anything of a lower tier waits, it does, at the
// end of its tier, and a request of its own workspace goes in its place where
// that one is of the lowest tier that waits; so the bound never turns the
// tiers' order around.
func (p *Pool) overBound(w *waiter) bool {
	if !p.lowerWaits(w.Item.Tier) {
		p.giveUp(w, request.ReasonWorkspaceLimit)
		return false
	}
	w.Class = tier.Late
	if own := p.queue.LastBelow(w.Item.Tier, w.Item.Workspace); own != nil && !p.lowerWaits(own.Tier) {
		victim := own.Value
		p.drop(victim)
		p.giveUp(victim, request.ReasonWorkspaceLimit)
	}
	return true
}

func (p *Pool) lowerWaits(t request.Tier) bool {
	for lower := t + 1; lower < request.MaxTiers; lower++ {
		if p.queue.Waiting(lower)+p.isolated.Waiting(lower) > 0 {
			return true
		}
	}
	return false
}

// makeRoom evicts for w where the queue is full, and reports whether w may
// wait. The lowest tier goes first. In the newcomer's own tier it evicts only
// for fairness: a late request, or one of the workspace that has most waiting.
func (p *Pool) makeRoom(w *waiter) bool {
	if len(p.waiting) < p.maxWaiting() {
		return true
	}
	last := p.lastWaiting()
	if last == nil || last.Tier < w.Item.Tier || last.Tier == w.Item.Tier && !p.yields(last, w) {
		p.giveUp(w, request.ReasonShed)
		return false
	}
	victim := last.Value
	p.drop(victim)
	p.giveUp(victim, request.ReasonShed)
	return true
}

// maxWaiting is the queue's bound: twice the configured one while the queue
// is being rebuilt.
func (p *Pool) maxWaiting() int {
	if p.entries.rebuilding(p.now) {
		return 2 * p.cfg.MaxWaiting
	}
	return p.cfg.MaxWaiting
}

// trim evicts what a rebuilt queue holds above its bound.
func (p *Pool) trim() {
	for len(p.waiting) > p.maxWaiting() {
		victim := p.lastWaiting().Value
		p.drop(victim)
		p.giveUp(victim, request.ReasonShed)
	}
}

// lastWaiting is the item to evict first. Suspects count by their tier as
// everyone else.
func (p *Pool) lastWaiting() *tier.Item[*waiter] {
	last, alone := p.queue.Last(), p.isolated.Last()
	if last == nil || alone != nil && alone.Tier > last.Tier {
		return alone
	}
	return last
}

// yields tells whether a waiting item goes before a newcomer of its own tier.
func (p *Pool) yields(last *tier.Item[*waiter], w *waiter) bool {
	if last.Class != w.Class {
		return last.Class > w.Class
	}
	if last.Workspace == w.Item.Workspace {
		return w.Due.Before(last.Due)
	}
	q := p.queueOf(last.Value)
	return q.WaitingOf(last.Tier, last.Workspace) > q.WaitingOf(last.Tier, w.Item.Workspace)+1
}

// giveUp ends a request that doesn't wait (any more): it goes to a sibling
// pool where a slot is free or a lower tier waits, else it is shed.
func (p *Pool) giveUp(w *waiter, reason request.Reason) {
	if !w.NoRedirect {
		if name, ok := p.siblingFor(w.Item.Tier, false); ok {
			p.emit(Redirect{Request: w.Request, Entry: w.Entry, Pool: name})
			return
		}
	}
	p.shed(&w.Enqueue, reason, p.nextReturn(w.Item.Tier))
}

// nextReturn is the Retry-After of a refused request: after what waits now, and after
// all others that were refused, at the pace of the last grants.
//
// What goes wrong without it: in a burst of seconds all refused callers are told to
// come back in half a second, when the burst still lasts, and the one retry that each
// has is refused too.
func (p *Pool) nextReturn(t request.Tier) time.Duration {
	room := p.now.Add(max(p.expectedWait(t), retryMin))
	if p.returnsUntil.Before(room) {
		p.returnsUntil = room
	}
	wait := min(p.returnsUntil.Sub(p.now), returnMost)
	p.returnsUntil = p.now.Add(wait + time.Duration(float64(time.Second)/max(1, returnShare*p.pace.grants(p.now))))
	return wait
}

// siblingFor picks a sibling for a request of a tier, and counts the request
// against the sibling's report, so that one report doesn't draw a crowd.
// freeOnly asks for a free slot.
func (p *Pool) siblingFor(t request.Tier, freeOnly bool) (string, bool) {
	names := make([]string, 0, len(p.siblings))
	for name, s := range p.siblings {
		if p.now.Sub(s.at) <= freshSibling {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if p.siblings[name].takes(t, freeOnly) {
			return name, true
		}
	}
	return "", false
}

func (s *sibling) takes(t request.Tier, freeOnly bool) bool {
	if s.Free > 0 {
		s.Free--
		return true
	}
	if freeOnly {
		return false
	}
	for lower := len(s.Waiting) - 1; lower > int(t); lower-- {
		if s.Waiting[lower] > 0 {
			s.Waiting[lower]--
			return true
		}
	}
	return false
}

// relieve sends requests to siblings with free slots while no server of this
// pool is up: they would wait here for nothing.
func (p *Pool) relieve() {
	if p.plain() || len(p.siblings) == 0 || slices.ContainsFunc(p.order, p.up) {
		return
	}
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		for it := p.queue.Head(t, tier.Live); it != nil && !it.Value.NoRedirect; it = p.queue.Head(t, tier.Live) {
			name, ok := p.siblingFor(t, true)
			if !ok {
				return
			}
			p.drop(it.Value)
			p.emit(Redirect{Request: it.Value.Request, Entry: it.Value.Entry, Pool: name})
		}
	}
}

func (p *Pool) shed(e *Enqueue, reason request.Reason, retry time.Duration) {
	p.tally.refused(e.Tier, reason)
	if reason == request.ReasonShed || reason == request.ReasonExpired {
		p.shares.Refused(p.now, e.Tier)
	}
	p.emit(Shed{Request: e.Request, Entry: e.Entry, Reason: reason, RetryAfter: p.retryAfter(retry)})
}

// retryAfter bounds and jitters a wait, so that callers refused together
// don't come back together.
func (p *Pool) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, retryMin), retryMax)
	return time.Duration(float64(d) * (1 - retryJitter + 2*retryJitter*p.random.Float64()))
}
