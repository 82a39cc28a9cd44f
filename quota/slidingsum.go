package quota

import "time"

const (
	// slotDuration is the resolution of a slidingSum.
	slotDuration = SilenceTimeout / (slotCount - 1)
	// slotCount slots cover SilenceTimeout and the slot in progress.
	slotCount = 11
)

// slidingSum holds the amounts of the last SilenceTimeout, by slot.
type slidingSum struct {
	amounts    [slotCount]float64
	latestSlot int64 // number of the latest slot since the Unix epoch
}

// slotOf returns the number of the slot that contains a time.
func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotDuration) }

// add adds an amount at the time now.
func (s *slidingSum) add(now time.Time, amount float64) {
	s.advance(now)
	s.amounts[s.latestSlot%slotCount] += amount
}

// sum returns the sum over the last d, at most SilenceTimeout, rounded up to whole slots.
func (s *slidingSum) sum(now time.Time, d time.Duration) float64 {
	s.advance(now)
	total := 0.0
	for slot := slotOf(now.Add(-d)); slot <= s.latestSlot; slot++ {
		total += s.amounts[slot%slotCount]
	}
	return total
}

// advance clears the slots that have begun since the latest one.
func (s *slidingSum) advance(now time.Time) {
	slot := slotOf(now)
	for s.latestSlot = max(s.latestSlot, slot-slotCount); s.latestSlot < slot; {
		s.latestSlot++
		s.amounts[s.latestSlot%slotCount] = 0
	}
}
