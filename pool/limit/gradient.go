package limit

import "math"

// gradient steers the smoothed ratio to just under the target: the limit
// follows use times the ratio's distance from the target, plus a small queue
// that lets it probe upwards.
type gradient struct {
	bounds      Bounds
	limit       float64
	ratio       float64
	used        float64
	initialized bool
}

const (
	gradientSmoothing = 0.1 // weight of a new sample in the mean
	gradientStep      = 0.1 // part of the way to the new limit at each sample
	// The widest correction at once.
	minGradient, maxGradient = 0.5, 1.5
)

func newGradient(b Bounds) *gradient { return &gradient{bounds: b, limit: b.clamp(b.Start)} }

// Limit implements Law.
func (g *gradient) Limit() float64 { return g.limit }

// Observe implements Law.
func (g *gradient) Observe(s Sample) {
	if !g.initialized {
		g.ratio, g.used, g.initialized = s.Ratio, s.Used, true
	}
	g.ratio += gradientSmoothing * (s.Ratio - g.ratio)
	g.used += gradientSmoothing * (s.Used - g.used)
	belowTarget := g.ratio < targetRatio
	if belowTarget && !utilized(g.used, g.limit) {
		return // the limit was not what kept it good
	}
	gradient := math.Max(minGradient, math.Min(maxGradient, targetRatio/math.Max(g.ratio, 1e-6)))
	goal := g.used*gradient + math.Sqrt(g.limit)
	if !belowTarget {
		goal = math.Min(g.limit, g.used*gradient)
	}
	g.limit = g.bounds.clamp(g.limit + gradientStep*(goal-g.limit))
}
