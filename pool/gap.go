package pool

import (
	"math"
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
)

const (
	// openBudgetShare is the share of the largest gap budget from which a server is open to
	// every prompt: the gaps would be little shorter on any other server.
	openBudgetShare = 0.5
	// unlimitedTokens is the room of a server that is not limited by the gap target.
	unlimitedTokens = math.MaxInt
)

// refreshGapBudgets determines, once per event, how many tokens each server can prefill
// between two events of a stream.
func (p *Pool) refreshGapBudgets() {
	if p.cfg.Traits.PauseTarget <= 0 {
		return
	}
	for _, s := range p.sorted {
		s.gapBudget = p.gapBudget(s)
	}
	p.openBudget = p.openBudgetOf(func(*server) bool { return true })
}

// gapBudget returns how many tokens a server can prefill in the gap target less the time of
// one event, with the margin of predictions. The time of an event does not include prefill,
// which the budget limits.
func (p *Pool) gapBudget(s *server) int {
	if !s.latency.Known() {
		return unlimitedTokens
	}
	event := time.Duration(max(1, p.cfg.Traits.TokensPerEvent)) * s.latency.DecodeStep(max(1, len(s.running)))
	gap := time.Duration(float64(p.cfg.Traits.PauseTarget-predictionSlack) / predictionMargin)
	return s.latency.PrefillTokens(gap - event)
}

// openBudgetOf returns the budget from which a server is open to every prompt, given the
// servers that can take the prompt.
func (p *Pool) openBudgetOf(takes func(*server) bool) int {
	largest := 0
	for _, s := range p.sorted {
		if s.grantable && s != p.isolation && !(p.anyHealthy && (s.straggler || s.overdue)) && s.latency.Known() && takes(s) {
			largest = max(largest, s.gapBudget)
		}
	}
	return int(openBudgetShare * float64(largest))
}

// openBudgetFor is openBudgetOf for a request. Servers that it must avoid do not count, and
// neither do those without memory for it once it has waited long.
//
// Otherwise a long prompt could wait for ever: short prompts of lower tiers would take the
// memory of the fast servers and keep the slow ones closed.
func (p *Pool) openBudgetFor(w *waiter) int {
	if p.cfg.Traits.PauseTarget <= 0 {
		return p.openBudget
	}
	waitedLong, avoids := p.now.Sub(w.enqueuedAt) >= memoryStarveAfter, p.avoidsServers(w)
	if !waitedLong && !avoids {
		return p.openBudget
	}
	return p.openBudgetOf(func(s *server) bool {
		return !(avoids && p.mustAvoid(w, s)) && (!waitedLong || s.fits(w.PromptTokens+w.length.High))
	})
}

// promptRoom returns how many prompt tokens of a request a server can compute, beside the
// pending ones, without too long a gap in an on-time stream: one that runs there, or that of
// the request beside pending prompts.
func (p *Pool) promptRoom(w *waiter, s *server, pending, openBudget int) int {
	if p.cfg.Traits.PauseTarget <= 0 || s.gapBudget >= openBudget {
		return unlimitedTokens
	}
	if (w.isLate() || pending == 0) && !s.hasOnTimeStream(p.now) {
		return unlimitedTokens
	}
	return s.gapBudget - pending
}

// isClosed reports whether a request must not be granted an option because of the gaps
// that its prompt would cause.
func (p *Pool) isClosed(w *waiter, o option) bool {
	return o.uncachedTokens > p.promptRoom(w, o.server, o.server.pendingPrefill, p.openBudgetFor(w))
}

// isClosedByAll reports whether those of the servers that a request may use are all closed to
// it. It costs less than bestOption, so that many long prompts may wait at the head of a tier.
func (p *Pool) isClosedByAll(w *waiter, servers []*server) bool {
	if p.cfg.Traits.PauseTarget <= 0 {
		return false
	}
	most, openBudget, avoids := 0, p.openBudgetFor(w), p.avoidsServers(w)
	for _, s := range servers {
		if avoids && p.mustAvoid(w, s) {
			continue
		}
		if most = max(most, p.promptRoom(w, s, s.pendingPrefill, openBudget)); w.PromptTokens <= most {
			return false
		}
	}
	cached, _ := p.prefixes.LongestPrefix(prefixSet(servers), w.Blocks)
	return tokensToCompute(w.PromptTokens, cached) > most
}

// moveToLate moves a request that closed servers leave waiting to the late ones, if it can
// no longer meet its targets on any server. It reports whether it did.
func (p *Pool) moveToLate(w *waiter) bool {
	if !p.cannotMeetTargets(w) {
		return false
	}
	p.queue.SetClass(&w.Item, tier.Late)
	return true
}

func (w *waiter) isLate() bool { return w.Class >= tier.Late }

// hasOnTimeStream reports whether a stream runs on a server whose value a long gap would
// reduce.
func (s *server) hasOnTimeStream(now time.Time) bool {
	return slices.ContainsFunc(s.running, func(r *run) bool { return r.isOnTime(now) })
}

// isOnTime reports whether a run was granted on time, and its first token came in time or
// still can. The class of an adopted run is not known; it counts as on time.
func (r *run) isOnTime(now time.Time) bool {
	if r.late || r.isCall() || !r.withdrawnAt.IsZero() {
		return false
	}
	return r.firstToken || r.firstTokenDue.IsZero() || !now.After(r.firstTokenDue)
}
