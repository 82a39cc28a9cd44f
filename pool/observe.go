package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
)

const (
	// A first token that takes more than lateTokenFactor times the predicted time
	// and lateTokenSlack waited inside the engine: too much was sent to it.
	lateTokenFactor = 3
	lateTokenSlack  = 100 * time.Millisecond
	// Ratios told to a control law that has no target of its own.
	ratioGood, ratioBad = 0.5, 1.5
	// manyRunningShare is the part of a limit from which on a late first token is
	// put down to it.
	manyRunningShare = 0.75
	// kiloToken is the unit of the limit on KV memory.
	kiloToken = 1000.0
	// compareInterval is how often peers are compared.
	compareInterval = 100 * time.Millisecond
	// Stragglers are probed after this time, doubled at each failed probe.
	stragglerBackoffMin, stragglerBackoffMax = time.Second, 30 * time.Second
	// minPeers is how many measured servers make a generation comparable.
	minPeers = 3
	// kvCapacityWeight is the weight of a new measurement of KV capacity; reports of
	// less use than kvMinUse say too little.
	kvCapacityWeight, kvMinUse = 0.1, 0.2
	// minStepShare is the part of a measured time between tokens that is left at
	// the least after prefill of others was taken off.
	minStepShare = 0.2
)

func (p *Pool) prior(generation string) score.Profile {
	if prior, ok := p.priors[generation]; ok {
		return prior
	}
	return score.DefaultProfile()
}

// observeFirstToken learns from a run's first token.
func (p *Pool) observeFirstToken(r *run, took time.Duration) {
	s := r.server
	if s.speed == nil {
		return
	}
	prefill := r.prefillAhead + r.uncachedTokens
	predicted := s.speed.FirstToken(prefill)
	late := s.speed.Known() && took > lateTokenFactor*predicted+lateTokenSlack
	s.speed.ObserveFirstToken(prefill, took, p.priors[s.info.Generation], late)
	p.observeQueueing(r, late)
	p.updateStraggler(s)
}

// observeQueueing tells the limits whether a request waited inside the engine.
// Among many running requests it waited for a slot; among few for memory.
func (p *Pool) observeQueueing(r *run, late bool) {
	s := r.server
	slots := limit.Sample{Ratio: ratioGood, Used: float64(r.runningAtGrant)}
	memory := limit.Sample{Ratio: ratioGood, Used: float64(s.kvTokens) / kiloToken}
	switch {
	case late && float64(r.runningAtGrant) >= manyRunningShare*s.queueingLimit.Limit():
		slots.Ratio = ratioBad
	case late:
		memory.Ratio = ratioBad
	}
	s.queueingLimit.Observe(slots)
	s.memoryLimit.Observe(memory)
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
	if target := s.shortestTokenTarget(); target > 0 {
		ratio := float64(took) / float64(target)
		s.tokenRateLimit.Observe(limit.Sample{Ratio: ratio, Used: float64(len(s.running))})
	}
	others := s.speed.PrefillTime(s.prefillTotal-r.prefilledAtReport) / time.Duration(tokens)
	step := max(took-others, time.Duration(minStepShare*float64(took)))
	s.speed.ObservePerToken(len(s.running), took, step, p.priors[s.info.Generation])
	p.updateStraggler(s)
}

// observeCall learns from a call to a plain service, which has no tokens: the
// limit keeps the whole call within its target.
func (p *Pool) observeCall(r *run, took time.Duration) {
	s := r.server
	if s.speed == nil || took <= 0 {
		return
	}
	p.endPrefill(r)
	if target := p.firstTokenTargets[r.tier]; target > 0 {
		s.tokenRateLimit.Observe(limit.Sample{Ratio: float64(took) / float64(target), Used: float64(r.runningAtGrant)})
	}
	s.speed.ObserveFirstToken(0, took, p.priors[s.info.Generation], false)
	p.updateStraggler(s)
}

// shortestTokenTarget is the shortest target between tokens of what runs on the
// server: its limit must keep that one, whichever request is measured.
func (s *server) shortestTokenTarget() time.Duration {
	var least time.Duration
	for _, r := range s.running {
		if r.perToken > 0 && (least == 0 || r.perToken < least) {
			least = r.perToken
		}
	}
	return least
}

// updateStraggler ejects a straggler softly, or takes it back.
func (p *Pool) updateStraggler(s *server) {
	if p.cfg.KeepStragglers {
		return
	}
	was := s.straggler
	s.straggler = s.speed.Straggler(was)
	switch {
	case s.straggler && !was:
		s.probeBackoff = stragglerBackoffMin
		s.probeAt = p.now.Add(s.probeBackoff)
	case !s.straggler:
		s.probeBackoff = 0
	}
}

// compareServers compares the servers of each generation.
func (p *Pool) compareServers() {
	if p.isBaseline() || p.now.Sub(p.comparedAt) < compareInterval {
		return
	}
	p.comparedAt = p.now
	p.findFastest()
	speeds := make(map[string][]*score.LatencyModel)
	for _, s := range p.sorted {
		if s.speed.Known() {
			speeds[s.info.Generation] = append(speeds[s.info.Generation], s.speed)
		}
	}
	for generation, all := range speeds {
		if prior, ok := score.Median(all); ok && len(all) >= minPeers {
			p.priors[generation] = prior
		}
	}
	for _, s := range p.sorted {
		if !s.straggler {
			s.speed.UpdateBaseline()
		}
	}
}

// detectOverdue judges servers whose first tokens don't come, before they do:
// a straggler would otherwise be found out only by what it has cost.
func (p *Pool) detectOverdue() {
	if p.isBaseline() {
		return
	}
	for _, s := range p.sorted {
		was := s.overdue
		s.overdue = false
		if !s.speed.Known() {
			continue
		}
		for _, r := range s.running {
			waited := p.now.Sub(r.grantedAt)
			// A run that was withdrawn, or whose time is up, has ended at its
			// entry; that its release is late says nothing of the server.
			// Without this, one lost release kept a server without work for
			// seconds, a quarter of a pool of four.
			if !r.withdrawnAt.IsZero() || p.now.After(r.deadline) && !r.deadline.IsZero() {
				continue
			}
			maxWait := lateTokenFactor*s.speed.FirstToken(r.prefillAhead+r.uncachedTokens) + lateTokenSlack
			// A server that answers others meanwhile is not stuck: the grant
			// may be with a slow entry, or one answer may be lost. Without
			// this, a slow entry VM stops each server that it has a grant of:
			// slots stand free while requests wait.
			if r.prefillDone || waited <= maxWait || p.now.Sub(s.lastProgress) <= maxWait {
				continue
			}
			s.overdue = true
			if !was {
				s.speed.ObserveOverdue(r.prefillAhead+r.uncachedTokens, waited, p.priors[s.info.Generation])
				p.updateStraggler(s)
			}
			break
		}
	}
}

// updateLoad takes what an engine says that hardly ages: its slots and, against
// what we know to run there, its KV capacity. How much runs there at the
// moment is known better here.
func (p *Pool) updateLoad(e ServerLoad) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	s.engineSlots = e.Report.Slots
	if e.Report.Leaving {
		s.leavingUntil = p.now.Add(leavingTimeout)
	}
	if !(e.Report.KVUsed >= kvMinUse) || s.kvTokens == 0 { // not a number included
		return
	}
	capacity := float64(s.kvTokens) / e.Report.KVUsed
	if s.kvCapacity == 0 {
		s.kvCapacity = capacity
	}
	s.kvCapacity += kvCapacityWeight * (capacity - s.kvCapacity)
}

// servedWorkWindow steadies the pace of the work done, by which callers are told when to
// come back.
const servedWorkWindow = 5 * time.Second
