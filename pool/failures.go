package pool

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one run's end in the share of failures:
	// three failures in a row make it a quarter.
	failureWeight = 0.1
	// failureDecay is how fast a failure is forgotten while nothing ends there,
	// so that a server that got well is tried again.
	failureDecay = 10 * time.Second
)

// failureRate is the share of a server's last runs that failed: by the server's
// own word, or because their answer was lost.
//
// What goes wrong without it: a server that fails its runs at once is free
// again first, looks like the fastest one, and draws the requests of all the
// others, while its health check passes.
type failureRate struct {
	mean      float64
	updatedAt time.Time
}

// add counts the end of a run.
func (f *failureRate) add(now time.Time, failed bool) {
	f.mean = f.at(now)
	f.updatedAt = now
	if failed {
		f.mean += failureWeight * (1 - f.mean)
	} else {
		f.mean -= failureWeight * f.mean
	}
}

// at returns the share of runs that fail, as far as they are remembered.
func (f *failureRate) at(now time.Time) float64 {
	if f.mean == 0 {
		return 0
	}
	return f.mean * math.Exp(-now.Sub(f.updatedAt).Seconds()/failureDecay.Seconds())
}
