// Package headroom sizes the slots that lower tiers leave free for a higher
// one, from the higher one's recent arrivals and their burstiness.
//
// Nothing here is safe for concurrent use.
package headroom

import (
	"math"
	"time"
)

const (
	// bucket is the time over which a burst is measured.
	bucket = 250 * time.Millisecond
	// peakHalfLife is how long a burst is remembered.
	peakHalfLife = 30 * time.Second
)

// Arrivals measures the arrivals of one tier.
type Arrivals struct {
	began time.Time // of the present bucket
	count int
	peak  float64 // arrivals a second
}

// Add counts an arrival.
func (a *Arrivals) Add(now time.Time) {
	a.roll(now)
	a.count++
}

// Peak returns the recent peak rate, in arrivals a second.
func (a *Arrivals) Peak(now time.Time) float64 {
	a.roll(now)
	return a.peak
}

// roll closes the present bucket once its time is over.
func (a *Arrivals) roll(now time.Time) {
	if a.began.IsZero() {
		a.began = now
	}
	age := now.Sub(a.began)
	if age < bucket {
		return
	}
	rate := float64(a.count) / age.Seconds()
	a.peak *= math.Exp2(-age.Seconds() / peakHalfLife.Seconds())
	a.peak = math.Max(a.peak, rate)
	a.began, a.count = now, 0
}

// Reserve returns how many slots must stay free, so that arrivals at a rate
// find one within the slack, given how many slots come free a second.
func Reserve(arrivals, freed float64, slack time.Duration) int {
	return int(math.Ceil(math.Max(0, (arrivals-freed)*slack.Seconds())))
}
