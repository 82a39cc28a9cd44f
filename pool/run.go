package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/pool/estimate"
	"github.com/lycheekeel/lycheekeel/request"
)

// pendingStride is how many blocks apart the prefixes that are being computed
// are remembered: finer would cost a map access a block for little.
const pendingStride = 4

// run is a grant that has not been released.
type run struct {
	id          GrantID
	request     request.ID
	entry       EntryID
	server      *server
	index       int // in server.running
	since       time.Time
	tier        request.Tier
	workspace   string
	mix         estimate.Mix
	fingerprint uint64
	alone       bool // granted as a suspect

	prompt, maxTokens int
	hint              int // the caller's estimate of the answer; 0: none
	blocks            []uint64
	perToken          time.Duration // target
	cost              float64       // as charged
	deadline          time.Time

	cached   int // leading blocks believed to be cached
	uncached int // prompt tokens to compute
	ahead    int // prefill tokens on the server before it
	tokens   int // KV memory that it will need
	at       int // running requests when it began

	first         bool // its first token has come, or it was released
	had           int  // tokens so far
	prefilledThen int  // server.prefilled at its last report
	heard         time.Time
	withdrawn     time.Time
	crashed       bool // its server crashed under it
}

// call tells whether the run is a call to a plain service: it has no tokens.
func (r *run) call() bool { return r.prompt == 0 && r.maxTokens == 0 }

func (p *Pool) addRun(r *run) {
	s := r.server
	r.index = len(s.running)
	s.running = append(s.running, r)
	s.tokens += r.tokens
	p.byGrant[r.id] = r
	p.granted[r.request] = r
	if r.first {
		return
	}
	s.prefill += r.uncached
	for i := pendingStride - 1; i < len(r.blocks); i += pendingStride {
		p.pending[r.blocks[i]] = r
	}
}

func (p *Pool) removeRun(r *run) {
	p.prefillDone(r)
	p.tally.ended(r, p.now)
	s := r.server
	last := len(s.running) - 1
	s.running[r.index] = s.running[last]
	s.running[r.index].index = r.index
	s.running = slices.Delete(s.running, last, last+1)
	s.tokens -= r.tokens
	delete(p.byGrant, r.id)
	if p.granted[r.request] == r {
		delete(p.granted, r.request)
	}
	if !s.present && len(s.running) == 0 {
		p.forgetServers()
	}
}

// prefillDone takes a run's prompt off what its server still has to compute.
func (p *Pool) prefillDone(r *run) {
	if r.first {
		return
	}
	r.first = true
	r.server.prefill -= r.uncached
	r.server.prefilled += r.uncached
	for i := pendingStride - 1; i < len(r.blocks); i += pendingStride {
		if p.pending[r.blocks[i]] == r {
			delete(p.pending, r.blocks[i])
		}
	}
}

func (p *Pool) progress(e Progress) {
	r := p.byGrant[e.Grant]
	if r == nil {
		return
	}
	r.heard = p.now
	if e.Tokens > 0 {
		r.server.progressed = p.now
		p.succeeded(r.server)
	}
	if p.plain() {
		return
	}
	if e.FirstToken > 0 && !r.first && !r.call() {
		p.firstToken(r, e.FirstToken)
	}
	if e.PerToken > 0 && e.Tokens > r.had {
		p.observeToken(r, e.PerToken, e.Tokens-r.had)
	}
	r.had = max(r.had, e.Tokens)
	r.prefilledThen = r.server.prefilled
	p.correctLength(r)
}

// firstToken learns from a first token: the prompt is computed and cached.
func (p *Pool) firstToken(r *run, took time.Duration) {
	p.prefillDone(r)
	r.prefilledThen = r.server.prefilled
	p.observeFirst(r, took)
	if r.server.index >= 0 && len(r.blocks) > 0 {
		p.prefixes.Store(p.now, r.server.index, r.blocks)
	}
}

// release frees a grant's slot. A late, doubled or unknown release finds no
// run and does nothing.
func (p *Pool) release(e Release) {
	r := p.byGrant[e.Grant]
	if r == nil || r.entry != e.Entry {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		p.succeeded(r.server)
		r.server.failures.add(p.now, false)
		p.learnDone(r, e)
	case OutcomeNotDispatched:
		p.refund(r, r.cost)
	case OutcomeNotSent, OutcomeRefused:
		p.refund(r, r.cost)
		p.learnRefusal(r.server, e)
	case OutcomeCrashed:
		p.lose(r)
		p.serverCrashed(r.server, r)
	case OutcomeBroken:
		p.runBroke(r)
		r.server.failures.add(p.now, true)
		p.lose(r)
	case OutcomeFailed:
		p.runFailed(r)
		r.server.failures.add(p.now, true)
	}
	p.removeRun(r)
	if r.alone {
		p.aloneEnded(r, e.Outcome)
	}
}

func (p *Pool) learnRefusal(s *server, e Release) {
	if e.Outcome == OutcomeRefused {
		p.heard(s)
	}
	if e.RefusedLeaving {
		s.leavingTill = p.now.Add(leavingFor)
		return
	}
	p.leaveAlone(s)
}

// learnDone learns from a whole answer.
func (p *Pool) learnDone(r *run, e Release) {
	s := r.server
	s.pause, s.progressed = 0, p.now
	p.served.Add(p.now, r.cost)
	if p.plain() {
		return
	}
	if r.call() {
		p.observeCall(r, e.Total)
	} else if e.FirstToken > 0 && !r.first {
		p.firstToken(r, e.FirstToken)
	}
	if e.OutputTokens > r.had+1 && r.had == 0 && e.Total > e.FirstToken {
		n := e.OutputTokens - 1
		p.observeToken(r, (e.Total-e.FirstToken)/time.Duration(n), n)
	}
	if e.Total > 0 {
		s.service += serviceStep * (e.Total.Seconds() - s.service)
	}
	p.learnPrefix(r, e)
	p.learnLength(r, e)
	if p.suspects.Release(p.now, r.fingerprint) {
		p.emit(ShareSuspect{Fingerprint: r.fingerprint, State: SuspectCleared})
	}
}

const serviceStep = 0.1 // weight of a new service time in the mean

// learnPrefix compares what was believed to be cached with what was.
func (p *Pool) learnPrefix(r *run, e Release) {
	if r.server.index < 0 || len(r.blocks) == 0 || e.PromptTokens == 0 || e.PrefillComputed == 0 {
		return
	}
	found := (e.PromptTokens - e.PrefillComputed + 1) / engine.BlockTokens
	p.prefixes.Confirm(r.server.index, r.blocks, r.cached, found)
}

// refund gives a workspace back what it was charged too much; it may be
// negative.
func (p *Pool) refund(r *run, amount float64) {
	if !p.plain() {
		p.queue.Correct(r.tier, r.workspace, -amount)
	}
}

// adopt counts a run that an earlier owner granted, or that an entry began by
// itself.
func (p *Pool) adopt(e Running) {
	e.PromptTokens, e.MaxTokens, e.ExpectedTokens = max(0, e.PromptTokens), max(0, e.MaxTokens), max(0, e.ExpectedTokens)
	p.entryHeard(e.Entry)
	if r := p.byGrant[e.Grant]; r != nil {
		r.heard = p.now
		return
	}
	if w := p.waiting[e.Request]; w != nil {
		p.drop(w)
	}
	mix := estimate.Mix{Workspace: e.Workspace, Template: e.Template, Model: e.Model}
	r := &run{
		id: e.Grant, request: e.Request, entry: e.Entry, server: p.server(e.Server), since: p.now, heard: p.now,
		tier: min(e.Tier, request.MaxTiers-1), workspace: e.Workspace, mix: mix, fingerprint: e.Fingerprint,
		prompt: e.PromptTokens, maxTokens: e.MaxTokens, hint: e.ExpectedTokens, blocks: e.Blocks, had: e.Tokens,
		first: e.Tokens > 0, uncached: e.PromptTokens,
		tokens: e.PromptTokens + p.expectLength(mix, e.ExpectedTokens, e.MaxTokens).High,
	}
	r.cost = cost(e.PromptTokens, e.MaxTokens)
	p.addRun(r)
}
