// Package headroom computes how many slots lower tiers leave free for a higher
// tier, from the recent peak of its arrival rate.
//
// Nothing here is safe for concurrent use.
package headroom

import (
	"math"
	"time"
)

const (
	// bucketLength is the interval over which an arrival rate is measured.
	bucketLength = 250 * time.Millisecond
	// peakHalfLife is the time in which the remembered peak decays by half.
	peakHalfLife = 30 * time.Second
)

// Arrivals measures the arrival rate of one tier.
type Arrivals struct {
	bucketStart time.Time // start of the current bucket
	count       int
	peakRate    float64 // arrivals per second
}

// Add counts an arrival.
func (a *Arrivals) Add(now time.Time) {
	a.rollBucket(now)
	a.count++
}

// Peak returns the decaying peak rate, in arrivals per second.
func (a *Arrivals) Peak(now time.Time) float64 {
	a.rollBucket(now)
	return a.peakRate
}

// rollBucket closes the current bucket at its end and starts the next one.
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

// Reserve returns how many slots must stay free so that each arrival gets one
// within slack. arrivalRate is in arrivals per second, releaseRate in slots that
// become free per second.
func Reserve(arrivalRate, releaseRate float64, slack time.Duration) int {
	return int(math.Ceil(math.Max(0, (arrivalRate-releaseRate)*slack.Seconds())))
}
