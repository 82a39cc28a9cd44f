package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/prefix"
	"github.com/lycheekeel/lycheekeel/pool/tier"
)

const (
	// holdShare is the part of a request's slack for which it may be held.
	holdShare = 0.5
	// holdLeast is the least saving, and the least slack, worth a hold.
	holdLeast = 10 * time.Millisecond
	// holdMost bounds a hold.
	holdMost = 2 * time.Second
	// heldPerSlot bounds how many requests are held for one server.
	heldPerSlot = 2
	// holdBlocks is the least prefix worth a hold.
	holdBlocks = 4
)

// holdFor decides whether a request should wait a moment for a server that
// holds its prefix, or is computing it, rather than take an option now. The
// prefix is worth it while expected finish and prefill saved say so, and the
// targets stay in reach.
func (p *Pool) holdFor(w *waiter, now option) bool {
	if w.noHold || len(w.Blocks) < holdBlocks {
		return false
	}
	slack := p.slack(w, now)
	if slack < holdLeast {
		return false
	}
	better, wait, run := p.betterLater(w, now)
	if better.server == nil || wait > slack || !p.inTime(w, better, wait) {
		return false
	}
	p.hold(w, better.server, run, slack)
	return true
}

// slack is how long a request may be held and still be served elsewhere in
// time.
func (p *Pool) slack(w *waiter, now option) time.Duration {
	slack := holdMost
	if !w.firstToken.IsZero() {
		left := w.firstToken.Sub(p.now) - time.Duration(safeFactor*float64(now.first)) - safeSlack
		slack = min(slack, time.Duration(holdShare*float64(left)))
	}
	return slack
}

// betterLater returns the best option that is not yet to be had, with the
// wait for it: a server that holds a longer prefix but has no slot, or one
// where a run is computing it.
func (p *Pool) betterLater(w *waiter, now option) (better option, wait time.Duration, computing *run) {
	least := now.cost - holdLeast
	try := func(s *server, blocks int, after time.Duration, by *run) {
		if s.straggler || s.overdue || s == p.alone || s.held >= heldPerSlot*s.info.Slots {
			return
		}
		o := p.optionWith(w, s, blocks, 0)
		if !p.fastEnough(w, s, 1, tokenShare) || o.cost+after >= least {
			return
		}
		least, better, wait, computing = o.cost+after, o, after, by
	}
	p.tryBusyHolders(w, now, try)
	p.tryComputing(w, now, try)
	return better, wait, computing
}

func (p *Pool) tryBusyHolders(w *waiter, now option, try func(*server, int, time.Duration, *run)) {
	longest, holders := p.prefixes.Longest(indexSet(p.order), w.Blocks)
	if longest < now.cached+holdBlocks {
		return
	}
	prefix.Servers(holders, func(i int) {
		s := p.byIndex[i]
		if s != nil && s.ready && len(s.running) >= s.most {
			try(s, longest, p.slotWait(s), nil)
		}
	})
}

// tryComputing finds a run that computes the prefix now.
func (p *Pool) tryComputing(w *waiter, now option, try func(*server, int, time.Duration, *run)) {
	low, high := 0, len(w.Blocks)/pendingStride
	for low < high {
		middle := (low + high + 1) / 2
		if p.pending[w.Blocks[middle*pendingStride-1]] != nil {
			low = middle
		} else {
			high = middle - 1
		}
	}
	low *= pendingStride
	if low < now.cached+holdBlocks {
		return
	}
	r := p.pending[w.Blocks[low-1]]
	if !r.server.ready {
		return
	}
	ready := r.server.speed.FirstToken(r.ahead+r.uncached) - p.now.Sub(r.since)
	after := max(ready, holdLeast)
	if len(r.server.running) >= r.server.most {
		after = max(after, p.slotWait(r.server))
	}
	try(r.server, low, after, r)
}

// slotWait estimates when a full server's next slot comes free, for the last
// of those held for it.
func (p *Pool) slotWait(s *server) time.Duration {
	n := max(1, len(s.running))
	return time.Duration(s.service * float64(s.held+1) / float64(n) * float64(time.Second))
}

func (p *Pool) hold(w *waiter, s *server, r *run, slack time.Duration) {
	w.heldFor, w.heldRun, w.heldUntil = s, r, p.now.Add(slack)
	s.held++
	p.held = append(p.held, w)
	p.queue.Reclass(&w.Item, tier.Held)
}

// forgetHeld takes a request out of the held ones; it stays in the queue.
func (p *Pool) forgetHeld(w *waiter) {
	w.heldFor.held--
	w.heldFor, w.heldRun = nil, nil
	i := slices.Index(p.held, w)
	p.held = slices.Delete(p.held, i, i+1)
}

// endHolds puts held requests back: those whose time is up or whose server
// gets no grants go anywhere; those whose prefix is ready where a slot is free
// are chosen anew, and find it.
func (p *Pool) endHolds() {
	for i := 0; i < len(p.held); {
		w := p.held[i]
		s := w.heldFor
		late := !p.now.Before(w.heldUntil) || !s.ready || s.straggler || s.overdue || s == p.alone
		ready := (w.heldRun == nil || w.heldRun.first) && len(s.running) < s.most
		if !late && !ready {
			i++
			continue
		}
		w.noHold = w.noHold || late
		p.forgetHeld(w)
		p.queue.Reclass(&w.Item, tier.Live)
	}
}
