package pool

import "time"

const (
	// breakerRuns is how many runs break in a row, without a word of their server
	// in between, until it counts as down. A crash breaks all that run at once, so
	// that it is found within a few milliseconds. Where a twentieth of the answers
	// is lost on the way, one run in 160,000 would be the fourth of a row.
	breakerRuns = 4
	// breakerPauseMin is how long a server that counts as down is left alone before
	// it is probed; the pause doubles at each probe that breaks, up to
	// breakerPauseMax. A probe costs a request of the lowest tier; a longer pause
	// costs all slots of a server that goes down and up each second for most of the
	// time that it is up.
	breakerPauseMin, breakerPauseMax = 200 * time.Millisecond, 400 * time.Millisecond
	// breakerPatience is how long a probe that is due waits for a request of the
	// lowest tier: it may well be lost.
	breakerPatience = time.Second
)

// breaker is a circuit breaker: it takes a server out of use whose connections
// break, until a probe gets through.
//
// What goes wrong without it: a server crashes and its address goes on to accept
// connections, which break at once. Its slots come free within 10 ms each time; when
// the other servers are full it is the only one with a free slot, and draws all that
// waits. Eight servers took up to 733 requests each in four seconds, most of which
// could not be sent again. A server's own refusals and failures do not count: it
// lives.
type breaker struct {
	broken int     // runs in a row
	entry  EntryID // of the first of them
	many   bool    // more than one entry's runs broke
	open   bool
	pause  time.Duration
	since  time.Time // it opened, or the last probe broke
}

// probeAt is when an open breaker lets a probe through.
func (b *breaker) probeAt() time.Time { return b.since.Add(b.pause) }

// heard takes it that a server has answered something.
func (p *Pool) heard(s *server) {
	wasOpen := s.breaker.open
	s.breaker = breaker{}
	if wasOpen {
		p.emit(ServerDown{Server: s.info.Name, Down: false})
	}
}

// runBroke counts a run that broke on its server.
func (p *Pool) runBroke(r *run) {
	b := &r.server.breaker
	wasOpen := b.open
	b.runBroke(p.now, r, p.entries.alive)
	if b.open && !wasOpen {
		p.emit(ServerDown{Server: r.server.info.Name, Down: true})
	}
}

// runBroke counts a broken run. Where there are several entries, the runs of more
// than one must have broken: a single one may be what is cut off.
func (b *breaker) runBroke(now time.Time, r *run, entries int) {
	if b.open {
		if !r.since.Before(b.since) {
			b.pause, b.since = min(2*b.pause, breakerPauseMax), now
		}
		return
	}
	if b.broken == 0 {
		b.entry = r.entry
	}
	b.broken++
	b.many = b.many || r.entry != b.entry
	if b.broken >= breakerRuns && (b.many || entries <= 1) {
		b.open, b.pause, b.since = true, breakerPauseMin, now
	}
}
