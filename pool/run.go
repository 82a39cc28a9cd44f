package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/pool/estimate"
	"github.com/lycheekeel/lycheekeel/request"
)

// computingStride is the distance, in blocks, between the recorded prefixes of prompts
// being computed. Recording every block would cost a map access each for little gain.
const computingStride = 4

// run is a grant that has not been released.
type run struct {
	id          GrantID
	request     request.ID
	entry       EntryID
	server      *server
	index       int // in server.running
	grantedAt   time.Time
	tier        request.Tier
	workspace   string
	estimateKey estimate.Key
	fingerprint uint64
	parts       []uint64
	suspect     bool // granted as a suspect

	promptTokens, maxTokens int
	hint                    int // caller's estimate of the answer, in tokens; 0 means none
	blocks                  []uint64
	perToken                time.Duration // target between tokens
	cost                    float64       // as charged to the workspace
	deadline                time.Time

	cachedBlocks   int // leading blocks expected in the cache
	uncachedTokens int // prompt tokens to compute
	prefillAhead   int // prefill tokens pending on the server before this run
	kvTokens       int // KV memory that it will need, in tokens
	runningAtGrant int // running requests on the server, including this one, when it was granted

	prefillDone       bool // its first token has arrived, or it has been removed
	generated         int  // answer tokens so far
	prefilledAtReport int  // server.prefillTotal at its last report
	lastReport        time.Time
	withdrawnAt       time.Time
	crashed           bool      // its server crashed while it ran
	namedBrittle      bool      // its answer named its server brittle
	firstToken        bool      // it has brought a token
	namedRate         bool      // its answer named a limit on the server's requests per second
	late              bool      // granted as late, or its first token came after firstTokenDue
	firstTokenDue     time.Time // zero means no target, or unknown
	adopted           bool      // granted by an earlier owner, or without a grant
	extra             extra
}

// isCall reports whether the run is a call to a plain service, which has no tokens.
func (r *run) isCall() bool { return r.promptTokens == 0 && r.maxTokens == 0 }

func (p *Pool) addRun(r *run) {
	s := r.server
	r.index = len(s.running)
	s.running = append(s.running, r)
	s.kvTokens += r.kvTokens
	p.byGrant[r.id] = r
	p.byRequest[r.request] = r
	if r.prefillDone {
		return
	}
	s.pendingPrefill += r.uncachedTokens
	for i := computingStride - 1; i < len(r.blocks); i += computingStride {
		p.computing[r.blocks[i]] = r
	}
}

func (p *Pool) removeRun(r *run) {
	p.endPrefill(r)
	p.tally.countEnd(r, p.now)
	s := r.server
	last := len(s.running) - 1
	s.running[r.index] = s.running[last]
	s.running[r.index].index = r.index
	s.running = slices.Delete(s.running, last, last+1)
	s.kvTokens -= r.kvTokens
	p.slotFreed(r)
	delete(p.byGrant, r.id)
	if p.byRequest[r.request] == r {
		delete(p.byRequest, r.request)
	}
	if !s.configured && len(s.running) == 0 {
		p.removeIdleServers()
	}
}

// endPrefill removes a run's prompt from its server's pending prefill.
func (p *Pool) endPrefill(r *run) {
	if r.prefillDone {
		return
	}
	r.prefillDone = true
	r.server.pendingPrefill -= r.uncachedTokens
	r.server.prefillTotal += r.uncachedTokens
	for i := computingStride - 1; i < len(r.blocks); i += computingStride {
		if p.computing[r.blocks[i]] == r {
			delete(p.computing, r.blocks[i])
		}
	}
}

func (p *Pool) progress(e Progress) {
	r := p.byGrant[e.Grant]
	if r == nil {
		return
	}
	r.lastReport = p.now
	if e.Tokens > 0 {
		r.late = r.late || !r.firstToken && !r.firstTokenDue.IsZero() && p.now.After(r.firstTokenDue)
		r.firstToken = true
		r.server.lastProgress = p.now
		p.serverWorks(r)
		p.serverSucceeded(r.server)
	}
	if p.isBaseline() {
		return
	}
	if e.FirstToken > 0 && !r.prefillDone && !r.isCall() {
		p.recordFirstToken(r, e.FirstToken)
	}
	if e.PerToken > 0 && e.Tokens > r.generated {
		p.observeToken(r, e.PerToken, e.Tokens-r.generated)
	}
	r.generated = max(r.generated, e.Tokens)
	r.prefilledAtReport = r.server.prefillTotal
	p.growLength(r)
}

// recordFirstToken handles a run's first token: its prompt is computed and cached.
func (p *Pool) recordFirstToken(r *run, took time.Duration) {
	p.endPrefill(r)
	r.prefilledAtReport = r.server.prefillTotal
	p.observeFirstToken(r, took)
	if r.server.prefixID >= 0 && len(r.blocks) > 0 {
		p.prefixes.StorePrompt(p.now, r.server.prefixID, r.blocks)
	}
}

// release frees a grant's slot. It is idempotent: a release of an unknown or already
// released grant has no effect.
func (p *Pool) release(e Release) {
	r := p.byGrant[e.Grant]
	if r == nil || r.entry != e.Entry {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		p.serverWorks(r)
		p.roomAccepts(r)
		p.forgetLostAnswers(r.fingerprint)
		p.partsFinished(r, e)
		p.serverSucceeded(r.server)
		r.server.failureRate.add(p.now, false)
		p.handleDone(r, e)
	case OutcomeNotDispatched:
		p.refund(r, r.cost)
	case OutcomeNotSent:
		p.refund(r, r.cost)
		p.connectFailed(r, e)
	case OutcomeRefused:
		p.refund(r, r.cost)
		p.handleRefusal(r, e)
	case OutcomeCrashed:
		p.recordLostRun(r)
		p.serverCrashed(r.server, r)
	case OutcomeStreamLost:
		p.streamLost(r, e)
	case OutcomeFailed:
		p.serverWorks(r)
		p.runFailed(r)
		r.server.failureRate.add(p.now, true)
	}
	p.removeRun(r)
	if r.suspect {
		p.suspectEnded(r, e.Outcome)
	}
}

// streamLost handles a run whose answer was lost. If another daemon reaches the server, the
// entry has lost its own link, which says nothing about the server.
func (p *Pool) streamLost(r *run, e Release) {
	if e.Reach == ReachedByPeer {
		return
	}
	p.runLost(r)
	r.server.failureRate.add(p.now, true)
	p.recordLostRun(r)
	p.answerLost(r, e)
	if p.confirmsGone(r, e) {
		p.serverGone(r.server)
	}
}

// handleRefusal handles a run that the server has refused.
func (p *Pool) handleRefusal(r *run, e Release) {
	s := r.server
	if e.ServerGone {
		p.serverGone(s) // its address is another server's
	} else {
		p.serverWorks(r)
	}
	p.serverAnswered(s)
	switch {
	case e.RefusedLeaving:
		s.leavingUntil = p.now.Add(leavingTimeout)
	case p.isBrittle():
		p.roomRejects(r)
	case !e.ServerGone && p.rejectsExtraCalls(r):
		p.pauseExtraCalls(r)
	default:
		p.pauseExtraCalls(r)
		p.pauseForAll(r, true)
	}
}

// handleDone updates the statistics from a complete answer.
func (p *Pool) handleDone(r *run, e Release) {
	s := r.server
	s.backoff, s.lastProgress = 0, p.now
	p.servedWork.Add(p.now, r.cost)
	if p.isBaseline() {
		return
	}
	took := r.timeInSlot(p.now, e.Total)
	if r.isCall() {
		p.observeOverlap(r, e.Total, took)
		p.observeCall(r, took)
	} else if e.FirstToken > 0 && !r.prefillDone {
		p.recordFirstToken(r, e.FirstToken)
	}
	if e.OutputTokens > r.generated+1 && r.generated == 0 && e.Total > e.FirstToken {
		n := e.OutputTokens - 1
		p.observeToken(r, (e.Total-e.FirstToken)/time.Duration(n), n)
	}
	if e.Total > 0 {
		s.meanService += serviceWeight * (took.Seconds() - s.meanService)
	}
	p.confirmPrefix(r, e)
	p.recordLength(r, e)
	if p.suspects.Clear(p.now, r.fingerprint) {
		p.emit(ShareSuspect{Fingerprint: r.fingerprint, State: SuspectCleared})
	}
}

const serviceWeight = 0.1 // weight of a new service time in the moving average

// confirmPrefix compares the expected length of the cached prefix with the actual one.
func (p *Pool) confirmPrefix(r *run, e Release) {
	if r.server.prefixID < 0 || len(r.blocks) == 0 || e.PromptTokens == 0 || e.PrefillComputed == 0 {
		return
	}
	found := (e.PromptTokens - e.PrefillComputed + 1) / engine.BlockTokens
	p.prefixes.Reconcile(r.server.prefixID, r.blocks, r.cachedBlocks, found)
}

// refund returns a part of its charge to a workspace; a negative amount charges more.
func (p *Pool) refund(r *run, amount float64) {
	if !p.isBaseline() {
		p.queue.AdjustCharge(r.tier, r.workspace, -amount)
	}
}

// adopt counts a run that an earlier owner granted or that an entry started without a
// grant.
func (p *Pool) adopt(e Running) {
	e.PromptTokens, e.MaxTokens, e.ExpectedTokens = max(0, e.PromptTokens), max(0, e.MaxTokens), max(0, e.ExpectedTokens)
	p.markEntryAlive(e.Entry)
	if r := p.byGrant[e.Grant]; r != nil {
		r.lastReport = p.now
		return
	}
	if w := p.waiting[e.Request]; w != nil {
		p.removeWaiter(w)
	}
	key := estimate.Key{Workspace: e.Workspace, Template: e.Template, Model: e.Model}
	r := &run{
		id: e.Grant, request: e.Request, entry: e.Entry, server: p.server(e.Server), grantedAt: p.now, lastReport: p.now,
		tier: min(e.Tier, request.MaxTiers-1), workspace: e.Workspace, estimateKey: key, fingerprint: e.Fingerprint, parts: e.Parts,
		promptTokens: e.PromptTokens, maxTokens: e.MaxTokens, hint: e.ExpectedTokens, blocks: e.Blocks, generated: e.Tokens,
		adopted: true, prefillDone: e.Tokens > 0, uncachedTokens: e.PromptTokens,
		kvTokens: e.PromptTokens + p.expectLength(key, e.ExpectedTokens, e.MaxTokens).High,
	}
	r.cost = workCost(e.PromptTokens, e.MaxTokens)
	p.addRun(r)
	p.roomAdopts(r.server)
}
