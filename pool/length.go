package pool

import "github.com/lycheekeel/lycheekeel/pool/estimate"

// expectLength estimates an answer's length before it begins: by the caller's
// hint where there is one, else by the recent answers of its mix.
func (p *Pool) expectLength(m estimate.Key, hint, maxTokens int) estimate.Length {
	if hint > 0 {
		return p.hints.Estimate(m, hint, maxTokens)
	}
	return p.lengths.Estimate(m, maxTokens)
}

// remainingTokens estimates what is still to come of a run's answer.
func (p *Pool) remainingTokens(r *run) int {
	if r.hint > 0 {
		return p.hints.Remaining(r.mix, r.hint, r.maxTokens, r.generated)
	}
	return p.lengths.Remaining(r.mix, r.maxTokens, r.generated)
}

// growLength corrects the estimate of an answer that grows beyond it: the
// memory it will need, and what its workspace is charged for.
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

// recordLength corrects the workspace's charge to the true cost, and the
// estimate of its answers' length.
func (p *Pool) recordLength(r *run, e Release) {
	if r.maxTokens == 0 {
		return
	}
	if r.hint > 0 {
		p.hints.Observe(r.mix, r.hint, e.OutputTokens)
	} else {
		p.lengths.Observe(r.mix, e.OutputTokens)
	}
	computed := r.uncachedTokens
	if e.PrefillComputed > 0 {
		computed = e.PrefillComputed
	}
	p.refund(r, r.cost-workCost(computed, e.OutputTokens))
}
