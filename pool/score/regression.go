// Package score measures the latency of servers. It predicts the time to first
// token by prefill, the time per token by the number of running requests, and
// decides whether a server is a straggler compared to its peers.
//
// Nothing here is safe for concurrent use.
package score

import "math"

// Regression is a linear least-squares fit with exponentially decaying weights.
// Neither its slope nor its intercept is ever negative.
type Regression struct {
	// Decay is the factor applied to the weight of all points at each new one.
	Decay                          float64
	sumW, sumX, sumY, sumXX, sumXY float64
	slope, intercept               float64
}

// Add adds a point with a weight.
func (r *Regression) Add(x, y, weight float64) {
	r.sumW = r.sumW*r.Decay + weight
	r.sumX = r.sumX*r.Decay + weight*x
	r.sumY = r.sumY*r.Decay + weight*y
	r.sumXX = r.sumXX*r.Decay + weight*x*x
	r.sumXY = r.sumXY*r.Decay + weight*x*y
	r.fit()
}

// At returns the line's value at x.
func (r *Regression) At(x float64) float64 { return r.intercept + r.slope*x }

// Slope returns the line's slope.
func (r *Regression) Slope() float64 { return r.slope }

// Weight returns the total weight of all points.
func (r *Regression) Weight() float64 { return r.sumW }

func (r *Regression) fit() {
	if r.sumW <= 0 {
		return
	}
	det := r.sumW*r.sumXX - r.sumX*r.sumX
	if det > 1e-9*r.sumW*r.sumXX {
		r.slope = (r.sumW*r.sumXY - r.sumX*r.sumY) / det
	}
	r.slope = math.Max(0, r.slope)
	r.intercept = (r.sumY - r.slope*r.sumX) / r.sumW
	if r.intercept < 0 && r.sumXX > 0 {
		r.intercept = 0
		r.slope = r.sumXY / r.sumXX
	}
}
