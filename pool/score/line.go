// Package score measures servers and predicts from it: how long a first token
// takes after so much prefill, how long a token takes among so many running
// requests, and whether a server is a straggler beside its peers.
//
// Nothing here is safe for concurrent use.
package score

import "math"

// Line is a least-squares line through recent points; older ones fade out.
// Neither its slope nor its intercept is ever negative.
type Line struct {
	// Keep is the weight that old points keep at each new one.
	Keep             float64
	w, x, y, xx, xy  float64
	slope, intercept float64
}

// Add puts a point in with a weight.
func (l *Line) Add(x, y, weight float64) {
	l.w = l.w*l.Keep + weight
	l.x = l.x*l.Keep + weight*x
	l.y = l.y*l.Keep + weight*y
	l.xx = l.xx*l.Keep + weight*x*x
	l.xy = l.xy*l.Keep + weight*x*y
	l.fit()
}

// At returns the line's value.
func (l *Line) At(x float64) float64 { return l.intercept + l.slope*x }

// Slope returns the line's slope.
func (l *Line) Slope() float64 { return l.slope }

// Weight returns the weight of all points.
func (l *Line) Weight() float64 { return l.w }

func (l *Line) fit() {
	if l.w <= 0 {
		return
	}
	det := l.w*l.xx - l.x*l.x
	if det > 1e-9*l.w*l.xx {
		l.slope = (l.w*l.xy - l.x*l.y) / det
	}
	l.slope = math.Max(0, l.slope)
	l.intercept = (l.y - l.slope*l.x) / l.w
	if l.intercept < 0 && l.xx > 0 {
		l.intercept = 0
		l.slope = l.xy / l.xx
	}
}
