package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// rateWindow is over how long the pace is taken. A burst changes it at once.
const rateWindow = 500 * time.Millisecond

// tierRates is how fast requests of each tier have come and were granted of late.
type tierRates struct {
	arrived, granted [request.MaxTiers]decay.Rate
}

func newTierRates() (r tierRates) {
	for t := range r.arrived {
		r.arrived[t].TimeConstant, r.granted[t].TimeConstant = rateWindow, rateWindow
	}
	return r
}

// grantRate is how many grants a second the pool gives.
func (r *tierRates) grantRate(now time.Time) float64 {
	sum := 0.0
	for t := range r.granted {
		sum += r.granted[t].PerSecond(now)
	}
	return sum
}

// arrivalRateAbove is how many requests a second come for the tiers above t.
func (r *tierRates) arrivalRateAbove(now time.Time, t request.Tier) float64 {
	sum := 0.0
	for higher := request.Tier(0); higher < t; higher++ {
		sum += r.arrived[higher].PerSecond(now)
	}
	return sum
}

// slotRateFor is how many slots a second come free for a tier and those below: what
// the pool grants, or could if it were full, less what comes above the tier.
//
// What goes wrong where those that will come above are left out: in a burst of all
// tiers the requests of the lower ones wait on for slots that go to the higher ones
// who keep coming, and are refused in the end, when their target is over and they
// have that much less time to come back.
func (p *Pool) slotRateFor(t request.Tier) float64 {
	slotRate, _ := p.slotFreeRate()
	return max(p.rates.grantRate(p.now), slotRate) - p.rates.arrivalRateAbove(p.now, t)
}
