package pool

import "time"

const (
	// breakerLostRuns is how many runs break in a row, without a word of their server
	// in between, until it counts as down. A crash breaks all that run at once, so
	// that it is found within a few milliseconds. Where a twentieth of the answers
	// is lost on the way, one run in 160,000 would be the fourth of a row.
	breakerLostRuns = 4
	// breakerFailedRuns is the same for runs that end with the server's own failure. A server
	// that fails a seventh of what it runs is taken out once in some 800,000 runs.
	breakerFailedRuns = 7
	// maxFailingShare is the largest part of a pool's servers that are out of use because
	// they fail: where more fail, it is no matter of single servers.
	maxFailingShare = 1.0 / 3
	// breakerBackoffMin is how long a server that counts as down is left alone before
	// it is probed; the pause doubles at each probe that breaks, up to
	// breakerBackoffMax. A probe costs a request of the lowest tier; a longer pause
	// costs all slots of a server that goes down and up each second for most of the
	// time that it is up.
	breakerBackoffMin, breakerBackoffMax = 200 * time.Millisecond, 400 * time.Millisecond
	// breakerProbeWait is how long a probe that is due waits for a request of the
	// lowest tier: it may well be lost.
	breakerProbeWait = time.Second
)

// breaker is a circuit breaker: it takes a server out of use whose connections
// break, or that fails all it runs, until a probe gets through.
//
// What goes wrong without it: a server crashes and its address goes on to accept
// connections, which break at once. Its slots come free within 10 ms each time; when
// the other servers are full it is the only one with a free slot, and draws all that
// waits, most of which can't be sent again. It is the same with a server that answers
// each request at once with a failure, while its health check passes. Refusals do not
// count: who refuses lives, and has not run the request.
type breaker struct {
	lostStreak, failedStreak streak
	open                     bool
	backoff                  time.Duration
	lastFailure              time.Time // it opened, or the last probe broke
}

// streak counts runs in a row that ended alike.
type streak struct {
	runs       int
	firstEntry EntryID // of the first of them
	// severalEntries is set once runs of more than one entry are in the row.
	severalEntries bool
}

func (s *streak) add(r *run) {
	if s.runs == 0 {
		s.firstEntry = r.entry
	}
	s.runs++
	s.severalEntries = s.severalEntries || r.entry != s.firstEntry
}

// reached tells whether a row has so many runs, of more than one entry where there are
// several: a single one may be what is cut off.
func (s *streak) reached(runs, entries int) bool {
	return s.runs >= runs && (s.severalEntries || entries <= 1)
}

// probeAt is when an open breaker lets a probe through.
func (b *breaker) probeAt() time.Time { return b.lastFailure.Add(b.backoff) }

// trip takes the server out of use.
func (b *breaker) trip(now time.Time) {
	b.open, b.backoff, b.lastFailure = true, breakerBackoffMin, now
}

// probeFailed puts the next probe off after one that failed.
func (b *breaker) probeFailed(now time.Time, r *run) {
	if !r.grantedAt.Before(b.lastFailure) {
		b.backoff, b.lastFailure = min(2*b.backoff, breakerBackoffMax), now
	}
}

// serverSucceeded takes it that a server has begun to answer a request, or has done so.
func (p *Pool) serverSucceeded(s *server) {
	s.breaker.failedStreak = streak{}
	p.serverAnswered(s)
}

// serverAnswered takes it that a server lives: it has answered, if only with a refusal or a
// failure. One that is out of use because it fails stays so.
func (p *Pool) serverAnswered(s *server) {
	s.breaker.lostStreak = streak{}
	if s.breaker.open && s.breaker.failedStreak.runs < breakerFailedRuns {
		s.breaker.open = false
		p.emit(BreakerChanged{Server: s.info.Name, Open: false})
	}
}

// runFailed counts a run that ended with its server's own failure.
func (p *Pool) runFailed(r *run) {
	p.serverAnswered(r.server)
	p.countFailure(r, &r.server.breaker.failedStreak, breakerFailedRuns, p.mayOpenBreaker)
}

// runLost counts a run that broke on its server.
func (p *Pool) runLost(r *run) {
	p.countFailure(r, &r.server.breaker.lostStreak, breakerLostRuns, func() bool { return true })
}

// countFailure counts a run of a row, and takes its server out of use when there are so many,
// and it may be.
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

// mayOpenBreaker tells whether one server more may be out of use because it fails.
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
