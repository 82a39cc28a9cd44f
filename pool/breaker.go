package pool

import "time"

const (
	// breakerRuns is how many runs break in a row, without a word of their server
	// in between, until it counts as down. A crash breaks all that run at once, so
	// that it is found within a few milliseconds. Where a twentieth of the answers
	// is lost on the way, one run in 160,000 would be the fourth of a row.
	breakerRuns = 4
	// failedRuns is the same for runs that end with the server's own failure. A server
	// that fails a seventh of what it runs is taken out once in some 800,000 runs.
	failedRuns = 7
	// failedOut is the largest part of a pool's servers that are out of use because
	// they fail: where more fail, it is no matter of single servers.
	failedOut = 1.0 / 3
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
// break, or that fails all it runs, until a probe gets through.
//
// What goes wrong without it: a server crashes and its address goes on to accept
// connections, which break at once. Its slots come free within 10 ms each time; when
// the other servers are full it is the only one with a free slot, and draws all that
// waits, most of which can't be sent again. It is the same with a server that answers
// each request at once with a failure, while its health check passes. Refusals do not
// count: who refuses lives, and has not run the request.
type breaker struct {
	broken, failed row
	open           bool
	pause          time.Duration
	since          time.Time // it opened, or the last probe broke
}

// row counts runs in a row that ended alike.
type row struct {
	runs  int
	entry EntryID // of the first of them
	// several is set once runs of more than one entry are in the row.
	several bool
}

func (w *row) add(r *run) {
	if w.runs == 0 {
		w.entry = r.entry
	}
	w.runs++
	w.several = w.several || r.entry != w.entry
}

// reached tells whether a row has so many runs, of more than one entry where there are
// several: a single one may be what is cut off.
func (w *row) reached(runs, entries int) bool {
	return w.runs >= runs && (w.several || entries <= 1)
}

// probeAt is when an open breaker lets a probe through.
func (b *breaker) probeAt() time.Time { return b.since.Add(b.pause) }

// take takes the server out of use.
func (b *breaker) take(now time.Time) { b.open, b.pause, b.since = true, breakerPauseMin, now }

// probed puts the next probe off after one that failed.
func (b *breaker) probed(now time.Time, r *run) {
	if !r.since.Before(b.since) {
		b.pause, b.since = min(2*b.pause, breakerPauseMax), now
	}
}

// succeeded takes it that a server has begun to answer a request, or has done so.
func (p *Pool) succeeded(s *server) {
	s.breaker.failed = row{}
	p.heard(s)
}

// heard takes it that a server lives: it has answered, if only with a refusal or a
// failure. One that is out of use because it fails stays so.
func (p *Pool) heard(s *server) {
	s.breaker.broken = row{}
	if s.breaker.open && s.breaker.failed.runs < failedRuns {
		s.breaker.open = false
		p.emit(ServerDown{Server: s.info.Name, Down: false})
	}
}

// runFailed counts a run that ended with its server's own failure.
func (p *Pool) runFailed(r *run) {
	p.heard(r.server)
	p.count(r, &r.server.breaker.failed, failedRuns, p.mayTakeOut)
}

// runBroke counts a run that broke on its server.
func (p *Pool) runBroke(r *run) {
	p.count(r, &r.server.breaker.broken, breakerRuns, func() bool { return true })
}

// count counts a run of a row, and takes its server out of use when there are so many,
// and it may be.
func (p *Pool) count(r *run, in *row, most int, may func() bool) {
	b := &r.server.breaker
	if b.open {
		b.probed(p.now, r)
		return
	}
	in.add(r)
	if in.reached(most, p.entries.alive) && may() {
		b.take(p.now)
		p.emit(ServerDown{Server: r.server.info.Name, Down: true})
	}
}

// mayTakeOut tells whether one server more may be out of use because it fails.
func (p *Pool) mayTakeOut() bool {
	out, all := 1, 0
	for _, s := range p.order {
		if !p.up(s) {
			continue
		}
		all++
		if s.breaker.open {
			out++
		}
	}
	return all > 1 && out <= max(1, int(failedOut*float64(all)))
}
