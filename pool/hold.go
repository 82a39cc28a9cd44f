package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/prefix"
	"github.com/lycheekeel/lycheekeel/pool/tier"
)

const (
	// holdSlackShare is the share of a request's slack for which it may be held.
	holdSlackShare = 0.5
	// holdMin is the smallest saving, and the smallest slack, that justifies a hold.
	holdMin = 10 * time.Millisecond
	// holdMax limits the duration of a hold.
	holdMax = 2 * time.Second
	// heldPerSlot limits the requests held for a server, per slot.
	heldPerSlot = 2
	// holdMinBlocks is the shortest prefix, in blocks, that justifies a hold.
	holdMinBlocks = 4
)

// holdFor holds a request for a server that caches its prefix or is computing it, if
// that beats the current option: the expected cost including the wait is lower and the
// targets are still met. It reports whether the request is held.
func (p *Pool) holdFor(w *waiter, current option) bool {
	if w.noHold || len(w.Blocks) < holdMinBlocks {
		return false
	}
	slack := p.holdSlack(w, current)
	if slack < holdMin {
		return false
	}
	best, wait, run := p.bestFutureOption(w, current)
	if best.server == nil || wait > slack || !p.meetsTargets(w, best, wait) {
		return false
	}
	p.hold(w, best.server, run, slack)
	return true
}

// holdSlack returns how long a request may be held and still be served on the current
// option in time.
func (p *Pool) holdSlack(w *waiter, current option) time.Duration {
	slack := holdMax
	if !w.firstTokenDue.IsZero() {
		left := w.firstTokenDue.Sub(p.now) - time.Duration(predictionMargin*float64(current.firstToken)) - predictionSlack
		slack = min(slack, time.Duration(holdSlackShare*float64(left)))
	}
	return slack
}

// bestFutureOption returns the best option that is not available yet, with the wait for
// it: a server that caches a longer prefix but has no free slot, or one on which a run is
// computing the prefix. It also returns that run.
func (p *Pool) bestFutureOption(w *waiter, current option) (best option, wait time.Duration, computing *run) {
	maxCost, openBudget := current.cost-holdMin, p.openBudgetFor(w)
	try := func(s *server, blocks int, after time.Duration, by *run) {
		if s.straggler || s.overdue || s == p.isolation || p.mustAvoid(w, s) || s.heldCount >= heldPerSlot*s.info.Slots {
			return
		}
		o := p.predictWith(w, s, blocks, 0)
		if o.uncachedTokens > p.promptRoom(w, s, 0, openBudget) || !p.meetsTokenTarget(w, s, 1, tokenTargetShare) ||
			o.cost+after+p.extraZoneCost(w, current.server, s) >= maxCost {
			return
		}
		maxCost, best, wait, computing = o.cost+after, o, after, by
	}
	p.tryBusyServers(w, current, try)
	p.tryComputing(w, current, try)
	return best, wait, computing
}

func (p *Pool) tryBusyServers(w *waiter, current option, try func(*server, int, time.Duration, *run)) {
	longest, holders := p.prefixes.LongestPrefix(prefixSet(p.sorted), w.Blocks)
	if longest < current.cachedBlocks+holdMinBlocks {
		return
	}
	prefix.EachServer(holders, func(i int) {
		s := p.byPrefixID[i]
		if s != nil && s.grantable && len(s.running) >= s.maxRunning {
			try(s, longest, p.slotWait(s), nil)
		}
	})
}

// tryComputing considers the run that is computing the longest part of the prefix.
func (p *Pool) tryComputing(w *waiter, current option, try func(*server, int, time.Duration, *run)) {
	low, high := 0, len(w.Blocks)/computingStride
	for low < high {
		middle := (low + high + 1) / 2
		if p.computing[w.Blocks[middle*computingStride-1]] != nil {
			low = middle
		} else {
			high = middle - 1
		}
	}
	low *= computingStride
	if low < current.cachedBlocks+holdMinBlocks {
		return
	}
	r := p.computing[w.Blocks[low-1]]
	if !r.server.grantable {
		return
	}
	ready := r.server.latency.FirstToken(r.prefillAhead+r.uncachedTokens) - p.now.Sub(r.grantedAt)
	after := max(ready, holdMin)
	if len(r.server.running) >= r.server.maxRunning {
		after = max(after, p.slotWait(r.server))
	}
	try(r.server, low, after, r)
}

// slotWait estimates when a full server will have a slot for the last of the requests
// held for it.
func (p *Pool) slotWait(s *server) time.Duration {
	n := max(1, len(s.running))
	return time.Duration(s.meanService * float64(s.heldCount+1) / float64(n) * float64(time.Second))
}

func (p *Pool) hold(w *waiter, s *server, r *run, slack time.Duration) {
	w.heldFor, w.heldRun, w.heldUntil = s, r, p.now.Add(slack)
	s.heldCount++
	p.held = append(p.held, w)
	p.queue.SetClass(&w.Item, tier.Held)
}

// removeHold ends a request's hold. The request stays in the queue.
func (p *Pool) removeHold(w *waiter) {
	w.heldFor.heldCount--
	w.heldFor, w.heldRun = nil, nil
	i := slices.Index(p.held, w)
	p.held = slices.Delete(p.held, i, i+1)
}

// endHolds ends holds. If the time is up or the server gets no grants, the request may
// go to any server and is not held again. If the prefix is ready and a slot is free, the
// request is scheduled again and finds the cached prefix.
func (p *Pool) endHolds() {
	for i := 0; i < len(p.held); {
		w := p.held[i]
		s := w.heldFor
		late := !p.now.Before(w.heldUntil) || !s.grantable || s.straggler || s.overdue || s == p.isolation
		ready := (w.heldRun == nil || w.heldRun.prefillDone) && len(s.running) < s.maxRunning
		if !late && !ready {
			i++
			continue
		}
		w.noHold = w.noHold || late
		p.removeHold(w)
		p.queue.SetClass(&w.Item, tier.OnTime)
	}
}
