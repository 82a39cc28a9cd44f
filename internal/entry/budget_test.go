package entry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/request"
)

// Symptom: an urgent request is refused for want of memory while background
// work keeps its place.
// Sequence: long prompts of all tiers fill the entry's memory.
// Cause: memory is given first come, first served.
func TestBodyBudgetEvictsTheLowestTierFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		b := newBodyBudget(limit)
		type held struct {
			res     *reservation
			evicted bool
			pinned  bool
		}
		var all []*held
		waiting := func(below request.Tier) (bytes int64) {
			for _, h := range all {
				if !h.evicted && !h.pinned && h.res.tier > below {
					bytes += h.res.bytes
				}
			}
			return bytes
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if len(all) > 0 {
					h := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
					if !h.evicted {
						h.pinned = h.res.pin() || h.pinned
					}
				}
			case 1:
				if len(all) > 0 {
					h := all[rapid.IntRange(0, len(all)-1).Draw(t, "released")]
					h.res.release()
					h.evicted = true
				}
			default:
				h := &held{}
				tier := request.Tier(rapid.IntRange(0, 3).Draw(t, "tier"))
				h.res = b.join(tier, func() { h.evicted = true })
				bytes := int64(rapid.IntRange(1, 60).Draw(t, "bytes"))
				lower, free := waiting(tier), limit-b.Used()
				counts := [4]int{}
				for _, o := range all {
					if !o.evicted && !o.pinned {
						counts[o.res.tier]++
					}
				}
				ok := h.res.resize(bytes)
				if ok != (bytes <= free+lower) {
					t.Fatalf("tier %d, %d bytes: granted %v with %d free and %d in lower tiers", tier, bytes, ok, free, lower)
				}
				if !ok {
					h.res.release()
					h.evicted = true
				}
				all = append(all, h)
				for _, o := range all { // whoever still waits is not under anyone evicted now
					if !o.evicted && !o.pinned {
						counts[o.res.tier]--
					}
				}
				for up := range counts {
					for low := up + 1; low < len(counts); low++ {
						stays := false
						for _, o := range all {
							stays = stays || (!o.evicted && !o.pinned && int(o.res.tier) == low)
						}
						if up != int(tier) && counts[up] > 0 && stays {
							t.Fatalf("tier %d was evicted while tier %d still waits", up, low)
						}
					}
				}
			}
			if used := b.Used(); used > limit || used < 0 {
				t.Fatalf("%d bytes used of %d", used, limit)
			}
		}
	})
}
