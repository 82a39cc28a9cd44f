package pool

import "github.com/lycheekeel/lycheekeel/pool/estimate"

// expectLength estimates the length of an answer, in tokens, from the caller's hint or,
// without one, from recent answers for the same workspace, template and model.
func (p *Pool) expectLength(key estimate.Key, hint, maxTokens int) estimate.Length {
	if hint > 0 {
		return p.hintEstimator.Estimate(key, hint, maxTokens)
	}
	return p.lengths.Estimate(key, maxTokens)
}

// updateLength estimates the length of a waiting request's answer. Plain services have none.
func (p *Pool) updateLength(w *waiter) {
	if !p.isBaseline() && w.MaxTokens > 0 {
		w.length = p.expectLength(w.estimateKey, w.ExpectedTokens, w.MaxTokens)
	}
}

// remainingTokens estimates the tokens that a run has still to generate.
func (p *Pool) remainingTokens(r *run) int {
	if r.hint > 0 {
		return p.hintEstimator.Remaining(r.estimateKey, r.hint, r.maxTokens, r.generated)
	}
	return p.lengths.Remaining(r.estimateKey, r.maxTokens, r.generated)
}

// growLength raises a run's expected memory and its workspace's charge when the answer
// exceeds its estimate.
func (p *Pool) growLength(r *run) {
	rest := p.remainingTokens(r)
	if tokens := r.promptTokens + r.generated + rest; tokens > r.kvTokens {
		r.server.kvTokens += tokens - r.kvTokens
		r.kvTokens = tokens
	}
	if grown := workCost(r.uncachedTokens, r.generated+rest); grown > r.cost {
		p.refund(r, r.cost-grown)
		r.cost = grown
	}
}

// recordLength updates the length estimate from a completed answer and corrects the
// workspace's charge to the actual cost.
func (p *Pool) recordLength(r *run, e Release) {
	if r.maxTokens == 0 {
		return
	}
	if r.hint > 0 {
		p.hintEstimator.Observe(r.estimateKey, r.hint, e.OutputTokens)
	} else {
		p.lengths.Observe(r.estimateKey, e.OutputTokens)
	}
	computed := r.uncachedTokens
	if e.PrefillComputed > 0 {
		computed = e.PrefillComputed
	}
	p.refund(r, r.cost-workCost(computed, e.OutputTokens))
}
