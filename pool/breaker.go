package pool

import "time"

const (
	// breakerLostRuns is the number of lost runs, without any answer of the server in
	// between, that opens the breaker. A crash loses all runs at once, so the breaker opens
	// within a few milliseconds. If a twentieth of the answers is lost in transit, one run
	// in 160,000 is the fourth in a row.
	breakerLostRuns = 4
	// breakerFailedRuns is the number of consecutive failed runs that opens the breaker.
	// A server that fails a seventh of its runs is taken out of use about once in 800,000
	// runs.
	breakerFailedRuns = 7
	// maxFailingShare is the largest share of a pool's servers that may be out of use
	// because they fail. If more of them fail, the cause is not a single server.
	maxFailingShare = 1.0 / 3
	// breakerBackoffMin is the time before the first probe of a server whose breaker is
	// open. It doubles with each failed probe up to breakerBackoffMax. A probe risks a
	// request of the lowest tier. A longer backoff would waste the slots of a server that
	// fails and recovers every second for most of the time that it is up.
	breakerBackoffMin, breakerBackoffMax = 200 * time.Millisecond, 400 * time.Millisecond
	// breakerProbeWait is how long a due probe waits for a request of the lowest tier. The
	// request that is used as a probe may well be lost.
	breakerProbeWait = time.Second
)

// breaker is a server's circuit breaker. It opens if the server's connections break or
// all its runs fail, and closes when a probe succeeds.
//
// Without it, a crashed server whose address still accepts connections would free its
// slots within 10 ms each time. When the other servers are full, it would be the only
// one with a free slot and attract all waiting requests, most of which cannot be
// retried. The same holds for a server that fails every request at once while its
// health check passes. Refusals do not count: a server that refuses is alive and has
// not run the request.
type breaker struct {
	lostStreak, failedStreak streak
	open                     bool
	backoff                  time.Duration
	lastFailure              time.Time // when it opened or the last probe failed
}

// streak counts consecutive runs with the same kind of failure.
type streak struct {
	runs       int
	firstEntry EntryID // entry of the first run
	// severalEntries is set once the streak has runs of more than one entry.
	severalEntries bool
}

func (s *streak) add(r *run) {
	if s.runs == 0 {
		s.firstEntry = r.entry
	}
	s.runs++
	s.severalEntries = s.severalEntries || r.entry != s.firstEntry
}

// reached reports whether the streak has the given number of runs. If the pool has
// several entries, the runs must come from more than one: a single entry may have lost
// its own network connection.
func (s *streak) reached(runs, entries int) bool {
	return s.runs >= runs && (s.severalEntries || entries <= 1)
}

// probeAt is the time of the next probe while the breaker is open.
func (b *breaker) probeAt() time.Time { return b.lastFailure.Add(b.backoff) }

// trip opens the breaker.
func (b *breaker) trip(now time.Time) {
	b.open, b.backoff, b.lastFailure = true, breakerBackoffMin, now
}

// probeFailed increases the backoff if the failed run was granted after the last
// failure, as a probe.
func (b *breaker) probeFailed(now time.Time, r *run) {
	if !r.grantedAt.Before(b.lastFailure) {
		b.backoff, b.lastFailure = min(2*b.backoff, breakerBackoffMax), now
	}
}

// serverSucceeded notes that a server has started or completed an answer.
func (p *Pool) serverSucceeded(s *server) {
	s.breaker.failedStreak = streak{}
	p.serverAnswered(s)
}

// serverAnswered notes that a server is alive: it has answered, if only with a refusal
// or a failure. A breaker that opened because of failed runs stays open.
func (p *Pool) serverAnswered(s *server) {
	s.breaker.lostStreak = streak{}
	if s.breaker.open && s.breaker.failedStreak.runs < breakerFailedRuns {
		s.breaker.open = false
		p.emit(BreakerChanged{Server: s.info.Name, Open: false})
	}
}

// runFailed counts a run for which the server reported a failure.
func (p *Pool) runFailed(r *run) {
	p.serverAnswered(r.server)
	p.countFailure(r, &r.server.breaker.failedStreak, breakerFailedRuns, p.mayOpenBreaker)
}

// runLost counts a run whose stream was lost.
func (p *Pool) runLost(r *run) {
	p.countFailure(r, &r.server.breaker.lostStreak, breakerLostRuns, func() bool { return true })
}

// countFailure adds a run to a streak, and opens the server's breaker if the streak
// reaches the threshold and mayOpen allows it.
func (p *Pool) countFailure(r *run, runs *streak, threshold int, mayOpen func() bool) {
	b := &r.server.breaker
	if b.open {
		b.probeFailed(p.now, r)
		return
	}
	runs.add(r)
	if runs.reached(threshold, p.entries.alive) && mayOpen() {
		b.trip(p.now)
		p.emit(BreakerChanged{Server: r.server.info.Name, Open: true})
	}
}

// mayOpenBreaker reports whether another server may be taken out of use because its
// runs fail.
func (p *Pool) mayOpenBreaker() bool {
	open, up := 1, 0
	for _, s := range p.sorted {
		if !p.up(s) {
			continue
		}
		up++
		if s.breaker.open {
			open++
		}
	}
	return up > 1 && open <= max(1, int(maxFailingShare*float64(up)))
}
