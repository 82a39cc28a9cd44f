package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
)

const (
	// A first token that takes more than lateFactor times the predicted time
	// and lateSlack waited inside the engine: too much was sent to it.
	lateFactor = 3
	lateSlack  = 100 * time.Millisecond
	// Ratios told to a control law that has no target of its own.
	ratioGood, ratioBad = 0.5, 1.5
	// manyRunning is the part of a limit from which on a late first token is
	// put down to it.
	manyRunning = 0.75
	// kiloToken is the unit of the limit on KV memory.
	kiloToken = 1000.0
	// measureEvery is how often peers are compared.
	measureEvery = 100 * time.Millisecond
	// Stragglers are probed after this time, doubled at each failed probe.
	probeMin, probeMax = time.Second, 30 * time.Second
	// leastPeers is how many measured servers make a generation comparable.
	leastPeers = 3
	// kvSmooth is the weight of a new measurement of KV capacity; reports of
	// less use than kvLeast say too little.
	kvSmooth, kvLeast = 0.1, 0.2
	// leastStep is the part of a measured time between tokens that is left at
	// the least after prefill of others was taken off.
	leastStep = 0.2
)

func (p *Pool) prior(generation string) score.Prior {
	if prior, ok := p.peers[generation]; ok {
		return prior
	}
	return score.DefaultPrior()
}

// observeFirst learns from a run's first token.
func (p *Pool) observeFirst(r *run, took time.Duration) {
	s := r.server
	if s.speed == nil {
		return
	}
	prefill := r.ahead + r.uncached
	predicted := s.speed.FirstToken(prefill)
	late := s.speed.Known() && took > lateFactor*predicted+lateSlack
	s.speed.ObserveFirst(prefill, took, p.peers[s.info.Generation], late)
	p.observeQueueing(r, late)
	p.judge(s)
}

// observeQueueing tells the limits whether a request waited inside the engine.
// Among many running requests it waited for a slot; among few for memory.
func (p *Pool) observeQueueing(r *run, late bool) {
	s := r.server
	slots := limit.Sample{Ratio: ratioGood, Used: float64(r.at)}
	memory := limit.Sample{Ratio: ratioGood, Used: float64(s.tokens) / kiloToken}
	switch {
	case late && float64(r.at) >= manyRunning*s.slotted.Limit():
		slots.Ratio = ratioBad
	case late:
		memory.Ratio = ratioBad
	}
	s.slotted.Observe(slots)
	s.kilo.Observe(memory)
}

// observeToken learns from a mean time between so many tokens. Prefill that
// the engine did for others in between is taken off before the server's speed
// is judged, but not before its limit is: the caller's target holds whatever
// the reason.
func (p *Pool) observeToken(r *run, took time.Duration, tokens int) {
	s := r.server
	if s.speed == nil {
		return
	}
	if target := s.tightestToken(); target > 0 {
		ratio := float64(took) / float64(target)
		s.requests.Observe(limit.Sample{Ratio: ratio, Used: float64(len(s.running))})
	}
	others := s.speed.PrefillTime(s.prefilled-r.prefilledThen) / time.Duration(tokens)
	step := max(took-others, time.Duration(leastStep*float64(took)))
	s.speed.ObserveToken(len(s.running), took, step, p.peers[s.info.Generation])
	p.judge(s)
}

// observeCall learns from a call to a plain service, which has no tokens: the
// limit keeps the whole call within its target.
func (p *Pool) observeCall(r *run, took time.Duration) {
	s := r.server
	if s.speed == nil || took <= 0 {
		return
	}
	p.prefillDone(r)
	if target := p.targets[r.tier]; target > 0 {
		s.requests.Observe(limit.Sample{Ratio: float64(took) / float64(target), Used: float64(r.at)})
	}
	s.speed.ObserveFirst(0, took, p.peers[s.info.Generation], false)
	p.judge(s)
}

// tightestToken is the shortest target between tokens of what runs on the
// server: its limit must keep that one, whichever request is measured.
func (s *server) tightestToken() time.Duration {
	var least time.Duration
	for _, r := range s.running {
		if r.perToken > 0 && (least == 0 || r.perToken < least) {
			least = r.perToken
		}
	}
	return least
}

// judge ejects a straggler softly, or takes it back.
func (p *Pool) judge(s *server) {
	if p.cfg.KeepStragglers {
		return
	}
	was := s.straggler
	s.straggler = s.speed.Straggler(was)
	switch {
	case s.straggler && !was:
		s.probeWait = probeMin
		s.probeAt = p.now.Add(s.probeWait)
	case !s.straggler:
		s.probeWait = 0
	}
}

// measure compares the servers of each generation.
func (p *Pool) measure() {
	if p.plain() || p.now.Sub(p.measured) < measureEvery {
		return
	}
	p.measured = p.now
	p.findFastest()
	speeds := make(map[string][]*score.Speed)
	for _, s := range p.order {
		if s.speed.Known() {
			speeds[s.info.Generation] = append(speeds[s.info.Generation], s.speed)
		}
	}
	for generation, all := range speeds {
		if prior, ok := score.Median(all); ok && len(all) >= leastPeers {
			p.peers[generation] = prior
		}
	}
	for _, s := range p.order {
		if !s.straggler {
			s.speed.Settle()
		}
	}
}

// watchOverdue judges servers whose first tokens don't come, before they do:
// a straggler would otherwise be found out only by what it has cost.
func (p *Pool) watchOverdue() {
	if p.plain() {
		return
	}
	for _, s := range p.order {
		was := s.overdue
		s.overdue = false
		if !s.speed.Known() {
			continue
		}
		for _, r := range s.running {
			waited := p.now.Sub(r.since)
			// A run that was withdrawn, or whose time is up, has ended at its
			// entry; that its release is late says nothing of the server.
			// Without this, one lost release kept a server without work for
			// seconds, a quarter of a pool of four.
			if !r.withdrawn.IsZero() || p.now.After(r.deadline) && !r.deadline.IsZero() {
				continue
			}
			patience := lateFactor*s.speed.FirstToken(r.ahead+r.uncached) + lateSlack
			// A server that answers others meanwhile is not stuck: the grant
			// may be with a slow entry, or one answer may be lost. Without
			// this, a slow entry VM stops each server that it has a grant of:
			// slots stand free while requests wait.
			if r.first || waited <= patience || p.now.Sub(s.progressed) <= patience {
				continue
			}
			s.overdue = true
			if !was {
				s.speed.Overdue(r.ahead+r.uncached, waited, p.peers[s.info.Generation])
				p.judge(s)
			}
			break
		}
	}
}

// learnLoad takes what an engine says that hardly ages: its slots and, against
// what we know to run there, its KV capacity. How much runs there at the
// moment is known better here.
func (p *Pool) learnLoad(e ServerLoad) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	s.slots = e.Report.Slots
	if e.Report.Leaving {
		s.leavingTill = p.now.Add(leavingFor)
	}
	if !(e.Report.KVUsed >= kvLeast) || s.tokens == 0 { // not a number included
		return
	}
	capacity := float64(s.tokens) / e.Report.KVUsed
	if s.kv == 0 {
		s.kv = capacity
	}
	s.kv += kvSmooth * (capacity - s.kv)
}

// flowTime steadies the pace of the work done, by which callers are told when to
// come back.
const flowTime = 5 * time.Second
