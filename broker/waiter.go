package broker

import (
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// waiter is one call of Acquire.
type waiter struct {
	demand  Demand
	expires time.Time // zero if it never expires
	done    chan result
	link    atomic.Pointer[link]
	// withdrawn is set before the withdrawal is posted, which may reach the link of a
	// redirect before the request itself.
	withdrawn atomic.Bool

	// The fields below are accessed by the link that holds the waiter only.
	redirected bool
	granted    *grant
	requeue    bool // enqueue again at the next tick
}

// result is the result of a call of Acquire.
type result struct {
	grant *grant
	err   error
}

func newWaiter(d Demand) *waiter {
	w := &waiter{demand: d, done: make(chan result, 1)}
	if deadline := d.Spec.Targets.Deadline; deadline > 0 {
		w.expires = d.Spec.Received.Add(deadline)
	}
	return w
}

// withdraw withdraws the request. A grant that it has got or still gets is returned
// unused.
func (w *waiter) withdraw() {
	w.withdrawn.Store(true)
	if l := w.link.Load(); l != nil {
		l.box.Post(withdrawMessage{w})
	}
}

// enqueueEvent returns the event that enqueues the request at the owner. It contains
// the request's age, so that the request keeps its place at a new owner.
func (w *waiter) enqueueEvent(now time.Time) pool.Enqueue {
	s := w.demand.Spec
	waited := max(0, now.Sub(s.Received))
	ev := pool.Enqueue{
		Request: s.ID, Workspace: s.Workspace, Template: s.Template, Model: s.Model, Tier: s.Tier,
		Waited: waited, DeadlineIn: noDeadline, PerToken: s.Targets.PerToken,
		PromptTokens: s.PromptTokens, MaxTokens: s.MaxTokens, ExpectedTokens: s.ExpectedTokens,
		Blocks: sentBlocks(s), Fingerprint: s.Fingerprint, Parts: s.Parts,
		MaxWaiting: w.demand.MaxWaiting, SentTo: w.demand.SentTo, NoRedirect: w.redirected || len(w.demand.Candidates) < 2,
		Version: w.demand.Version,
	}
	if s.Targets.FirstToken > 0 {
		ev.FirstTokenIn = s.Targets.FirstToken - waited
		if ev.FirstTokenIn == 0 {
			ev.FirstTokenIn = -1 // overdue; zero would mean that there is no target
		}
	}
	if !w.expires.IsZero() {
		ev.DeadlineIn = w.expires.Sub(now)
	}
	return ev
}

// maxSentBlocks is the maximum number of prefix blocks sent to an owner: those of a
// prompt's first 128k tokens, which decide where its prefix may be cached.
const maxSentBlocks = 2048

func sentBlocks(s *request.Spec) []uint64 { return s.Blocks[:min(maxSentBlocks, len(s.Blocks))] }

// candidate returns the candidate pool with a name, or nil.
func (w *waiter) candidate(name string) *workspace.ResolvedPool {
	for _, p := range w.demand.Candidates {
		if p.Name == name {
			return p
		}
	}
	return nil
}

func (w *waiter) id() request.ID { return w.demand.Spec.ID }
