package broker

import (
	"sync/atomic"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// grant implements Grant.
type grant struct {
	link   *link
	spec   *request.Spec
	id     pool.GrantID
	server workspace.BackendServer
	ended  atomic.Bool
	tokens atomic.Int64
	// firstTokenReported is set once the first token was reported to the owner. Only
	// the link accesses it, reportedTokens, namedRate and namedBrittle.
	firstTokenReported bool
	// namedRate is set if the answer named a limit on its server's requests per second.
	namedRate bool
	// namedBrittle is set if the answer named its server brittle.
	namedBrittle bool
	// reportedTokens is the number of tokens in the last report to the owner.
	reportedTokens int
}

// Server implements Grant.
func (g *grant) Server() workspace.BackendServer { return g.server }

// Progress implements Grant.
func (g *grant) Progress(firstToken time.Duration, tokens int, perToken time.Duration) {
	if g.ended.Load() {
		return
	}
	g.tokens.Store(int64(tokens))
	g.link.box.Post(progressMessage{pool.Progress{
		Request: g.spec.ID, Grant: g.id, Server: g.server.Name,
		FirstToken: firstToken, Tokens: tokens, PerToken: perToken,
	}})
}

// RateLimited implements Grant.
func (g *grant) RateLimited(perSecond float64) {
	if !g.ended.Load() {
		g.link.box.Post(rateLimitedMessage{pool.RateLimited{Grant: g.id, Server: g.server.Name, PerSecond: perSecond}})
	}
}

// Brittle implements Grant.
func (g *grant) Brittle(rejections int) {
	if !g.ended.Load() {
		g.link.box.Post(brittleMessage{pool.Brittle{Grant: g.id, Server: g.server.Name, Rejections: rejections}})
	}
}

// Leaving implements Grant.
func (g *grant) Leaving() {
	g.link.box.Post(leavingMessage{pool.Leaving{Server: g.server.Name, Incarnation: g.server.Incarnation}})
}

// Pushback implements Grant.
func (g *grant) Pushback(wait time.Duration) {
	e := g.link.entry
	now := e.cfg.Now()
	e.pushbacks.add(g.server, now, now.Add(wait))
	g.link.box.Post(pushbackMessage{pool.Pushback{Server: g.server.Name, Incarnation: g.server.Incarnation, For: wait}})
}

// PushedBack implements Grant.
func (g *grant) PushedBack() bool {
	e := g.link.entry
	return e.pushbacks.remaining(g.server, e.cfg.Now()) > 0
}

// Release implements Grant.
func (g *grant) Release(c Completion) {
	g.finish(pool.Release{
		Request: g.spec.ID, Grant: g.id, Server: g.server.Name, Outcome: c.Outcome,
		FirstToken: c.FirstToken, Total: c.Total, OutputTokens: c.OutputTokens,
		PromptTokens: c.PromptTokens, PrefillComputed: c.PrefillComputed, RefusedLeaving: c.RefusedLeaving,
		ServerGone: c.ServerGone, Reach: c.Reach,
	})
}

// ReturnUnused implements Grant.
func (g *grant) ReturnUnused() {
	g.link.entry.counters.returned.Add(1)
	g.finish(pool.Release{
		Request: g.spec.ID, Grant: g.id, Server: g.server.Name, Outcome: pool.OutcomeNotDispatched,
	})
}

// finish frees the slot once. Further calls do nothing: they would free a slot that
// another request may hold by then.
func (g *grant) finish(ev pool.Release) {
	if g.ended.CompareAndSwap(false, true) {
		g.link.box.Post(releaseMessage{ev})
	}
}

// runningEvent returns the event that reports the grant to a new owner.
func (g *grant) runningEvent() pool.Running {
	s := g.spec
	return pool.Running{
		Request: s.ID, Grant: g.id, Server: g.server.Name, Workspace: s.Workspace, Template: s.Template,
		Model: s.Model, Tier: s.Tier, Fingerprint: s.Fingerprint,
		PromptTokens: s.PromptTokens, MaxTokens: s.MaxTokens, ExpectedTokens: s.ExpectedTokens,
		Tokens: int(g.tokens.Load()), Blocks: sentBlocks(s), Parts: s.Parts,
	}
}
