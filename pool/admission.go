package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/suspect"
	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

const (
	retryAfterMin    = 500 * time.Millisecond
	retryAfterMax    = 30 * time.Second
	retryAfterJitter = 0.25 // relative, in both directions
	// retryGrantShare is the share of grants assumed to be available for retries. New
	// requests keep arriving and take the rest.
	retryGrantShare = 0.5
	// retrySpreadMax limits the time over which retries are spread. Nobody can predict
	// when a longer overload ends.
	retrySpreadMax = 10 * time.Second
	// siblingMaxAge is the age beyond which a sibling's report is ignored.
	siblingMaxAge = 2 * time.Second
)

// sibling is the last report of another pool that serves the same model.
type sibling struct {
	Sibling
	reportedAt time.Time
}

func (p *Pool) updateSibling(e Sibling) {
	if e.Gone {
		delete(p.siblings, e.Pool)
		return
	}
	p.siblings[e.Pool] = &sibling{Sibling: e, reportedAt: p.now.Add(-e.Age)}
}

// admit queues a request, or sheds it or another request.
//
// Every limit follows one rule: no request is shed while a request of a lower tier
// waits in this pool or, according to recent reports, in a sibling pool.
func (p *Pool) admit(w *waiter) {
	p.beginTrial(w)
	switch p.suspectState(w) {
	case suspect.Confirmed:
		p.shedConfirmed(w)
		return
	case suspect.Suspected:
		p.admitSuspect(w)
		return
	}
	if !p.versionListed(w) {
		p.shed(&w.Enqueue, request.ReasonVersionUnavailable, retryAfterMin)
		return
	}
	if p.exceedsWorkspaceLimit(w) && !p.admitOverLimit(w) {
		return
	}
	if !p.makeRoom(w) {
		return
	}
	p.queueWaiter(w)
}

func (p *Pool) queueWaiter(w *waiter) {
	p.waiting[w.Request] = w
	p.queue.Push(&w.Item)
}

func (p *Pool) exceedsWorkspaceLimit(w *waiter) bool {
	return w.MaxWaiting > 0 && !p.entries.rebuilding(p.now) &&
		p.queue.WaitingOf(w.Item.Tier, w.Item.Workspace) >= w.MaxWaiting
}

// admitOverLimit handles a request above its workspace's limit and reports whether it
// may wait. While a request of a lower tier waits, the request is admitted at the end
// of its tier. It then replaces a lower-tier request of its own workspace, if that one
// is in the lowest waiting tier. So the limit never inverts the order of tiers.
func (p *Pool) admitOverLimit(w *waiter) bool {
	if !p.lowerTierWaits(w.Item.Tier) {
		p.redirectOrShed(w, request.ReasonWorkspaceLimit)
		return false
	}
	w.Class = tier.Late
	if own := p.queue.VictimBelow(w.Item.Tier, w.Item.Workspace); own != nil && !p.lowerTierWaits(own.Tier) {
		victim := own.Value
		p.removeWaiter(victim)
		p.redirectOrShed(victim, request.ReasonWorkspaceLimit)
	}
	return true
}

func (p *Pool) lowerTierWaits(t request.Tier) bool {
	for lower := t + 1; lower < request.MaxTiers; lower++ {
		if p.queue.Waiting(lower)+p.isolated.Waiting(lower) > 0 {
			return true
		}
	}
	return false
}

// makeRoom evicts a request if the queue is full, and reports whether w may wait. The
// lowest tier is evicted first. Within the tier of w it evicts only for fairness: late
// requests, or requests of the workspace with the most waiting requests.
func (p *Pool) makeRoom(w *waiter) bool {
	if len(p.waiting) < p.maxWaiting() {
		return true
	}
	last := p.evictionCandidate()
	if last == nil || last.Tier < w.Item.Tier || last.Tier == w.Item.Tier && !p.isEvictedFor(last, w) {
		p.redirectOrShed(w, request.ReasonShed)
		return false
	}
	victim := last.Value
	p.removeWaiter(victim)
	p.redirectOrShed(victim, request.ReasonShed)
	return true
}

// maxWaiting is the queue limit. It is doubled while a new owner rebuilds the queue.
func (p *Pool) maxWaiting() int {
	if p.entries.rebuilding(p.now) {
		return 2 * p.cfg.MaxWaiting
	}
	return p.cfg.MaxWaiting
}

// evictExcess evicts requests above the queue limit after the queue was rebuilt.
func (p *Pool) evictExcess() {
	for len(p.waiting) > p.maxWaiting() {
		victim := p.evictionCandidate().Value
		p.removeWaiter(victim)
		p.redirectOrShed(victim, request.ReasonShed)
	}
}

// evictionCandidate returns the item to evict first. Suspects are ranked by tier like
// all other requests.
func (p *Pool) evictionCandidate() *tier.Item[*waiter] {
	last, isolated := p.queue.Victim(), p.isolated.Victim()
	if last == nil || isolated != nil && isolated.Tier > last.Tier {
		return isolated
	}
	return last
}

// isEvictedFor reports whether a waiting item is evicted for a new request of the same
// tier.
func (p *Pool) isEvictedFor(last *tier.Item[*waiter], w *waiter) bool {
	if last.Class != w.Class {
		return last.Class > w.Class
	}
	if last.Workspace == w.Item.Workspace {
		return w.Due.Before(last.Due)
	}
	q := p.queueOf(last.Value)
	return q.WaitingOf(last.Tier, last.Workspace) > q.WaitingOf(last.Tier, w.Item.Workspace)+1
}

// redirectOrShed ends a request that is not in the queue. It is redirected to a sibling
// pool that has a free slot or a waiting request of a lower tier; otherwise it is shed.
func (p *Pool) redirectOrShed(w *waiter, reason request.Reason) {
	if !w.NoRedirect {
		if name, ok := p.pickSibling(w.Item.Tier, false); ok {
			p.emit(Redirect{Request: w.Request, Entry: w.Entry, Pool: name})
			return
		}
	}
	p.shed(&w.Enqueue, reason, p.nextRetryAfter(w.Item.Tier))
}

// nextRetryAfter returns the Retry-After of a shed request: after the current backlog
// and after the retries of all callers shed before, at the current grant rate.
//
// Without it, all callers shed in a burst of seconds would be told to retry after half
// a second. The burst would still last, and their only retry would be shed too.
func (p *Pool) nextRetryAfter(t request.Tier) time.Duration {
	room := p.now.Add(max(p.expectedWait(t), retryAfterMin))
	if p.retryHorizon.Before(room) {
		p.retryHorizon = room
	}
	wait := min(p.retryHorizon.Sub(p.now), retrySpreadMax)
	p.retryHorizon = p.now.Add(wait + time.Duration(float64(time.Second)/max(1, retryGrantShare*p.rates.grantRate(p.now))))
	return wait
}

// pickSibling picks a sibling for a request of a tier and charges the request to the
// sibling's report, so that one report does not attract too many requests. freeOnly
// accepts only siblings with a free slot.
func (p *Pool) pickSibling(t request.Tier, freeOnly bool) (string, bool) {
	names := make([]string, 0, len(p.siblings))
	for name, s := range p.siblings {
		if p.now.Sub(s.reportedAt) <= siblingMaxAge {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if p.siblings[name].tryReserve(t, freeOnly) {
			return name, true
		}
	}
	return "", false
}

func (s *sibling) tryReserve(t request.Tier, freeOnly bool) bool {
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

// redirectWhileDown redirects requests to siblings with free slots while no server of
// this pool is up: they could not get a slot here.
func (p *Pool) redirectWhileDown() {
	if p.isBaseline() || len(p.siblings) == 0 || slices.ContainsFunc(p.sorted, p.up) {
		return
	}
	for t := request.Tier(0); t < request.MaxTiers; t++ {
		for it := p.queue.Head(t, tier.OnTime); it != nil && !it.Value.NoRedirect; it = p.queue.Head(t, tier.OnTime) {
			name, ok := p.pickSibling(t, true)
			if !ok {
				return
			}
			p.removeWaiter(it.Value)
			p.emit(Redirect{Request: it.Value.Request, Entry: it.Value.Entry, Pool: name})
		}
	}
}

func (p *Pool) shed(e *Enqueue, reason request.Reason, retry time.Duration) {
	p.tally.countRefusal(e.Tier, reason)
	if reason == request.ReasonShed || reason == request.ReasonExpired {
		p.fairShare.RecordRefusal(p.now, e.Tier)
	}
	p.emit(Shed{Request: e.Request, Entry: e.Entry, Reason: reason, RetryAfter: p.jitterRetryAfter(retry)})
}

// jitterRetryAfter limits and jitters a retry delay, so that callers shed together do
// not retry together.
func (p *Pool) jitterRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, retryAfterMin), retryAfterMax)
	return time.Duration(float64(d) * (1 - retryAfterJitter + 2*retryAfterJitter*p.rng.Float64()))
}
