package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a shed tier for which the counts do not show what ran in its place.
func TestTallyCountsByTier(t *testing.T) {
	Convey("Grants, refusals and slot time are counted by tier, with the difference to an earlier tally", t, func() {
		r := newHarness(Config{MaxWaitShare: 0.1}, servers(1, 1)...)
		g := r.mustGrant(enqueue("high", 0))
		r.send(enqueue("low", 2))
		before := r.Summary(r.now).Tally
		So(sheds(r.advance(100*time.Millisecond)), ShouldHaveLength, 1)
		r.now = r.now.Add(400 * time.Millisecond)
		r.endRun(g, OutcomeDone)
		tally := r.Summary(r.now).Tally
		So(tally[0], ShouldResemble, TierTally{Granted: 1, SlotTime: 500 * time.Millisecond})
		So(tally[2], ShouldResemble, TierTally{Shed: 1})
		So(tally.Since(before)[0], ShouldResemble, TierTally{SlotTime: 500 * time.Millisecond})

		Convey("Late grants and expired requests are counted separately", func() {
			r := newHarness(Config{}, servers(1, 1)...)
			g := r.mustGrant(enqueue("runs", 0))
			r.send(enqueue("late", 0))
			short := enqueue("short", 1)
			short.DeadlineIn = 2 * time.Second
			r.send(short)
			r.advance(3 * time.Second)
			r.endRun(g, OutcomeDone)
			tally := r.Summary(r.now).Tally
			So(tally[0].GrantedLate, ShouldEqual, 1)
			So(tally[1].Expired, ShouldEqual, 1)
		})
	})
}
