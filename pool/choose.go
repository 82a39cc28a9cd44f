package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
)

const (
	// prefixSavingWeight is the weight of the prefill time saved by a cached prefix when
	// servers are compared. Besides the delay of the request itself, prefill delays all
	// other requests on the server, and computing the prefix again is wasted work.
	prefixSavingWeight = 10.0
	// failureCost is the cost of a failed run when servers are compared. Most of it is a
	// wasted attempt and slot; some requests have only one attempt. With 5 s, a server that
	// fails a fifth of its runs ranks behind servers that are a second slower.
	failureCost = 5 * time.Second
	// predictionMargin and predictionSlack are added to predictions that are compared with
	// a target.
	predictionMargin = 1.1
	predictionSlack  = 10 * time.Millisecond
	// tokenTargetShare is the share of a target between tokens up to which a server
	// counts as fast enough.
	tokenTargetShare = 0.9
	// clearlySlow and clearlyFast are shares of the target between tokens. A request waits
	// for a server below clearlyFast if the available one is above clearlySlow. Smaller
	// differences are within the noise.
	clearlySlow, clearlyFast = 1.05, 0.85
	// relaxedShare is the share of the time left to its targets within which a request
	// must be served to count as far from them.
	relaxedShare = 0.5
	// minTokenTargetShare is the lowest share of a target between tokens to which a
	// deadline may reduce it.
	minTokenTargetShare = 0.5
	// maxPrefillShare is the share of the shortest first-token target that a server's
	// pending prefill may take if another request is added.
	maxPrefillShare = 0.5
	// smallPrefillTokens is the prefill, in tokens, that is always accepted.
	smallPrefillTokens = 512
)

// option is the prediction for a request on a server.
type option struct {
	server         *server
	cachedBlocks   int // leading blocks in the server's cache
	uncachedTokens int // prompt tokens to compute
	firstToken     time.Duration
	cost           time.Duration // expected run time, less the value of the cached prefix
	loadPart       time.Duration // part of cost that stands for the server's load
	diverted       bool          // a better option, or the only one, is closed to the request
}

// predict returns the prediction for a request if it started on a server now.
func (p *Pool) predict(w *waiter, s *server) option {
	cached := 0
	if s.prefixID >= 0 {
		cached = p.prefixes.CachedPrefix(s.prefixID, w.Blocks)
	}
	return p.predictWith(w, s, cached, s.pendingPrefill)
}

func (p *Pool) predictWith(w *waiter, s *server, cached, ahead int) option {
	o := option{server: s, cachedBlocks: cached, uncachedTokens: tokensToCompute(w.PromptTokens, cached)}
	o.firstToken = s.latency.FirstToken(ahead + o.uncachedTokens)
	o.cost = o.firstToken +
		time.Duration(w.length.Mean)*s.latency.PerToken(len(s.running)+1) -
		time.Duration(prefixSavingWeight*float64(s.latency.PrefillTime(w.PromptTokens-o.uncachedTokens))) +
		time.Duration(s.failureRate.at(p.now)*float64(failureCost))
	return o
}

// tokensToCompute returns the uncached tokens of a prompt. The last token is always
// computed.
func tokensToCompute(prompt, cachedBlocks int) int {
	return max(min(prompt, 1), prompt-cachedBlocks*engine.BlockTokens)
}

// meetsTargets reports whether a request would meet its targets with an option after
// a wait.
func (p *Pool) meetsTargets(w *waiter, o option, wait time.Duration) bool {
	first := time.Duration(predictionMargin*float64(o.firstToken)) + predictionSlack
	if !w.firstTokenDue.IsZero() && p.now.Add(wait+first).After(w.firstTokenDue) {
		return false
	}
	return !p.now.Add(wait + p.runTime(w, o)).After(w.deadline)
}

// runTime predicts how long a request would occupy its slot.
func (p *Pool) runTime(w *waiter, o option) time.Duration {
	return o.firstToken + time.Duration(w.length.Mean)*o.server.latency.PerToken(len(o.server.running)+1)
}

// meetsTokenTarget reports whether a server with the given number of extra running
// requests would need no more than a share of the target between tokens.
func (p *Pool) meetsTokenTarget(w *waiter, s *server, extra int, share float64) bool {
	target := w.tokenTarget()
	return target <= 0 || float64(s.latency.PerToken(len(s.running)+extra)) <= share*float64(target)
}

// tokenTarget is the time between tokens that a request needs: its target or, if that
// is less, the time that lets a long answer of its kind end before the deadline. A tier
// with a target of 62 ms and a deadline of 12 s needs 30 ms for an answer of 400
// tokens. If the length of such answers is unknown, only the target counts.
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

// hasRoom reports whether a server has the memory for a request, and little enough
// pending prefill not to delay this request and later ones.
func (p *Pool) hasRoom(w *waiter, o option) bool {
	s := o.server
	if !s.fits(w.PromptTokens+w.length.High) || p.isBeyondSlots(s) && !w.isCall() {
		return false
	}
	if s.pendingPrefill == 0 || o.uncachedTokens <= smallPrefillTokens && s.pendingPrefill <= smallPrefillTokens {
		return true
	}
	bound := p.shortestFirstTokenTarget()
	return bound == 0 || s.latency.PrefillTime(s.pendingPrefill+o.uncachedTokens) <= time.Duration(maxPrefillShare*float64(bound))
}

// shortestFirstTokenTarget is the shortest first-token target of all tiers.
func (p *Pool) shortestFirstTokenTarget() time.Duration {
	var least time.Duration
	for _, d := range p.firstTokenTargets {
		if d > 0 && (least == 0 || d < least) {
			least = d
		}
	}
	return least
}

// grade ranks how well an option meets a request's targets.
type grade int

// The grades, from worst to best.
const (
	tooLate grade = iota // the first token or the end is late
	tooSlow              // only the time between tokens misses its target
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

// bestOption returns the cheapest of the options with the best grade, or one in the
// entry's zone that costs little more. It reports false if no server has room or all that
// have are closed to the request.
func (p *Pool) bestOption(w *waiter, servers []*server) (o option, g grade, ok bool) {
	var best, local, closed choice
	zone, openBudget := p.preferredZone(w), p.openBudgetFor(w)
	for _, s := range servers {
		if p.mustAvoid(w, s) {
			continue
		}
		x := p.predict(w, s)
		if !p.hasRoom(w, x) || p.finishesTooLate(w, x) {
			continue
		}
		xg := p.grade(w, x)
		if xg == onTarget && p.cfg.SpareFastServers && p.isRelaxed(w, x) {
			x.cost, x.loadPart = p.loadCost(w, x), s.loadTime()
		}
		if x.uncachedTokens > p.promptRoom(w, s, s.pendingPrefill, openBudget) {
			closed.consider(x, xg)
			continue
		}
		best.consider(x, xg)
		if zone != "" && s.info.AvailabilityZone == zone {
			local.consider(x, xg)
		}
	}
	best.diverted = closed.ok && closed.beats(best)
	best = p.preferLocal(w, local, best)
	return best.option, best.grade, best.ok
}

// isRelaxed reports whether an option is far from missing any of a request's targets.
func (p *Pool) isRelaxed(w *waiter, o option) bool {
	if !w.firstTokenDue.IsZero() && p.now.Add(time.Duration(float64(o.firstToken)/relaxedShare)).After(w.firstTokenDue) {
		return false
	}
	whole := o.firstToken + time.Duration(w.length.High)*o.server.latency.PerToken(o.server.maxRunning)
	return !p.now.Add(time.Duration(float64(whole) / relaxedShare)).After(w.deadline)
}

// loadCost is the cost of an option for a relaxed request: mainly the share of the
// server's slots in use. It leaves slots of fast servers for long answers, which would
// miss their deadlines on slow servers.
func (p *Pool) loadCost(w *waiter, o option) time.Duration {
	s := o.server
	return s.loadTime() + o.cost/1000 -
		time.Duration(prefixSavingWeight*float64(s.latency.PrefillTime(w.PromptTokens-o.uncachedTokens))) +
		time.Duration(s.failureRate.at(p.now)*float64(failureCost))
}

// load is the share of a server's slots in use.
func (s *server) load() float64 { return float64(len(s.running)) / float64(max(1, s.maxRunning)) }

// loadTime is the cost of a server's load, a second for all its slots.
func (s *server) loadTime() time.Duration { return time.Duration(s.load() * float64(time.Second)) }

// mustAvoid reports whether a request must not be sent to a server: it needs another
// version, its entry could not reach the server a moment ago or was pushed back by it, or an
// earlier attempt there failed and another server can get grants, even if it has no free slot now. A server that fails many of its requests
// would otherwise be the first to be free again.
func (p *Pool) mustAvoid(w *waiter, s *server) bool {
	if !w.mayRunOn(s) || p.isClosedTo(w.Entry, s) {
		return true
	}
	if !slices.Contains(w.SentTo, s.info.Name) {
		return false
	}
	return slices.ContainsFunc(p.sorted, func(other *server) bool {
		return other.grantable && w.mayRunOn(other) && !slices.Contains(w.SentTo, other.info.Name) && !p.isClosedTo(w.Entry, other)
	})
}

// avoidsServers reports whether there may be servers that a request must avoid. It costs less
// than mustAvoid for each server.
func (p *Pool) avoidsServers(w *waiter) bool {
	return w.Version != "" || len(w.SentTo) > 0 || p.hasClosedServers(w.Entry)
}

// mayUseOneOf reports whether a request may be sent to one of the servers.
func (p *Pool) mayUseOneOf(w *waiter, servers []*server) bool {
	return !p.avoidsServers(w) || slices.ContainsFunc(servers, func(s *server) bool { return !p.mustAvoid(w, s) })
}

// worthWaiting reports whether an option is clearly too slow while a server without a
// free slot is clearly fast enough. If there is no such server, waiting would only delay
// the first token of a request whose other tokens are late too.
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

// minFinishLengthShare is the share of an answer's expected length that must still be
// possible before the deadline. It is below 1 because the estimate may be too long.
const minFinishLengthShare = 0.5

// cannotMeetDeadline reports whether a request cannot end before its deadline any more. Of
// an answer whose length nobody knows, only the first token counts.
//
// If it counted as long as its cap, the requests that wait when a pool has just started
// would expire behind all others: those of a cap that cannot be reached in time get no slot
// that anybody else wants.
func (p *Pool) cannotMeetDeadline(w *waiter) bool {
	p.updateLength(w) // answers may have been measured since it was enqueued
	tokens := 0
	if w.lengthExpected() {
		tokens = int(minFinishLengthShare * float64(w.length.Mean))
	}
	_, whole := p.fastestTimes(1, tokens)
	return p.now.Add(whole).After(w.deadline)
}

// cannotMeetTargets reports whether no server could meet a request's targets even if
// the request started there at once.
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
