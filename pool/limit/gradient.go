package limit

import "math"

// gradient steers the smoothed ratio to just under the target: the limit
// follows use times the ratio's distance from the target, plus a small queue
// that lets it probe upwards.
type gradient struct {
	bounds Bounds
	limit  float64
	ratio  float64
	used   float64
	seen   bool
}

const (
	gradientSmooth = 0.1 // weight of a new sample in the mean
	gradientStep   = 0.1 // part of the way to the new limit at each sample
	// The widest correction at once.
	gradientLow, gradientHigh = 0.5, 1.5
)

func newGradient(b Bounds) *gradient { return &gradient{bounds: b, limit: b.clamp(b.Start)} }

// Limit implements Law.
func (g *gradient) Limit() float64 { return g.limit }

// Observe implements Law.
func (g *gradient) Observe(s Sample) {
	if !g.seen {
		g.ratio, g.used, g.seen = s.Ratio, s.Used, true
	}
	g.ratio += gradientSmooth * (s.Ratio - g.ratio)
	g.used += gradientSmooth * (s.Used - g.used)
	good := g.ratio < headroom
	if good && !inUse(g.used, g.limit) {
		return // the limit was not what kept it good
	}
	slope := math.Max(gradientLow, math.Min(gradientHigh, headroom/math.Max(g.ratio, 1e-6)))
	aim := g.used*slope + math.Sqrt(g.limit)
	if !good {
		aim = math.Min(g.limit, g.used*slope)
	}
	g.limit = g.bounds.clamp(g.limit + gradientStep*(aim-g.limit))
}
