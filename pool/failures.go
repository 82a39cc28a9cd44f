package pool

import (
	"math"
	"time"
)

const (
	// failureStep is the weight of one run's end in the share of failures:
	// three failures in a row make it a quarter.
	failureStep = 0.1
	// failureTime is how fast a failure is forgotten while nothing ends there,
	// so that a server that got well is tried again.
	failureTime = 10 * time.Second
)

// failures is the share of a server's last runs that failed: by the server's
// own word, or because their answer was lost.
//
// What goes wrong without it: a server that fails its runs at once is free
// again first, looks like the fastest one, and draws the requests of all the
// others, while its health check passes.
type failures struct {
	mean float64
	at   time.Time
}

// add counts the end of a run.
func (f *failures) add(now time.Time, failed bool) {
	f.mean = f.share(now)
	f.at = now
	if failed {
		f.mean += failureStep * (1 - f.mean)
	} else {
		f.mean -= failureStep * f.mean
	}
}

// share returns the share of runs that fail, as far as they are remembered.
func (f *failures) share(now time.Time) float64 {
	if f.mean == 0 {
		return 0
	}
	return f.mean * math.Exp(-now.Sub(f.at).Seconds()/failureTime.Seconds())
}
