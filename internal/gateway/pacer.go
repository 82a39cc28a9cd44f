package gateway

import "time"

const (
	// pacedFrom is how many servers there are where it is worth pacing what is done
	// for each change of one.
	pacedFrom = 256
	// pacedShare of the time is the most that paced work takes.
	pacedShare = 0.05
	// pacedMost is the longest that paced work is put off. A server that leaves must
	// get nothing new within seconds.
	pacedMost = 250 * time.Millisecond
)

// pacer says when work that costs more the more there is may be done again: at once where
// it is cheap, and for a bounded part of the time where it is not.
//
// What goes wrong without it: servers by the thousand change some entry many times a
// second, and a daemon spends its core on making all pools anew for each.
type pacer struct {
	ended time.Time
	took  time.Duration
}

// done notes that the work ended and what it took.
func (p *pacer) done(began, ended time.Time) { p.ended, p.took = ended, ended.Sub(began) }

// in returns how long the work has to wait.
func (p *pacer) in(now time.Time) time.Duration {
	pause := min(time.Duration(float64(p.took)/pacedShare), pacedMost)
	return max(0, p.ended.Add(pause).Sub(now))
}
