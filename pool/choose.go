package pool

import (
	"slices"
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
)

const (
	// savedWeight is how much the prefill time that a cached prefix saves
	// counts in a choice, beside the wait that it saves the request itself:
	// every other request of the server would wait for it too, and it is work
	// thrown away once.
	savedWeight = 10.0
	// failureCost is what a run that fails costs in a choice, as a time: most of
	// it is a try and a slot for nothing, and some requests have but one try.
	// With 5 s a server that fails a fifth of its runs serves after those that
	// are a second slower.
	failureCost = 5 * time.Second
	// Predictions are stretched by this much where a target is at stake.
	safeFactor = 1.1
	safeSlack  = 10 * time.Millisecond
	// tokenShare is the part of a target between tokens up to which a server
	// counts as fast enough.
	tokenShare = 0.9
	// surelySlow and surelyFast are the parts of that target from which on it
	// pays to wait for a server below the one rather than take one above the
	// other. Nearer ones differ by chance.
	surelySlow, surelyFast = 1.05, 0.85
	// easyShare is the part of what is left to its targets within which a request
	// is far from them.
	easyShare = 0.5
	// leastToken is the least part of a target between tokens that a deadline
	// may ask for.
	leastToken = 0.5
	// prefillShare is the part of the tightest first-token target for which a
	// server may have prefill to do, when more is sent to it.
	prefillShare = 0.5
	// prefillFree is the prefill that is let through in any case.
	prefillFree = 512
)

// option is one server for one request.
type option struct {
	server   *server
	cached   int // leading blocks
	uncached int // tokens to compute
	first    time.Duration
	cost     time.Duration // expected finish, less what the prefix is worth
}

// option predicts how a request would do on a server if it began now.
func (p *Pool) option(w *waiter, s *server) option {
	cached := 0
	if s.index >= 0 {
		cached = p.prefixes.Cached(s.index, w.Blocks)
	}
	return p.optionWith(w, s, cached, s.prefill)
}

func (p *Pool) optionWith(w *waiter, s *server, cached, ahead int) option {
	o := option{server: s, cached: cached, uncached: uncachedTokens(w.PromptTokens, cached)}
	o.first = s.speed.FirstToken(ahead + o.uncached)
	o.cost = o.first +
		time.Duration(w.length.Mean)*s.speed.PerToken(len(s.running)+1) -
		time.Duration(savedWeight*float64(s.speed.PrefillTime(w.PromptTokens-o.uncached))) +
		time.Duration(s.failures.share(p.now)*float64(failureCost))
	return o
}

// uncachedTokens is what is left to compute; the last token always is.
func uncachedTokens(prompt, cachedBlocks int) int {
	return max(min(prompt, 1), prompt-cachedBlocks*engine.BlockTokens)
}

// inTime tells whether a request would meet its targets with an option after
// a wait.
func (p *Pool) inTime(w *waiter, o option, wait time.Duration) bool {
	first := time.Duration(safeFactor*float64(o.first)) + safeSlack
	if !w.firstToken.IsZero() && p.now.Add(wait+first).After(w.firstToken) {
		return false
	}
	return !p.now.Add(wait + p.runTime(w, o)).After(w.deadline)
}

// runTime predicts for how long a request would hold its slot.
func (p *Pool) runTime(w *waiter, o option) time.Duration {
	return o.first + time.Duration(w.length.Mean)*o.server.speed.PerToken(len(o.server.running)+1)
}

// fastEnough tells whether the server would need no more than a share of the
// target between tokens, with so many more running requests.
func (p *Pool) fastEnough(w *waiter, s *server, more int, share float64) bool {
	target := w.tokenTarget()
	return target <= 0 || float64(s.speed.PerToken(len(s.running)+more)) <= share*float64(target)
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
		return max(whole, time.Duration(leastToken*float64(w.PerToken)))
	}
	return w.PerToken
}

// roomy tells whether a server has memory for a request, and not so much
// prefill to do that this and later requests would wait for it.
func (p *Pool) roomy(w *waiter, o option) bool {
	s := o.server
	if !s.fits(w.PromptTokens + w.length.High) {
		return false
	}
	if s.prefill == 0 || o.uncached <= prefillFree && s.prefill <= prefillFree {
		return true
	}
	bound := p.tightest()
	return bound == 0 || s.speed.PrefillTime(s.prefill+o.uncached) <= time.Duration(prefillShare*float64(bound))
}

// tightest is the shortest first-token target seen.
func (p *Pool) tightest() time.Duration {
	var least time.Duration
	for _, d := range p.targets {
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
	inTarget
)

func (p *Pool) grade(w *waiter, o option) grade {
	switch {
	case !p.inTime(w, o, 0):
		return tooLate
	case !p.fastEnough(w, o.server, 1, tokenShare):
		return tooSlow
	default:
		return inTarget
	}
}

// best returns the cheapest option among servers of those with the best
// grade. It reports false where none has room.
func (p *Pool) best(w *waiter, servers []*server) (o option, g grade, ok bool) {
	for _, s := range servers {
		if p.avoids(w, s) {
			continue
		}
		x := p.option(w, s)
		if !p.roomy(w, x) {
			continue
		}
		xg := p.grade(w, x)
		if xg == inTarget && p.cfg.SpareFast && p.easy(w, x) {
			x.cost = p.spread(w, x)
		}
		if !ok || xg > g || xg == g && x.cost < o.cost {
			o, g, ok = x, xg, true
		}
	}
	return o, g, ok
}

// easy tells whether a request is far from any of its targets with an option.
func (p *Pool) easy(w *waiter, o option) bool {
	if !w.firstToken.IsZero() && p.now.Add(time.Duration(float64(o.first)/easyShare)).After(w.firstToken) {
		return false
	}
	whole := o.first + time.Duration(w.length.High)*o.server.speed.PerToken(o.server.most)
	return !p.now.Add(time.Duration(float64(whole) / easyShare)).After(w.deadline)
}

// spread is the cost of an option for an easy request: the part of the server's
// slots that is taken. So the fast servers have slots left for long answers, which would
// miss their deadlines on slow ones.
func (p *Pool) spread(w *waiter, o option) time.Duration {
	s := o.server
	load := float64(len(s.running)) / float64(max(1, s.most))
	return time.Duration(load*float64(time.Second)) + o.cost/1000 -
		time.Duration(savedWeight*float64(s.speed.PrefillTime(w.PromptTokens-o.uncached))) +
		time.Duration(s.failures.share(p.now)*float64(failureCost))
}

// avoids tells whether a request must not go to a server: it was sent there
// before and failed, and there is another one, if not with a slot free now.
// A server that fails many of its requests is the first to be free again.
func (p *Pool) avoids(w *waiter, s *server) bool {
	if !slices.Contains(w.SentTo, s.info.Name) {
		return false
	}
	return slices.ContainsFunc(p.order, func(other *server) bool {
		return other.ready && !slices.Contains(w.SentTo, other.info.Name)
	})
}

// fasterElsewhere tells whether an option is surely too slow and a server
// without a free slot would surely be fast enough, once it has one. Without any, waiting would only add a late first
// token to the late ones after it.
func (p *Pool) fasterElsewhere(w *waiter, o option) bool {
	if p.fastEnough(w, o.server, 1, surelySlow) {
		return false
	}
	for _, s := range p.order {
		if s.ready && !s.overdue && !(s.straggler && p.sound) && !p.avoids(w, s) && len(s.running) >= s.most && p.fastEnough(w, s, 0, surelyFast) {
			return true
		}
	}
	return false
}

// doomedLength is the part of an answer's expected length that a request must
// still have time for, for it not to be doomed: the estimate may be too long.
const doomedLength = 0.5

// doomed tells whether a request can't end before its deadline any more.
func (p *Pool) doomed(w *waiter) bool {
	_, whole := p.bestTimes(1, int(doomedLength*float64(w.length.Mean)))
	return p.now.Add(whole).After(w.deadline)
}

// hopeless tells whether no server at all could meet the request's targets,
// were it to begin there at once.
func (p *Pool) hopeless(w *waiter) bool {
	for _, s := range p.order {
		if !s.ready || s.overdue || s.straggler && p.sound || p.avoids(w, s) {
			continue
		}
		cached := 0
		if s.index >= 0 {
			cached = p.prefixes.Cached(s.index, w.Blocks)
		}
		if p.inTime(w, p.optionWith(w, s, cached, 0), 0) {
			return false
		}
	}
	return true
}
