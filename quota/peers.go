package quota

import "time"

const (
	// SilenceTimeout is how long another daemon may say nothing before its share is
	// left to it.
	SilenceTimeout = 1500 * time.Millisecond
	// suspectTimeout is how long it may say nothing before its part of what is left is
	// not used until it is heard again. Daemons that let nothing through are heard less
	// often than each round.
	suspectTimeout = time.Second
	// maxRelayedAge is how old a sign may be for a hub to pass it on.
	maxRelayedAge = 600 * time.Millisecond
	// silenceCheckInterval is how often it is looked who has fallen silent.
	silenceCheckInterval = 50 * time.Millisecond
)

// peers are the other daemons that may let requests through, as far as one daemon
// knows, and how much of the rates has accrued by what it heard of them.
//
// The share of a daemon accrues up to its last sign only, all at once when it gives the
// next one: until then it may be cut off and let its share through by itself. One that was
// silent for longer than suspectTimeout has kept its share of that time, unless all that it let
// through meanwhile is known.
type peers struct {
	lastHeard map[string]time.Time // last signs; zero: none yet
	// assumedDaemons is how many daemons there may be while none has been met.
	assumedDaemons int

	startedAt time.Time
	accrued   float64 // seconds of the whole rate
	accruedAt time.Time
	checkedAt time.Time
	// When it was last looked, doubted and silent had said nothing for so long, unmet
	// were not heard yet, and the rest was heard.
	suspected, silent, neverHeard, fresh int
}

// daemonCount is how many there are, this one included.
func (p *peers) daemonCount() int { return len(p.lastHeard) + 1 }

// setMembers takes the names of the others. One that is gone for good lets nothing through
// any more.
func (p *peers) setMembers(names []string, now time.Time) {
	p.accrue(now)
	known := make(map[string]bool, len(names))
	for _, n := range names {
		known[n] = true
		if _, ok := p.lastHeard[n]; !ok {
			p.lastHeard[n] = time.Time{}
		}
	}
	for n := range p.lastHeard {
		if !known[n] {
			delete(p.lastHeard, n)
		}
	}
	p.classify(now)
}

// recordHeartbeat takes a sign of a daemon that was given at a moment. allTold: what it let through
// meanwhile is known, so that its share has accrued however long it was silent. It returns
// for how long it was.
func (p *peers) recordHeartbeat(name string, at, now time.Time, usageKnown bool) (gap time.Duration) {
	previous, known := p.lastHeard[name]
	if !known || !at.After(previous) {
		return 0
	}
	p.accrue(now)
	*p.counterFor(previous)--
	*p.counterFor(at)++
	p.lastHeard[name] = at
	if previous.IsZero() {
		if usageKnown { // it has just started, too
			p.accrued += min(at.Sub(p.startedAt), SilenceTimeout).Seconds() / float64(p.daemonCount())
		}
		return 0
	}
	gap = at.Sub(previous)
	if usageKnown || gap <= suspectTimeout {
		p.accrued += gap.Seconds() / float64(p.daemonCount())
	}
	return gap
}

// silentAmong is how many of the named had fallen silent when it was last looked.
func (p *peers) silentAmong(names []string) int {
	n := 0
	for _, name := range names {
		if at, known := p.lastHeard[name]; known && p.counterFor(at) == &p.silent {
			n++
		}
	}
	return n
}

// neverHeardAmong returns those of the named that were never heard.
func (p *peers) neverHeardAmong(names []string) []string {
	var out []string
	for _, name := range names {
		if at, known := p.lastHeard[name]; known && at.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// markAccrued takes it that the shares of all that are heard have accrued up to now.
func (p *peers) markAccrued(now time.Time) {
	for name, at := range p.lastHeard {
		if !at.IsZero() && now.Sub(at) <= SilenceTimeout {
			*p.counterFor(at)--
			p.fresh++
			p.lastHeard[name] = now
		}
	}
}

// accrue counts this daemon's own share up to now.
func (p *peers) accrue(now time.Time) {
	if now.After(p.accruedAt) {
		p.accrued += now.Sub(p.accruedAt).Seconds() * p.ownShare()
		p.accruedAt = now
	}
}

// ownShare is this daemon's share of the rates.
func (p *peers) ownShare() float64 {
	if len(p.lastHeard) == 0 {
		return 1 / float64(p.assumedDaemons)
	}
	return 1 / float64(p.daemonCount())
}

// classify looks who says nothing.
func (p *peers) classify(now time.Time) {
	p.checkedAt = now
	p.suspected, p.silent, p.neverHeard, p.fresh = 0, 0, 0, 0
	for _, at := range p.lastHeard {
		*p.counterFor(at)++
	}
}

// counterFor is the one that holds a daemon whose last sign is of a moment.
func (p *peers) counterFor(at time.Time) *int {
	switch age := p.checkedAt.Sub(at); {
	case at.IsZero():
		return &p.neverHeard
	case age > SilenceTimeout:
		return &p.silent
	case age > suspectTimeout:
		return &p.suspected
	default:
		return &p.fresh
	}
}

// newlySilent looks again, and returns which part of those that shared what is left has
// fallen silent meanwhile.
func (p *peers) newlySilent(now time.Time) float64 {
	previous := p.daemonCount() - p.silent
	p.classify(now)
	return max(0, 1-float64(p.daemonCount()-p.silent)/float64(previous))
}

// heardCount is how many are heard, this one included.
func (p *peers) heardCount() int { return p.daemonCount() - p.silent - p.neverHeard }

// suspectedFraction is the part of those that share what is left who have said nothing for a while.
func (p *peers) suspectedFraction() float64 {
	return float64(p.suspected) / float64(p.daemonCount()-p.silent)
}

// share is the part of the rates, and of what may be saved, that is left to this daemon
// and to those that it hears: all of it while it hears every other one.
func (p *peers) share() float64 {
	if len(p.lastHeard) == 0 {
		return 1 / float64(p.assumedDaemons)
	}
	return 1 - float64(p.silent+p.neverHeard)/float64(p.daemonCount())
}

// stale returns those who have given no sign for so long.
func (p *peers) stale(limit time.Duration, now time.Time) []string {
	var out []string
	for name, at := range p.lastHeard {
		if at.IsZero() || now.Sub(at) > limit {
			out = append(out, name)
		}
	}
	return out
}

// maxAge is how old the signs of those are at most who are not quiet.
func (p *peers) maxAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, at := range p.lastHeard {
		if age := now.Sub(at); !at.IsZero() && age <= maxRelayedAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}
