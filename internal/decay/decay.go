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

	amount    float64
	updatedAt time.Time
}

// Add adds an amount.
func (r *Rate) Add(now time.Time, amount float64) {
	r.decay(now)
	r.amount += amount
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.amount / r.TimeConstant.Seconds()
}

func (r *Rate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.amount *= math.Exp(-float64(now.Sub(r.updatedAt)) / float64(r.TimeConstant))
	}
	r.updatedAt = now
}
