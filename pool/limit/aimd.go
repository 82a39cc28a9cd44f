package limit

// aimd is additive increase, multiplicative decrease. It adds one to the limit for
// each limit's worth of good samples, and reduces it by a factor while the
// smoothed ratio is above 1. After a decrease it keeps the limit for one limit's
// worth of samples, since requests that ran at the old limit say nothing about the
// new one. Without smoothing, a single burst of prefill on a server, which slows
// every token for a moment, would cost it a fifth of its limit.
type aimd struct {
	bounds      Bounds
	limit       float64
	ratio       float64
	initialized bool
	cooldown    float64 // samples until the limit may change again after a decrease
}

const (
	aimdDecreaseFactor = 0.8
	aimdSmoothing      = 0.1 // weight of a new sample in the mean
)

func newAIMD(b Bounds) *aimd { return &aimd{bounds: b, limit: b.clamp(b.Start)} }

// Limit implements Algorithm.
func (a *aimd) Limit() float64 { return a.limit }

// Observe implements Algorithm.
func (a *aimd) Observe(s Sample) {
	if !a.initialized {
		a.ratio, a.initialized = s.Ratio, true
	}
	a.ratio += aimdSmoothing * (s.Ratio - a.ratio)
	if a.cooldown > 0 {
		a.cooldown--
		return
	}
	switch {
	case a.ratio > 1:
		a.limit = a.bounds.clamp(min(a.limit, s.Used+1) * aimdDecreaseFactor)
		a.cooldown = a.limit
	case a.ratio < targetRatio && utilized(s.Used, a.limit):
		a.limit = a.bounds.clamp(a.limit + 1/a.limit)
	}
}
