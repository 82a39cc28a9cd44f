package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// maxExtraShare is the largest number of extra calls of a server, as a share of its slots.
	maxExtraShare = 1.0 / 3
	// callTimeWeight is the weight of a new call in the means of callTimes.
	callTimeWeight = 0.02
	// extraPauseMin is how long a server that has rejected a call gets no extra calls. It
	// doubles with each further rejection up to extraPauseMax, and starts again at
	// extraPauseMin after extraPauseMax without a rejection.
	extraPauseMin, extraPauseMax = time.Second, 8 * time.Second
)

// callTimes are the decayed means over the calls of a pool, in seconds: idle is the part of
// the time from grant to release in which a call was not at its server, call the time that
// it took there.
type callTimes struct {
	idle, call float64
	calls      int
}

func (c *callTimes) add(idle, call time.Duration) {
	c.calls++
	weight := max(callTimeWeight, 1/float64(c.calls))
	c.idle += weight * (idle.Seconds() - c.idle)
	c.call += weight * (call.Seconds() - c.call)
}

// extraCalls is the state of the calls granted to a server beyond its slots.
type extraCalls struct {
	grantedAt, rejectedAt time.Time // of the last one
	pausedUntil           time.Time
	pause                 time.Duration
}

// serversWithExtraCalls returns the servers that may get a call beyond their slots: of those
// that may get any, the ones that have the fewest. It counts them as one slot, so that a
// tier that must leave slots free for higher tiers gets no extra calls.
func (p *Pool) serversWithExtraCalls() ([]*server, int) {
	p.usableServers = p.usableServers[:0]
	if !p.allowsExtraCalls() {
		return p.usableServers, 0
	}
	fewest := math.MaxInt
	for _, s := range p.sorted {
		extra := len(s.running) - s.maxRunning
		if extra < 0 || extra > fewest || extra >= p.maxExtraCalls(s) {
			continue
		}
		if extra < fewest {
			fewest, p.usableServers = extra, p.usableServers[:0]
		}
		p.usableServers = append(p.usableServers, s)
	}
	return p.usableServers, min(1, len(p.usableServers))
}

// allowsExtraCalls reports whether any server may get extra calls. A pool that has only a
// share of the servers doesn't know what other daemons grant beyond the slots. Brittle
// servers, and those that name a rate, ask for less.
func (p *Pool) allowsExtraCalls() bool {
	return p.rateShare >= 1 && !p.isBrittle() &&
		!slices.ContainsFunc(p.sorted, func(s *server) bool { return s.rate.perSecond > 0 })
}

// maxExtraCalls returns how many extra calls a server may have: as many as keep its slots
// in use while grants and releases travel. A server that may not use all of its slots gets
// none, nor does one that has not answered since it lost or refused a run, nor one that runs
// a stream, which would not free its slot soon.
func (p *Pool) maxExtraCalls(s *server) int {
	slots := s.info.Slots
	if s.engineSlots > 0 {
		slots = min(slots, s.engineSlots)
	}
	if !s.grantable || s == p.isolation || s.straggler || s.overdue || s.maxRunning < slots ||
		s.backoff > 0 || s.breaker.lostStreak.runs > 0 || p.now.Before(s.extraCalls.pausedUntil) || p.callTimes.call <= 0 ||
		slices.ContainsFunc(s.running, (*run).isStream) {
		return 0
	}
	covering := math.Ceil(float64(slots) * p.callTimes.idle / p.callTimes.call)
	return int(min(covering, maxExtraShare*float64(slots)))
}

// isBeyondSlots reports whether the next grant to a server is an extra call. Probes and
// suspects are not extra calls: their servers may still count runs from before.
func (p *Pool) isBeyondSlots(s *server) bool {
	return p.cfg.Traits.Overlap && !p.isBaseline() && s.grantable && s != p.isolation && len(s.running) >= s.maxRunning
}

// extra describes a run that was granted beyond its server's slots. It is zero for all other
// runs.
type extra struct {
	slots  int       // slots of its server at the grant
	ahead  int       // runs that have to end before it has a slot
	slotAt time.Time // when the last of them was released; zero means not yet
}

// countExtraCall notes that a run is granted beyond its server's slots.
func (p *Pool) countExtraCall(r *run) {
	s := r.server
	r.extra = extra{slots: s.maxRunning, ahead: r.runningAtGrant - s.maxRunning}
	s.extraCalls.grantedAt = p.now
	p.tally[r.tier].GrantedExtra++
}

// slotFreed notes that a run has ended and been removed, so that an extra call granted after
// it may begin.
func (p *Pool) slotFreed(ended *run) {
	s := ended.server
	if s.extraCalls.grantedAt.IsZero() {
		return
	}
	for _, r := range s.running {
		if r.extra.ahead > 0 && (ended.adopted || ended.id.Seq < r.id.Seq) {
			if r.extra.ahead--; r.extra.ahead == 0 {
				r.extra.slotAt = p.now
			}
		}
	}
}

// isStream reports whether the run is not a call.
func (r *run) isStream() bool { return !r.isCall() }

// slotsInUse is the number of its server's slots in use when a run was granted.
func (r *run) slotsInUse() int {
	if r.extra.slots > 0 {
		return r.extra.slots
	}
	return r.runningAtGrant
}

// timeInSlot estimates how much of a run's time at its server was in a slot: an extra call
// may first have waited there until a slot was free.
//
// Without it, the server would look slower than it is: its limit and the rate of freed
// slots would fall, and it could become a straggler because of the extra calls.
func (r *run) timeInSlot(now time.Time, total time.Duration) time.Duration {
	if r.extra.slotAt.IsZero() {
		return total
	}
	return min(total, now.Sub(r.extra.slotAt))
}

// observeOverlap records the times of a complete call. It doesn't know when a run of an
// earlier owner was granted.
func (p *Pool) observeOverlap(r *run, total, inSlot time.Duration) {
	if p.cfg.Traits.Overlap && !r.adopted && total > 0 {
		p.callTimes.add(max(0, p.now.Sub(r.grantedAt)-total), inSlot)
	}
}

// rejectsExtraCalls reports whether a rejected run was an extra call, or was overtaken on
// its way to the server by one granted later. Such a rejection says nothing about the
// slots: a pause of the whole server would leave them idle.
func (p *Pool) rejectsExtraCalls(r *run) bool {
	return r.extra.slots > 0 || !r.adopted && !r.server.extraCalls.grantedAt.Before(r.grantedAt)
}

// pauseExtraCalls stops extra calls to a server that has rejected one. Runs granted before
// its last rejection count as one rejection with that.
func (p *Pool) pauseExtraCalls(r *run) {
	x := &r.server.extraCalls
	if !r.grantedAt.After(x.rejectedAt) {
		return
	}
	if p.now.Sub(x.pausedUntil) >= extraPauseMax {
		x.pause = 0
	}
	x.pause = min(max(2*x.pause, extraPauseMin), extraPauseMax)
	x.rejectedAt, x.pausedUntil = p.now, p.now.Add(x.pause)
}
