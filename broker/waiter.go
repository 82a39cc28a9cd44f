package broker

import (
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// waiter is one call of Acquire. Only the link that holds it touches the
// fields below the line.
type waiter struct {
	demand  Demand
	expires time.Time // zero: never
	done    chan result
	link    atomic.Pointer[link]

	// -----
	redirected bool
	granted    *grant
	requeue    bool // to be enqueued again at the next tick
}

// result ends a call of Acquire.
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

// withdraw takes the request back, and a grant that comes, or came, in spite
// of it.
func (w *waiter) withdraw() {
	if l := w.link.Load(); l != nil {
		l.box.Post(withdrawMessage{w})
	}
}

// enqueueEvent returns the waiter's event as of now. Its age is told, so it keeps
// its place at a new owner.
func (w *waiter) enqueueEvent(now time.Time) pool.Enqueue {
	s := w.demand.Spec
	waited := max(0, now.Sub(s.Received))
	ev := pool.Enqueue{
		Request: s.ID, Workspace: s.Workspace, Template: s.Template, Model: s.Model, Tier: s.Tier,
		Waited: waited, DeadlineIn: noDeadline, PerToken: s.Targets.PerToken,
		PromptTokens: s.PromptTokens, MaxTokens: s.MaxTokens, ExpectedTokens: s.ExpectedTokens,
		Blocks: sentBlocks(s), Fingerprint: s.Fingerprint,
		MaxWaiting: w.demand.MaxWaiting, SentTo: w.demand.SentTo, NoRedirect: w.redirected || len(w.demand.Candidates) < 2,
	}
	if s.Targets.FirstToken > 0 {
		ev.FirstTokenIn = s.Targets.FirstToken - waited
		if ev.FirstTokenIn == 0 {
			ev.FirstTokenIn = -1 // late; zero would mean that nothing is promised
		}
	}
	if !w.expires.IsZero() {
		ev.DeadlineIn = w.expires.Sub(now)
	}
	return ev
}

// maxSentBlocks bounds the prefix blocks that an owner is told of; a prompt's
// first 128k tokens decide where its prefix may be cached.
const maxSentBlocks = 2048

func sentBlocks(s *request.Spec) []uint64 { return s.Blocks[:min(maxSentBlocks, len(s.Blocks))] }

// candidate returns the candidate pool of that name, or nil.
func (w *waiter) candidate(name string) *workspace.ResolvedPool {
	for _, p := range w.demand.Candidates {
		if p.Name == name {
			return p
		}
	}
	return nil
}

func (w *waiter) id() request.ID { return w.demand.Spec.ID }
