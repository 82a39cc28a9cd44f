package limit

import "math"

// gradient keeps the smoothed ratio just under the target. The limit follows the
// slots in use times targetRatio over the ratio, plus a small queue that lets it
// probe upwards.
type gradient struct {
	bounds      Bounds
	limit       float64
	ratio       float64
	used        float64
	initialized bool
}

const (
	gradientSmoothing = 0.1 // weight of a new sample in the mean
	gradientStep      = 0.1 // fraction of the way to the new limit at each sample
	// minGradient and maxGradient bound the correction factor of one sample.
	minGradient, maxGradient = 0.5, 1.5
)

func newGradient(b Bounds) *gradient { return &gradient{bounds: b, limit: b.clamp(b.Start)} }

// Limit implements Algorithm.
func (g *gradient) Limit() float64 { return g.limit }

// Observe implements Algorithm.
func (g *gradient) Observe(s Sample) {
	if !g.initialized {
		g.ratio, g.used, g.initialized = s.Ratio, s.Used, true
	}
	g.ratio += gradientSmoothing * (s.Ratio - g.ratio)
	g.used += gradientSmoothing * (s.Used - g.used)
	belowTarget := g.ratio < targetRatio
	if belowTarget && !utilized(g.used, g.limit) {
		return // low use, not the limit, kept the ratio low
	}
	factor := math.Max(minGradient, math.Min(maxGradient, targetRatio/math.Max(g.ratio, 1e-6)))
	goal := g.used*factor + math.Sqrt(g.limit)
	if !belowTarget {
		goal = math.Min(g.limit, g.used*factor)
	}
	g.limit = g.bounds.clamp(g.limit + gradientStep*(goal-g.limit))
}
