package pool

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one run in the failure rate. Three consecutive
	// failures raise the rate to about a quarter.
	failureWeight = 0.1
	// failureDecay is the time constant with which the rate decays while no run ends on
	// the server, so that a recovered server is tried again.
	failureDecay = 10 * time.Second
)

// failureRate is a moving average of a server's runs that failed or whose answer was
// lost.
//
// Without it, a server that fails its runs at once would be free again first, look like
// the fastest server and attract most requests, while its health check passes.
type failureRate struct {
	mean      float64
	updatedAt time.Time
}

// add records the end of a run.
func (f *failureRate) add(now time.Time, failed bool) {
	f.mean = f.at(now)
	f.updatedAt = now
	if failed {
		f.mean += failureWeight * (1 - f.mean)
	} else {
		f.mean -= failureWeight * f.mean
	}
}

// at returns the decayed failure rate, from 0 to 1.
func (f *failureRate) at(now time.Time) float64 {
	if f.mean == 0 {
		return 0
	}
	return f.mean * math.Exp(-now.Sub(f.updatedAt).Seconds()/failureDecay.Seconds())
}
