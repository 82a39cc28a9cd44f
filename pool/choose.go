package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
)

const (
	// prefixSavingWeight is how much the prefill time that a cached prefix saves
	// counts in a choice, beside the wait that it saves the request itself:
	// every other request of the server would wait for it too, and it is work
	// thrown away once.
	prefixSavingWeight = 10.0
	// failureCost is what a run that fails costs in a choice, as a time: most of
	// it is a try and a slot for nothing, and some requests have but one try.
	// With 5 s a server that fails a fifth of its runs serves after those that
	// are a second slower.
	failureCost = 5 * time.Second
	// Predictions are stretched by this much where a target is at stake.
	predictionMargin = 1.1
	predictionSlack  = 10 * time.Millisecond
	// tokenTargetShare is the part of a target between tokens up to which a server
	// counts as fast enough.
	tokenTargetShare = 0.9
	// clearlySlow and clearlyFast are the parts of that target from which on it
	// pays to wait for a server below the one rather than take one above the
	// other. Nearer ones differ by chance.
	clearlySlow, clearlyFast = 1.05, 0.85
	// relaxedShare is the part of what is left to its targets within which a request
	// is far from them.
	relaxedShare = 0.5
	// minTokenTargetShare is the least part of a target between tokens that a deadline
	// may ask for.
	minTokenTargetShare = 0.5
	// maxPrefillShare is the part of the tightest first-token target for which a
	// server may have prefill to do, when more is sent to it.
	maxPrefillShare = 0.5
	// smallPrefillTokens is the prefill that is let through in any case.
	smallPrefillTokens = 512
)

// predict is one server for one request.
type option struct {
	server         *server
	cachedBlocks   int // leading blocks
	uncachedTokens int // tokens to compute
	firstToken     time.Duration
	cost           time.Duration // expected finish, less what the prefix is worth
}

// predict predicts how a request would do on a server if it began now.
func (p *Pool) predict(w *waiter, s *server) option {
	cached := 0
	if s.prefixID >= 0 {
		cached = p.prefixes.CachedPrefix(s.prefixID, w.Blocks)
	}
	return p.predictWith(w, s, cached, s.pendingPrefill)
}

func (p *Pool) predictWith(w *waiter, s *server, cached, ahead int) option {
	o := option{server: s, cachedBlocks: cached, uncachedTokens: tokensToCompute(w.PromptTokens, cached)}
	o.firstToken = s.speed.FirstToken(ahead + o.uncachedTokens)
	o.cost = o.firstToken +
		time.Duration(w.length.Mean)*s.speed.PerToken(len(s.running)+1) -
		time.Duration(prefixSavingWeight*float64(s.speed.PrefillTime(w.PromptTokens-o.uncachedTokens))) +
		time.Duration(s.failureRate.at(p.now)*float64(failureCost))
	return o
}

// tokensToCompute is what is left to compute; the last token always is.
func tokensToCompute(prompt, cachedBlocks int) int {
	return max(min(prompt, 1), prompt-cachedBlocks*engine.BlockTokens)
}

// meetsTargets tells whether a request would meet its targets with an option after
// a wait.
func (p *Pool) meetsTargets(w *waiter, o option, wait time.Duration) bool {
	first := time.Duration(predictionMargin*float64(o.firstToken)) + predictionSlack
	if !w.firstTokenDue.IsZero() && p.now.Add(wait+first).After(w.firstTokenDue) {
		return false
	}
	return !p.now.Add(wait + p.runTime(w, o)).After(w.deadline)
}

// runTime predicts for how long a request would hold its slot.
func (p *Pool) runTime(w *waiter, o option) time.Duration {
	return o.firstToken + time.Duration(w.length.Mean)*o.server.speed.PerToken(len(o.server.running)+1)
}

// meetsTokenTarget tells whether the server would need no more than a share of the
// target between tokens, with so many more running requests.
func (p *Pool) meetsTokenTarget(w *waiter, s *server, extra int, share float64) bool {
	target := w.tokenTarget()
	return target <= 0 || float64(s.speed.PerToken(len(s.running)+extra)) <= share*float64(target)
}

// tokenTarget is the time between tokens that a request needs: its target or,
// where that is less, what lets a long answer of its mix end in time. A tier
// with a target of 62 ms and a deadline of 12 s needs 30 ms for an answer of
// 400 tokens. While the mix is unknown, the target alone counts.
func (w *waiter) tokenTarget() time.Duration {
	if !w.length.Known {
		return w.PerToken
	}
	whole := (w.DeadlineIn - max(0, w.FirstTokenIn)) / time.Duration(w.length.High)
	if w.PerToken <= 0 || whole < w.PerToken {
		return max(whole, time.Duration(minTokenTargetShare*float64(w.PerToken)))
	}
	return w.PerToken
}

// hasRoom tells whether a server has memory for a request, and not so much
// prefill to do that this and later requests would wait for it.
func (p *Pool) hasRoom(w *waiter, o option) bool {
	s := o.server
	if !s.fits(w.PromptTokens + w.length.High) {
		return false
	}
	if s.pendingPrefill == 0 || o.uncachedTokens <= smallPrefillTokens && s.pendingPrefill <= smallPrefillTokens {
		return true
	}
	bound := p.shortestFirstTokenTarget()
	return bound == 0 || s.speed.PrefillTime(s.pendingPrefill+o.uncachedTokens) <= time.Duration(maxPrefillShare*float64(bound))
}

// shortestFirstTokenTarget is the shortest first-token target seen.
func (p *Pool) shortestFirstTokenTarget() time.Duration {
	var least time.Duration
	for _, d := range p.firstTokenTargets {
		if d > 0 && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}

// grade tells how well an option serves a request.
type grade int

// The grades, from worst to best.
const (
	tooLate grade = iota // its first token or its end is late
	tooSlow              // only its time between tokens is
	onTarget
)

func (p *Pool) grade(w *waiter, o option) grade {
	switch {
	case !p.meetsTargets(w, o, 0):
		return tooLate
	case !p.meetsTokenTarget(w, o.server, 1, tokenTargetShare):
		return tooSlow
	default:
		return onTarget
	}
}

// bestOption returns the cheapest option among servers of those with the best
// grade. It reports false where none has room.
func (p *Pool) bestOption(w *waiter, servers []*server) (o option, g grade, ok bool) {
	for _, s := range servers {
		if p.mustAvoid(w, s) {
			continue
		}
		x := p.predict(w, s)
		if !p.hasRoom(w, x) {
			continue
		}
		xg := p.grade(w, x)
		if xg == onTarget && p.cfg.SpareFastServers && p.isRelaxed(w, x) {
			x.cost = p.loadCost(w, x)
		}
		if !ok || xg > g || xg == g && x.cost < o.cost {
			o, g, ok = x, xg, true
		}
	}
	return o, g, ok
}

// isRelaxed tells whether a request is far from any of its targets with an option.
func (p *Pool) isRelaxed(w *waiter, o option) bool {
	if !w.firstTokenDue.IsZero() && p.now.Add(time.Duration(float64(o.firstToken)/relaxedShare)).After(w.firstTokenDue) {
		return false
	}
	whole := o.firstToken + time.Duration(w.length.High)*o.server.speed.PerToken(o.server.maxRunning)
	return !p.now.Add(time.Duration(float64(whole) / relaxedShare)).After(w.deadline)
}

// loadCost is the cost of an option for an easy request: the part of the server's
// slots that is taken. So the fast servers have slots left for long answers, which would
// miss their deadlines on slow ones.
func (p *Pool) loadCost(w *waiter, o option) time.Duration {
	s := o.server
	load := float64(len(s.running)) / float64(max(1, s.maxRunning))
	return time.Duration(load*float64(time.Second)) + o.cost/1000 -
		time.Duration(prefixSavingWeight*float64(s.speed.PrefillTime(w.PromptTokens-o.uncachedTokens))) +
		time.Duration(s.failureRate.at(p.now)*float64(failureCost))
}

// mustAvoid tells whether a request must not go to a server: it was sent there
// before and failed, and there is another one, if not with a slot free now.
// A server that fails many of its requests is the first to be free again.
func (p *Pool) mustAvoid(w *waiter, s *server) bool {
	if !slices.Contains(w.SentTo, s.info.Name) {
		return false
	}
	return slices.ContainsFunc(p.sorted, func(other *server) bool {
		return other.grantable && !slices.Contains(w.SentTo, other.info.Name)
	})
}

// worthWaiting tells whether an option is surely too slow and a server
// without a free slot would surely be fast enough, once it has one. Without any, waiting would only add a late first
// token to the late ones after it.
func (p *Pool) worthWaiting(w *waiter, o option) bool {
	if p.meetsTokenTarget(w, o.server, 1, clearlySlow) {
		return false
	}
	for _, s := range p.sorted {
		if s.grantable && !s.overdue && !(s.straggler && p.anyHealthy) && !p.mustAvoid(w, s) && len(s.running) >= s.maxRunning && p.meetsTokenTarget(w, s, 0, clearlyFast) {
			return true
		}
	}
	return false
}

// minFinishLengthShare is the part of an answer's expected length that a request must
// still have time for, for it not to be doomed: the estimate may be too long.
const minFinishLengthShare = 0.5

// cannotMeetDeadline tells whether a request can't end before its deadline any more.
func (p *Pool) cannotMeetDeadline(w *waiter) bool {
	_, whole := p.fastestTimes(1, int(minFinishLengthShare*float64(w.length.Mean)))
	return p.now.Add(whole).After(w.deadline)
}

// cannotMeetTargets tells whether no server at all could meet the request's targets,
// were it to begin there at once.
func (p *Pool) cannotMeetTargets(w *waiter) bool {
	for _, s := range p.sorted {
		if !s.grantable || s.overdue || s.straggler && p.anyHealthy || p.mustAvoid(w, s) {
			continue
		}
		cached := 0
		if s.prefixID >= 0 {
			cached = p.prefixes.CachedPrefix(s.prefixID, w.Blocks)
		}
		if p.meetsTargets(w, p.predictWith(w, s, cached, 0), 0) {
			return false
		}
	}
	return true
}
