package limit

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a lowered limit that never rises again because too few requests run to raise it.
func TestLimitRecoversFromAnyStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]Name{AIMD, Gradient}).Draw(t, "algorithm")
		maxSlots := float64(rapid.IntRange(1, 64).Draw(t, "most"))
		start := rapid.Float64Range(1, maxSlots).Draw(t, "start")
		ratio := rapid.Float64Range(0.05, 0.8).Draw(t, "ratio")
		a := New(name, Bounds{Min: 1, Max: maxSlots, Start: start})
		samples := 0
		// An algorithm that adds a slot for each limit's worth of samples takes half
		// the square of the maximum; twice that is allowed.
		for bound := int(maxSlots*maxSlots) + 200; Slots(a) < int(maxSlots) && samples < bound; samples++ {
			a.Observe(Sample{Ratio: ratio, Used: float64(Slots(a))})
		}
		if Slots(a) < int(maxSlots) {
			t.Fatalf("limit is %v after %d good samples with all slots in use", a.Limit(), samples)
		}
	})
}

// Guards against a limit that counts as underused while all of its slots are in use.
func TestFullUseCountsAsUtilized(t *testing.T) {
	for limit := 1.0; limit <= 64; limit = math.Nextafter(limit+0.01, 65) {
		if !utilized(float64(slots(limit)), limit) {
			t.Fatalf("limit %v allows %d requests, which do not count as utilized", limit, slots(limit))
		}
	}
}
