package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against: a server that refuses all it gets in one moment is paused as if it had refused
// as many requests in a row, for longer than it needs.
func TestRefusalsThatWereUnderWayTogetherPauseOnce(t *testing.T) {
	for name, end := range map[string]Release{
		"refused":        {Outcome: OutcomeRefused},
		"not connected":  {Outcome: OutcomeNotSent},
		"reached nobody": {Outcome: OutcomeNotSent, Reach: UnreachableByPeer},
	} {
		Convey(fmt.Sprint("Given eight requests under way, all of them ", name), t, func() {
			h := newReachHarness(Config{}, servers(1, 8)...)
			var under []Grant
			for range 8 {
				under = append(under, h.grantTo("e0"))
			}
			h.advance(time.Millisecond)
			for _, g := range under {
				h.end(g, end)
			}
			So(grants(h.enqueueFrom("e0", 0)), ShouldBeEmpty)

			Convey("the server is tried again after one pause", func() {
				again := grants(h.advance(unreachableBackoffMin + time.Millisecond))
				So(again, ShouldHaveLength, 1)

				Convey("and what fails then makes the next one longer", func() {
					h.end(again[0], end)
					So(grants(h.enqueueFrom("e0", 0)), ShouldBeEmpty)
					So(grants(h.advance(unreachableBackoffMin+time.Millisecond)), ShouldBeEmpty)
					So(grants(h.advance(unreachableBackoffMin+time.Millisecond)), ShouldHaveLength, 1)
				})
			})
		})
	}
}
