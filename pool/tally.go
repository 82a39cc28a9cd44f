package pool

import (
	"time"

	"github.com/lycheekeel/lycheekeel/pool/tier"
	"github.com/lycheekeel/lycheekeel/request"
)

// TierTally counts what became of a tier's requests, since the pool's start.
type TierTally struct {
	// Granted were granted while they could meet their target, GrantedLate when they
	// could not.
	Granted, GrantedLate int
	// Shed were given up for want of a slot, Expired ended at their deadline.
	Shed, Expired int
	// SlotTime is how long the runs that have ended held their slots.
	SlotTime time.Duration
}

// Tally is what became of the requests of each tier.
type Tally [request.MaxTiers]TierTally

// Since returns what has come on top of an earlier tally.
func (t Tally) Since(before Tally) (d Tally) {
	for i, now := range t {
		b := before[i]
		d[i] = TierTally{
			Granted: now.Granted - b.Granted, GrantedLate: now.GrantedLate - b.GrantedLate,
			Shed: now.Shed - b.Shed, Expired: now.Expired - b.Expired, SlotTime: now.SlotTime - b.SlotTime,
		}
	}
	return d
}

func (t *Tally) countGrant(w *waiter) {
	x := &t[w.Item.Tier]
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
