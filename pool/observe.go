package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/limit"
	"github.com/lycheekeel/lycheekeel/pool/score"
)

const (
	// lateTokenFactor and lateTokenSlack define a late first token: one that takes longer
	// than the factor times the predicted time plus the slack. It was queued inside the
	// engine, because too many requests were sent to it.
	lateTokenFactor = 3
	lateTokenSlack  = 100 * time.Millisecond
	// ratioGood and ratioBad are the ratios of measured time to target that are reported to
	// a limit algorithm without a target of its own.
	ratioGood, ratioBad = 0.5, 1.5
	// manyRunningShare is the share of the slot limit from which a late first token is
	// attributed to the number of running requests.
	manyRunningShare = 0.75
	// kiloToken is the unit, in tokens, of the limit on KV memory.
	kiloToken = 1000.0
	// compareInterval is the time between comparisons of servers.
	compareInterval = 100 * time.Millisecond
	// stragglerBackoffMin is the time until the first probe of a straggler. It doubles with
	// each failed probe, up to stragglerBackoffMax.
	stragglerBackoffMin, stragglerBackoffMax = time.Second, 30 * time.Second
	// minPeers is the number of measured servers from which a generation has a common
	// latency profile.
	minPeers = 3
	// kvCapacityWeight is the weight of a new measurement of KV capacity. Reports with a
	// KV use below kvMinUse are too inaccurate.
	kvCapacityWeight, kvMinUse = 0.1, 0.2
	// minStepShare is the share of a measured time between tokens that remains at least
	// when the prefill of other requests is subtracted.
	minStepShare = 0.2
)

// initialProfile returns the profile from which the latency model of a new server of a
// generation starts.
func (p *Pool) initialProfile(generation string) score.Profile {
	if profile, ok := p.profiles[generation]; ok {
		return profile
	}
	return score.DefaultProfile()
}

// observeFirstToken records the time to a run's first token.
func (p *Pool) observeFirstToken(r *run, took time.Duration) {
	s := r.server
	if s.latency == nil {
		return
	}
	prefill := r.prefillAhead + r.uncachedTokens
	predicted := s.latency.FirstToken(prefill)
	late := s.latency.Known() && took > lateTokenFactor*predicted+lateTokenSlack
	s.latency.ObserveFirstToken(prefill, took, p.profiles[s.info.Generation], late)
	p.observeQueueing(r, late)
	p.updateStraggler(s)
}

// observeQueueing tells the limits whether a request was queued inside the engine. With
// many running requests it waited for a slot, with few for memory.
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

// observeToken records the mean time between the given number of tokens. The engine's
// prefill for other requests is subtracted before the server's latency model is updated,
// but not before its limit is: the target applies whatever caused the delay.
func (p *Pool) observeToken(r *run, took time.Duration, tokens int) {
	s := r.server
	if s.latency == nil {
		return
	}
	if target := s.shortestTokenTarget(); target > 0 {
		ratio := float64(took) / float64(target)
		s.latencyLimit.Observe(limit.Sample{Ratio: ratio, Used: float64(len(s.running))})
	}
	others := s.latency.PrefillTime(s.prefillTotal-r.prefilledAtReport) / time.Duration(tokens)
	step := max(took-others, time.Duration(minStepShare*float64(took)))
	s.latency.ObservePerToken(len(s.running), took, step, p.profiles[s.info.Generation])
	p.updateStraggler(s)
}

// observeCall records a call to a plain service, which has no tokens. The limit keeps
// the whole call within its target.
func (p *Pool) observeCall(r *run, took time.Duration) {
	s := r.server
	if s.latency == nil || took <= 0 {
		return
	}
	p.endPrefill(r)
	if target := p.firstTokenTargets[r.tier]; target > 0 {
		s.latencyLimit.Observe(limit.Sample{Ratio: float64(took) / float64(target), Used: float64(r.slotsInUse())})
	}
	s.latency.ObserveFirstToken(0, took, p.profiles[s.info.Generation], false)
	p.updateStraggler(s)
}

// shortestTokenTarget is the shortest target between tokens of the server's running
// requests. The server's limit must meet it, whichever request is measured.
func (s *server) shortestTokenTarget() time.Duration {
	var least time.Duration
	for _, r := range s.running {
		if r.perToken > 0 && (least == 0 || r.perToken < least) {
			least = r.perToken
		}
	}
	return least
}

// updateStraggler updates whether a server is a straggler and schedules its probes.
func (p *Pool) updateStraggler(s *server) {
	if p.cfg.KeepStragglers {
		return
	}
	was := s.straggler
	s.straggler = s.latency.Straggler(was)
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
	models := make(map[string][]*score.LatencyModel)
	for _, s := range p.sorted {
		if s.latency.Known() {
			models[s.info.Generation] = append(models[s.info.Generation], s.latency)
		}
	}
	for generation, all := range models {
		if profile, ok := score.Median(all); ok && len(all) >= minPeers {
			p.profiles[generation] = profile
		}
	}
	for _, s := range p.sorted {
		if !s.straggler {
			s.latency.UpdateBaseline()
		}
	}
}

// detectOverdue marks servers whose first tokens are overdue before these arrive.
// Otherwise a straggler would only be detected after it has delayed requests.
func (p *Pool) detectOverdue() {
	if p.isBaseline() {
		return
	}
	for _, s := range p.sorted {
		was := s.overdue
		s.overdue = false
		if !s.latency.Known() {
			continue
		}
		for _, r := range s.running {
			waited := p.now.Sub(r.grantedAt)
			// A run that was withdrawn, or is past its deadline, has ended at its entry. Its
			// missing release says nothing about the server. Without this check, one lost
			// release would leave a server idle for seconds: a quarter of a pool of four.
			if !r.withdrawnAt.IsZero() || p.now.After(r.deadline) && !r.deadline.IsZero() {
				continue
			}
			maxWait := lateTokenFactor*s.latency.FirstToken(r.prefillAhead+r.uncachedTokens) + lateTokenSlack
			// A server that makes progress on other requests is not stuck: the grant may be
			// at a slow entry, or one answer may be lost. Without this check, a slow entry
			// VM would stop every server on which it holds a grant: slots would stay free while
			// requests wait.
			if r.prefillDone || waited <= maxWait || p.now.Sub(s.lastProgress) <= maxWait {
				continue
			}
			s.overdue = true
			if !was {
				s.latency.ObserveOverdue(r.prefillAhead+r.uncachedTokens, waited, p.profiles[s.info.Generation])
				p.updateStraggler(s)
			}
			break
		}
	}
}

// updateLoad uses the parts of an engine's load report that change slowly: its slots
// and, in relation to the runs counted here, its KV capacity. The pool's own count of
// running requests is more recent than the report's.
func (p *Pool) updateLoad(e ServerLoad) {
	s := p.servers[e.Server]
	if s == nil {
		return
	}
	s.engineSlots = e.Report.Slots
	if e.Report.Leaving {
		s.leavingUntil = p.now.Add(leavingTimeout)
	}
	if !(e.Report.KVUsed >= kvMinUse) || s.kvTokens == 0 { // also true for NaN
		return
	}
	capacity := float64(s.kvTokens) / e.Report.KVUsed
	if s.kvCapacity == 0 {
		s.kvCapacity = capacity
	}
	s.kvCapacity += kvCapacityWeight * (capacity - s.kvCapacity)
}

// servedWorkWindow is the time constant of the rate of served work, from which retry
// delays are computed.
const servedWorkWindow = 5 * time.Second
