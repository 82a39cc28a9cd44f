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
	// bucketLength is the time over which a burst is measured.
	bucketLength = 250 * time.Millisecond
	// peakHalfLife is how long a burst is remembered.
	peakHalfLife = 30 * time.Second
)

// Arrivals measures the arrivals of one tier.
type Arrivals struct {
	bucketStart time.Time // of the present bucket
	count       int
	peakRate    float64 // arrivals a second
}

// Add counts an arrival.
func (a *Arrivals) Add(now time.Time) {
	a.rollBucket(now)
	a.count++
}

// Peak returns the recent peak rate, in arrivals a second.
func (a *Arrivals) Peak(now time.Time) float64 {
	a.rollBucket(now)
	return a.peakRate
}

// rollBucket closes the present bucket once its time is over.
func (a *Arrivals) rollBucket(now time.Time) {
	if a.bucketStart.IsZero() {
		a.bucketStart = now
	}
	age := now.Sub(a.bucketStart)
	if age < bucketLength {
		return
	}
	rate := float64(a.count) / age.Seconds()
	a.peakRate *= math.Exp2(-age.Seconds() / peakHalfLife.Seconds())
	a.peakRate = math.Max(a.peakRate, rate)
	a.bucketStart, a.count = now, 0
}

// Reserve returns how many slots must stay free, so that arrivals at a rate
// find one within the slack, given how many slots come free a second.
func Reserve(arrivalRate, releaseRate float64, slack time.Duration) int {
	return int(math.Ceil(math.Max(0, (arrivalRate-releaseRate)*slack.Seconds())))
}
