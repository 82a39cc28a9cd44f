package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/internal/decay"
	"github.com/lycheekeel/lycheekeel/request"
)

// paceTime is over how long the pace is taken. A burst changes it at once.
const paceTime = 500 * time.Millisecond

// pace is how fast requests of each tier have come and were granted of late.
type pace struct {
	came, granted [request.MaxTiers]decay.Rate
}

func newPace() (x pace) {
	for t := range x.came {
		x.came[t].TimeConstant, x.granted[t].TimeConstant = paceTime, paceTime
	}
	return x
}

// grants is how many grants a second the pool gives.
func (x *pace) grants(now time.Time) float64 {
	sum := 0.0
	for t := range x.granted {
		sum += x.granted[t].PerSecond(now)
	}
	return sum
}

// cameAbove is how many requests a second come for the tiers above t.
func (x *pace) cameAbove(now time.Time, t request.Tier) float64 {
	sum := 0.0
	for higher := request.Tier(0); higher < t; higher++ {
		sum += x.came[higher].PerSecond(now)
	}
	return sum
}

// slotsFor is how many slots a second come free for a tier and those below: what
// the pool grants, or could if it were full, less what comes above the tier.
//
// What goes wrong where those that will come above are left out: in a burst of all
// tiers the requests of the lower ones wait on for slots that go to the higher ones
// who keep coming, and are refused in the end, when their target is over and they
// have that much less time to come back.
func (p *Pool) slotsFor(t request.Tier) float64 {
	freed, _ := p.freedPerSecond()
	return max(p.pace.grants(p.now), freed) - p.pace.cameAbove(p.now, t)
}
