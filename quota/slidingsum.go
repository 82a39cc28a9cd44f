package quota

import "time"

const (
	// slotDuration is how finely recent amounts are told apart.
	slotDuration = SilenceTimeout / (slotCount - 1)
	// slotCount cover SilenceTimeout, and the slot that has just begun.
	slotCount = 11
)

// slidingSum holds the amounts of the last SilenceTimeout.
type slidingSum struct {
	amounts    [slotCount]float64
	latestSlot int64 // number of the latest slot, counted from the epoch
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotDuration) }

// add adds an amount that is of now.
func (s *slidingSum) add(now time.Time, amount float64) {
	s.advance(now)
	s.amounts[s.latestSlot%slotCount] += amount
}

// sum returns the sum over the last d, at most SilenceTimeout, or over up to a slot more.
func (s *slidingSum) sum(now time.Time, d time.Duration) float64 {
	s.advance(now)
	total := 0.0
	for slot := slotOf(now.Add(-d)); slot <= s.latestSlot; slot++ {
		total += s.amounts[slot%slotCount]
	}
	return total
}

func (s *slidingSum) advance(now time.Time) {
	slot := slotOf(now)
	for s.latestSlot = max(s.latestSlot, slot-slotCount); s.latestSlot < slot; {
		s.latestSlot++
		s.amounts[s.latestSlot%slotCount] = 0
	}
}
