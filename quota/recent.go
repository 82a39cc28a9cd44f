package quota

import "time"

const (
	// slotLength is how finely recent amounts are told apart.
	slotLength = SilentAfter / (slots - 1)
	// slots cover SilentAfter, and the slot that has just begun.
	slots = 11
)

// recent holds the amounts of the last SilentAfter.
type recent struct {
	amounts [slots]float64
	latest  int64 // number of the latest slot, counted from the epoch
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotLength) }

// add adds an amount that is of now.
func (r *recent) add(now time.Time, amount float64) {
	r.advance(now)
	r.amounts[r.latest%slots] += amount
}

// since returns the sum over the last d, at most SilentAfter, or over up to a slot more.
func (r *recent) since(now time.Time, d time.Duration) float64 {
	r.advance(now)
	sum := 0.0
	for slot := slotOf(now.Add(-d)); slot <= r.latest; slot++ {
		sum += r.amounts[slot%slots]
	}
	return sum
}

func (r *recent) advance(now time.Time) {
	slot := slotOf(now)
	for r.latest = max(r.latest, slot-slots); r.latest < slot; {
		r.latest++
		r.amounts[r.latest%slots] = 0
	}
}
