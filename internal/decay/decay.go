// Package decay measures rates with exponential decay: older amounts count for less.
//
// Nothing here is safe for concurrent use.
package decay

import (
	"math"
	"time"
)

// Rate is an exponentially decaying amount per second. The zero value with TimeConstant set
// is ready for use.
type Rate struct {
	// TimeConstant is the time after which an amount counts for 1/e of its value.
	TimeConstant time.Duration

	amount    float64
	updatedAt time.Time
}

// Add adds an amount at the time now.
func (r *Rate) Add(now time.Time, amount float64) {
	r.decay(now)
	r.amount += amount
}

// PerSecond returns the rate at the time now.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.amount / r.TimeConstant.Seconds()
}

// decay applies the decay since the previous call.
func (r *Rate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.amount *= math.Exp(-float64(now.Sub(r.updatedAt)) / float64(r.TimeConstant))
	}
	r.updatedAt = now
}
