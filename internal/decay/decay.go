// Package decay measures rates in which what is older counts for less.
//
// Nothing here is safe for concurrent use.
package decay

import (
	"math"
	"time"
)

// Rate is an amount per second, fading. The zero value with TimeConstant set is ready.
type Rate struct {
	// TimeConstant is how fast it fades: what is older than that counts for little.
	TimeConstant time.Duration

	amount float64
	at     time.Time
}

// Add adds an amount.
func (r *Rate) Add(now time.Time, amount float64) {
	r.fade(now)
	r.amount += amount
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.fade(now)
	return r.amount / r.TimeConstant.Seconds()
}

func (r *Rate) fade(now time.Time) {
	if !r.at.IsZero() {
		r.amount *= math.Exp(-float64(now.Sub(r.at)) / float64(r.TimeConstant))
	}
	r.at = now
}
