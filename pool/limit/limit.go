// Package limit holds the adaptive limit algorithms that set how much may run on a
// server at once, in requests or in memory. An algorithm sees samples of the
// scheduler's own running requests only: the time that something took as a
// fraction of its target.
//
// An Algorithm is not safe for concurrent use.
package limit

// Sample is one measurement on a server.
type Sample struct {
	// Ratio is the measured time divided by the target; above 1 the target is
	// missed.
	Ratio float64
	// Used is how much of the limit was in use, in the limit's unit.
	Used float64
}

// Algorithm controls one limit.
type Algorithm interface {
	// Limit returns the current limit, in the unit of its Bounds. It need not be
	// whole.
	Limit() float64
	// Observe adds a sample.
	Observe(s Sample)
}

// Bounds are the smallest, the largest and the initial limit, all in the unit of the
// limit: requests or units of memory.
type Bounds struct{ Min, Max, Start float64 }

func (b Bounds) clamp(v float64) float64 { return max(b.Min, min(b.Max, v)) }

// Name is the name of an algorithm.
type Name string

// The algorithms.
const (
	AIMD     Name = "aimd"
	Gradient Name = "gradient"
)

// Valid reports whether the name is that of an algorithm or empty, which means
// the default.
func (n Name) Valid() bool { return n == "" || n == AIMD || n == Gradient }

// Default is the algorithm for an empty name; docs/design/limits.md compares the
// algorithms.
const Default = AIMD

// New returns an algorithm by name; an empty name means Default.
func New(n Name, b Bounds) Algorithm {
	if n == "" {
		n = Default
	}
	if n == Gradient {
		return newGradient(b)
	}
	return newAIMD(b)
}

// roundingMargin makes up for algorithms that approach their bound
// asymptotically, in the limit's unit.
const roundingMargin = 0.05

// Slots returns the number of requests that an algorithm allows at once: the
// whole slots of its limit, and at least one.
func Slots(a Algorithm) int { return slots(a.Limit()) }

func slots(limit float64) int { return max(1, int(limit+roundingMargin)) }

// targetRatio is the Sample.Ratio that algorithms aim at, a little under the
// target.
const targetRatio = 0.85

// minUtilization is the fraction of the whole slots of a limit that must be in use
// for a good sample to raise the limit.
const minUtilization = 0.75

// utilized reports whether the slots in use are enough for a sample to say
// something about the limit.
//
// Use is compared to the whole slots and not to the limit itself: a limit of 2.9
// allows two requests, which are less than three quarters of it, so no sample
// would ever raise it. After one bad second the service would shed requests at a
// third of its servers' slots until the daemon restarts.
func utilized(used, limit float64) bool { return used >= minUtilization*float64(slots(limit)) }
