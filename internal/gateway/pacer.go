package gateway

import "time"

const (
	// pacingMinServers is how many servers there are where it is worth pacing what is done
	// for each change of one.
	pacingMinServers = 256
	// pacingShare of the time is the most that paced work takes.
	pacingShare = 0.05
	// maxPacingDelay is the longest that paced work is put off. A server that leaves must
	// get nothing new within seconds.
	maxPacingDelay = 250 * time.Millisecond
)

// pacer says when work that costs more the more there is may be done again: at once where
// it is cheap, and for a bounded part of the time where it is not.
//
// What goes wrong without it: servers by the thousand change some entry many times a
// second, and a daemon spends its core on making all pools anew for each.
type pacer struct {
	lastEnd      time.Time
	lastDuration time.Duration
}

// done notes that the work ended and what it took.
func (p *pacer) done(began, ended time.Time) { p.lastEnd, p.lastDuration = ended, ended.Sub(began) }

// delay returns how long the work has to wait.
func (p *pacer) delay(now time.Time) time.Duration {
	pause := min(time.Duration(float64(p.lastDuration)/pacingShare), maxPacingDelay)
	return max(0, p.lastEnd.Add(pause).Sub(now))
}
