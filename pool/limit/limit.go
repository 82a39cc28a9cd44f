// Package limit holds the control laws that set how much may run on a server
// at once. A law sees only samples of our own running requests: how long
// something took, as a fraction of what it may take.
//
// A law is used by one goroutine at a time.
package limit

// Sample is one measurement on a server.
type Sample struct {
	// Ratio is the measured time over the target: above 1 the target is
	// missed.
	Ratio float64
	// Used is how much of the limit was in use.
	Used float64
}

// Algorithm is a control law for one limit.
type Algorithm interface {
	// Limit returns the present limit.
	Limit() float64
	// Observe takes a sample in.
	Observe(s Sample)
}

// Bounds are the least and the largest limit; a law starts at Start.
type Bounds struct{ Min, Max, Start float64 }

func (b Bounds) clamp(v float64) float64 { return max(b.Min, min(b.Max, v)) }

// Name names a control law.
type Name string

// The laws.
const (
	AIMD     Name = "aimd"
	Gradient Name = "gradient"
)

// Valid tells whether a law of this name exists; empty means the default.
func (n Name) Valid() bool { return n == "" || n == AIMD || n == Gradient }

// Default is the law in use where none is named; docs/design/limits.md has
// the measurement that chose it.
const Default = AIMD

// New returns a law of the name; an empty name means Default.
func New(n Name, b Bounds) Algorithm {
	if n == "" {
		n = Default
	}
	if n == Gradient {
		return newGradient(b)
	}
	return newAIMD(b)
}

// roundingMargin makes up for laws that near their bound without end.
const roundingMargin = 0.05

// Slots returns how many requests a law lets run at once: whole ones, and one at
// the least.
func Slots(a Algorithm) int { return slots(a.Limit()) }

func slots(limit float64) int { return max(1, int(limit+roundingMargin)) }

// targetRatio is the ratio that laws steer for: a little under the target.
const targetRatio = 0.85

// minUtilization is the fraction of the whole slots of a limit that must be in use before a
// good sample says anything about a higher limit.
const minUtilization = 0.75

// utilized tells whether so much use, of what a limit let run, is enough to judge the
// limit by.
//
// What goes wrong where use is compared with the limit itself: at 2.9 two requests
// may run, which is less than three quarters of it, so that no sample ever raises it.
// One would notice a service that sheds at a third of its servers' slots, for as long
// as the daemon lives, after one bad second.
func utilized(used, limit float64) bool { return used >= minUtilization*float64(slots(limit)) }
