package quota

import "time"

const (
	// SilenceTimeout is how long another daemon may send no heartbeat before it counts as
	// silent and its share is withheld.
	SilenceTimeout = 1500 * time.Millisecond
	// suspectTimeout is how long another daemon may send no heartbeat before its part of
	// each bucket is left unused until it is heard again. It is longer than one round of
	// reports, because daemons without usage are heard less often than every round.
	suspectTimeout = time.Second
	// maxRelayedAge is the age up to which a hub relays a heartbeat.
	maxRelayedAge = 600 * time.Millisecond
	// silenceCheckInterval is the minimum time between two checks for silent daemons.
	silenceCheckInterval = 50 * time.Millisecond
)

// peers tracks the other daemons that may admit requests, as far as this daemon knows, and
// how much of the rates has accrued according to their heartbeats.
//
// The share of another daemon accrues up to its latest heartbeat, all at once when the next
// one arrives. Until then the daemon may be cut off and spend its share by itself. After a
// gap longer than suspectTimeout its share of the gap is not accrued here, unless its usage
// during the gap is known.
type peers struct {
	lastHeard map[string]time.Time // time of the latest heartbeat by name; zero: none yet
	// assumedDaemons is the assumed number of daemons while no other one is known.
	assumedDaemons int

	startedAt time.Time
	accrued   float64 // seconds at the whole rate
	accruedAt time.Time
	checkedAt time.Time
	// suspected, silent, neverHeard and fresh count the other daemons by their state at
	// checkedAt. suspected and silent ones had sent no heartbeat for longer than
	// suspectTimeout or SilenceTimeout, neverHeard ones none at all. fresh counts the rest.
	suspected, silent, neverHeard, fresh int
}

// daemonCount is the number of daemons, including this one.
func (p *peers) daemonCount() int { return len(p.lastHeard) + 1 }

// setMembers sets the names of the other daemons.
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

// recordHeartbeat records a daemon's heartbeat of the time at, and returns the gap since
// its previous one. usageKnown means that its usage during the gap is known, so that its
// share accrues however long the gap was.
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

// silentAmong returns how many of the named daemons were silent at checkedAt.
func (p *peers) silentAmong(names []string) int {
	n := 0
	for _, name := range names {
		if at, known := p.lastHeard[name]; known && p.counterFor(at) == &p.silent {
			n++
		}
	}
	return n
}

// neverHeardAmong returns those of the named daemons that have sent no heartbeat yet.
func (p *peers) neverHeardAmong(names []string) []string {
	var out []string
	for _, name := range names {
		if at, known := p.lastHeard[name]; known && at.IsZero() {
			out = append(out, name)
		}
	}
	return out
}

// markAccrued marks the shares of all daemons that are heard as accrued up to now.
func (p *peers) markAccrued(now time.Time) {
	for name, at := range p.lastHeard {
		if !at.IsZero() && now.Sub(at) <= SilenceTimeout {
			*p.counterFor(at)--
			p.fresh++
			p.lastHeard[name] = now
		}
	}
}

// accrue adds this daemon's own share up to now.
func (p *peers) accrue(now time.Time) {
	if now.After(p.accruedAt) {
		p.accrued += now.Sub(p.accruedAt).Seconds() * p.ownShare()
		p.accruedAt = now
	}
}

// ownShare is this daemon's own fraction of the rates.
func (p *peers) ownShare() float64 {
	if len(p.lastHeard) == 0 {
		return 1 / float64(p.assumedDaemons)
	}
	return 1 / float64(p.daemonCount())
}

// classify counts the daemons by the age of their latest heartbeats.
func (p *peers) classify(now time.Time) {
	p.checkedAt = now
	p.suspected, p.silent, p.neverHeard, p.fresh = 0, 0, 0, 0
	for _, at := range p.lastHeard {
		*p.counterFor(at)++
	}
}

// counterFor returns the counter of the state that a daemon with its latest heartbeat at
// that time was in at checkedAt.
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

// newlySilent checks again, and returns which fraction of the daemons that were not silent
// has become silent.
func (p *peers) newlySilent(now time.Time) float64 {
	previous := p.daemonCount() - p.silent
	p.classify(now)
	return max(0, 1-float64(p.daemonCount()-p.silent)/float64(previous))
}

// heardCount is the number of daemons that are heard, including this one.
func (p *peers) heardCount() int { return p.daemonCount() - p.silent - p.neverHeard }

// suspectedFraction is the fraction of suspected daemons among those that are not silent.
func (p *peers) suspectedFraction() float64 {
	return float64(p.suspected) / float64(p.daemonCount()-p.silent)
}

// share is the fraction of the rates and burst sizes that belongs to this daemon and to
// those that it hears. It is 1 while it hears all others.
func (p *peers) share() float64 {
	if len(p.lastHeard) == 0 {
		return 1 / float64(p.assumedDaemons)
	}
	return 1 - float64(p.silent+p.neverHeard)/float64(p.daemonCount())
}

// stale returns the daemons without a heartbeat within the limit.
func (p *peers) stale(limit time.Duration, now time.Time) []string {
	var out []string
	for name, at := range p.lastHeard {
		if at.IsZero() || now.Sub(at) > limit {
			out = append(out, name)
		}
	}
	return out
}

// maxAge returns the age of the oldest heartbeat among those that may be relayed.
func (p *peers) maxAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, at := range p.lastHeard {
		if age := now.Sub(at); !at.IsZero() && age <= maxRelayedAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}
