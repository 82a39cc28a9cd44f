package limit

// aimd adds one to the limit for each limit's worth of good samples, and
// multiplies it down on a bad one, at most once for the samples of one limit:
// requests that ran at the old limit say nothing about the new one.
type aimd struct {
	bounds Bounds
	limit  float64
	rest   float64 // samples to ignore after a decrease
}

const aimdDecrease = 0.8

func newAIMD(b Bounds) *aimd { return &aimd{bounds: b, limit: b.clamp(b.Start)} }

// Limit implements Law.
func (a *aimd) Limit() float64 { return a.limit }

// Observe implements Law.
func (a *aimd) Observe(s Sample) {
	if a.rest > 0 {
		a.rest--
		return
	}
	switch {
	case s.Ratio > 1:
		a.limit = a.bounds.clamp(min(a.limit, s.Used+1) * aimdDecrease)
		a.rest = a.limit
	case s.Ratio < headroom && s.Used >= busy*a.limit:
		a.limit = a.bounds.clamp(a.limit + 1/a.limit)
	}
}
