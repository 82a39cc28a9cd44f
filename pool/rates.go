package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// rateWindow is the time constant of the rates. It is short enough for a burst to
// change them at once.
const rateWindow = 500 * time.Millisecond

// tierRates holds the recent rates of arrivals and grants by tier.
type tierRates struct {
	arrived, granted [request.MaxTiers]decay.Rate
}

func newTierRates() (r tierRates) {
	for t := range r.arrived {
		r.arrived[t].TimeConstant, r.granted[t].TimeConstant = rateWindow, rateWindow
	}
	return r
}

// grantRate is the number of grants per second, over all tiers.
func (r *tierRates) grantRate(now time.Time) float64 {
	sum := 0.0
	for t := range r.granted {
		sum += r.granted[t].PerSecond(now)
	}
	return sum
}

// arrivalRateAbove is the number of arrivals per second in the tiers above t.
func (r *tierRates) arrivalRateAbove(now time.Time, t request.Tier) float64 {
	sum := 0.0
	for higher := request.Tier(0); higher < t; higher++ {
		sum += r.arrived[higher].PerSecond(now)
	}
	return sum
}

// slotRateFor is the number of slots per second available to a tier and those below:
// the pool's grant rate, or its rate at full load if that is higher, less the arrivals
// of higher tiers.
//
// If future arrivals of higher tiers were ignored, a burst of all tiers would make
// requests of lower tiers wait for slots that go to higher ones. They would be shed in
// the end, past their target and with less time left for a retry.
func (p *Pool) slotRateFor(t request.Tier) float64 {
	slotRate, _ := p.slotFreeRate()
	return max(p.rates.grantRate(p.now), slotRate) - p.rates.arrivalRateAbove(p.now, t)
}
