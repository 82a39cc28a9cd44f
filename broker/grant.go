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
	// firstTold is set once the owner was told of the first token; this and
	// toldTokens are touched by the link only.
	firstTold bool
	// toldTokens is how many tokens the owner was told of last.
	toldTokens int
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

// Release implements Grant.
func (g *grant) Release(end End) {
	g.end(pool.Release{
		Request: g.spec.ID, Grant: g.id, Server: g.server.Name, Outcome: end.Outcome,
		FirstToken: end.FirstToken, Total: end.Total, OutputTokens: end.OutputTokens,
		PromptTokens: end.PromptTokens, PrefillComputed: end.PrefillComputed, RefusedLeaving: end.RefusedLeaving,
	})
}

// Return implements Grant.
func (g *grant) Return() {
	g.link.entry.count.returned.Add(1)
	g.end(pool.Release{
		Request: g.spec.ID, Grant: g.id, Server: g.server.Name, Outcome: pool.OutcomeNotDispatched,
	})
}

// end frees the slot once; a second end is dropped, else a slot that another
// request holds by then would seem free.
func (g *grant) end(ev pool.Release) {
	if g.ended.CompareAndSwap(false, true) {
		g.link.box.Post(releaseMessage{ev})
	}
}

// running returns the report of the grant for a new owner.
func (g *grant) running() pool.Running {
	s := g.spec
	return pool.Running{
		Request: s.ID, Grant: g.id, Server: g.server.Name, Workspace: s.Workspace, Template: s.Template,
		Model: s.Model, Tier: s.Tier, Fingerprint: s.Fingerprint,
		PromptTokens: s.PromptTokens, MaxTokens: s.MaxTokens, ExpectedTokens: s.ExpectedTokens,
		Tokens: int(g.tokens.Load()), Blocks: sentBlocks(s),
	}
}
