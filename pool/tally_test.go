package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a refused tier of which nobody can say what ran instead of it.
func TestTallyCountsByTier(t *testing.T) {
	Convey("Grants, refusals and slot time are told by tier, and what is new since", t, func() {
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

		Convey("One that is granted after its target, or ends at its deadline, counts apart", func() {
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
