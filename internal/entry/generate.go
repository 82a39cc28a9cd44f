package entry

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// generate serves a chat or completion request.
func (x *exchange) generate(ctx *fasthttp.RequestCtx, kind api) error {
	g, err := x.readGeneration(ctx, kind)
	if err != nil {
		return err
	}
	x.watchCaller(ctx)
	a, err := x.startRun(x.engineRun(g))
	if err != nil {
		return err
	}
	format := newFormat(g, x.id, x.received)
	if g.stream {
		return x.stream(ctx, a, format)
	}
	return x.writeWhole(ctx, a, format)
}

// readGeneration reads, validates and classifies the request. Only the prompt is kept
// of its body.
func (x *exchange) readGeneration(ctx *fasthttp.RequestCtx, kind api) (*generation, error) {
	body, err := x.readBody(ctx)
	if err != nil {
		return nil, err
	}
	g, err := parseGeneration(kind, body)
	if err != nil {
		return nil, err
	}
	m, ok := x.workspace.Models[g.model]
	if !ok {
		return nil, request.Refuse(request.ReasonUnknownModel, "no model %q in this workspace; see GET %s", g.model, pathModels)
	}
	if err := x.classifyModelCall(g, m); err != nil {
		return nil, err
	}
	if !x.spec.Idempotent {
		x.contentHash = claimHash(ctx.Path(), body)
	}
	if !x.body.Resize(int64(len(g.prompt) + len(g.lastMessage))) {
		return nil, memoryRefusal()
	}
	return g, nil
}

// classifyModelCall completes the spec of a model request.
func (x *exchange) classifyModelCall(g *generation, m *workspace.ResolvedModel) error {
	tier := m.Tier
	if tier == nil {
		tier = x.workspace.DefaultTier
	}
	if err := x.classify(tier, !m.NonIdempotent); err != nil {
		return err
	}
	s := x.spec
	s.Model = m.Name
	s.Version = m.Version
	s.PromptTokens = engine.EstimateTokens(g.prompt)
	s.MaxTokens = limitTokens(g.maxTokens, x.workspace.MaxTokens)
	s.Blocks = blockHashes(m.Version, g.prompt)
	s.Fingerprint = request.Fingerprint(s.Workspace, m.Version, []byte(g.prompt))
	key := workspace.ModelRegion{Model: m.Name, Version: m.Version, Region: x.entry.deps.Region}
	x.demand.Candidates = x.snapshot.ModelPools[key]
	if !hasServer(x.demand.Candidates) {
		return request.Refuse(request.ReasonNoServer, "no pool serves model %q version %q here", m.Name, m.Version)
	}
	return nil
}

// hasServer reports whether any of the pools has a server. Without one, the request is
// refused at once instead of waiting until its deadline.
func hasServer(pools []*workspace.ResolvedPool) bool {
	for _, p := range pools {
		if len(p.Servers) > 0 {
			return true
		}
	}
	return false
}

// limitTokens returns the requested number of tokens, capped by the template's limit;
// a value of zero or less means "not set".
func limitTokens(requested, allowed int) int {
	if requested > 0 && (allowed <= 0 || requested < allowed) {
		return requested
	}
	return allowed
}

func (x *exchange) engineRun(g *generation) engine.Run {
	return engine.Run{
		RequestID:    string(x.id),
		Model:        x.spec.Model,
		Version:      x.spec.Version,
		Prompt:       g.prompt,
		LastMessage:  g.lastMessage,
		PromptTokens: x.spec.PromptTokens,
		MaxTokens:    x.spec.MaxTokens,
		Blocks:       x.spec.Blocks,
	}
}

// writeWhole collects the answer and writes it as one response, only if it is complete.
func (x *exchange) writeWhole(ctx *fasthttp.RequestCtx, a *answer, f *formatter) error {
	text, finish, err := a.collectText()
	if err != nil {
		return err
	}
	a.completeRun()
	body, err := json.Marshal(f.response(text, finish, a.usage()))
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	x.settleClaim(request.NotRunFalse, storedAnswer(body, contentJSON, fasthttp.StatusOK))
	ctx.Response.Header.SetContentType(contentJSON)
	x.entry.finishHeader(ctx, x.id)
	ctx.Response.SetBodyRaw(body)
	return nil
}

func (a *answer) usage() usage {
	return usage{
		PromptTokens:     a.promptTokens,
		CompletionTokens: a.tokens,
		TotalTokens:      a.promptTokens + a.tokens,
	}
}

// storedAnswer returns the claim outcome of a complete answer, including the answer
// itself if it is short enough to be stored.
func storedAnswer(body []byte, contentType string, status int) *claim.Outcome {
	o := &claim.Outcome{State: claim.Ran, ContentType: contentType, Status: status}
	if len(body) <= claim.MaxAnswerBytes {
		o.Answer = body
	}
	return o
}
