package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// TierTally counts the results of a tier's requests since the pool's start.
type TierTally struct {
	// Granted counts requests granted while they could meet their target, GrantedLate
	// those granted when they no longer could.
	Granted, GrantedLate int
	// GrantedExtra counts the granted requests that were granted beyond a server's slots.
	GrantedExtra int
	// Diverted counts the granted requests that were not sent to the best server because their
	// prompt would have caused too long gaps in the streams there.
	Diverted int
	// PassedOver counts requests that were kept from a free slot on which their answer would
	// have ended after its deadline.
	PassedOver int
	// SameZone counts requests granted on a server in their entry's zone, OtherZone those
	// granted in another zone.
	SameZone, OtherZone int
	// Shed counts requests refused for lack of a slot, Expired those that reached their
	// deadline.
	Shed, Expired int
	// SlotTime is the total time that ended runs occupied their slots.
	SlotTime time.Duration
}

// Tally holds the counts of all tiers.
type Tally [request.MaxTiers]TierTally

// Since returns the difference to an earlier tally.
func (t Tally) Since(before Tally) (d Tally) {
	for i, now := range t {
		b := before[i]
		d[i] = TierTally{
			Granted: now.Granted - b.Granted, GrantedLate: now.GrantedLate - b.GrantedLate, GrantedExtra: now.GrantedExtra - b.GrantedExtra,
			Diverted: now.Diverted - b.Diverted, PassedOver: now.PassedOver - b.PassedOver, SameZone: now.SameZone - b.SameZone, OtherZone: now.OtherZone - b.OtherZone,
			Shed: now.Shed - b.Shed, Expired: now.Expired - b.Expired, SlotTime: now.SlotTime - b.SlotTime,
		}
	}
	return d
}

func (t *Tally) countGrant(w *waiter, o option) {
	x := &t[w.Item.Tier]
	if o.diverted {
		x.Diverted++
	}
	if w.Class >= tier.Late {
		x.GrantedLate++
		return
	}
	x.Granted++
}

func (t *Tally) countRefusal(of request.Tier, reason request.Reason) {
	switch reason {
	case request.ReasonExpired:
		t[of].Expired++
	default:
		t[of].Shed++
	}
}

func (t *Tally) countEnd(r *run, now time.Time) { t[r.tier].SlotTime += now.Sub(r.grantedAt) }
