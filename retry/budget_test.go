package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const testWindow = 10 * time.Second

var testStart = time.Unix(1_000_000, 0)

// seasonedBudget returns a budget that is older than a window.
func seasonedBudget(ratio, slack float64) *Budget {
	return NewBudget(Bound{Ratio: ratio, Window: testWindow, Slack: slack}, testStart.Add(-testWindow))
}

// sendAll sends retries at a time until none is left and returns their number.
func sendAll(b *Budget, at time.Time) int {
	n := 0
	for b.Reserve(at) {
		if !b.Send(at) {
			return n
		}
		n++
	}
	return n
}

func TestBudget(t *testing.T) {
	const slice = testWindow / slicesPerWindow
	Convey("Requests earn retries beside the slack", t, func() {
		b := seasonedBudget(0.6, 2)
		So(sendAll(b, testStart), ShouldEqual, 2)
		now := testStart.Add(slice)
		b.RecordRequest(now)
		now = now.Add(slice)
		So(sendAll(b, now), ShouldEqual, 0)
		b.RecordRequest(now)
		now = now.Add(slice)
		So(sendAll(b, now), ShouldEqual, 1)
		Convey("The slack is there again after a window", func() {
			So(sendAll(b, now.Add(testWindow/2)), ShouldEqual, 0)
			So(sendAll(b, now.Add(2*testWindow)), ShouldEqual, 2)
		})
		Convey("A smaller slack holds from then on", func() {
			b.SetSlack(1)
			So(sendAll(b, now.Add(2*testWindow)), ShouldEqual, 1)
		})
	})
	Convey("Requests of the window before allow some retries at once", t, func() {
		b := seasonedBudget(0.6, 0)
		for range 105 {
			b.RecordRequest(testStart)
		}
		So(sendAll(b, testStart.Add(testWindow/2)), ShouldEqual, 10)
	})
	Convey("Reserved retries are not left for others until they are released", t, func() {
		b := seasonedBudget(0, 2)
		So(b.Reserve(testStart), ShouldBeTrue)
		So(b.Reserve(testStart), ShouldBeTrue)
		So(b.Reserve(testStart), ShouldBeFalse)
		b.Release()
		So(b.Reserve(testStart), ShouldBeTrue)
		So(b.Left(testStart), ShouldEqual, 2)
	})
	Convey("A retry that was reserved is not sent once the requests that earned it are over", t, func() {
		b := seasonedBudget(0.6, 0)
		for range 15 {
			b.RecordRequest(testStart)
		}
		So(b.Reserve(testStart.Add(testWindow/2)), ShouldBeTrue)
		So(b.Send(testStart.Add(3*testWindow)), ShouldBeFalse)
	})
	Convey("A budget younger than a window has little slack: an earlier process may have used it", t, func() {
		b := NewBudget(Bound{Window: testWindow, Slack: 5}, testStart)
		So(sendAll(b, testStart), ShouldEqual, newcomerSlack)
		So(sendAll(b, testStart.Add(2*testWindow)), ShouldEqual, 5)
	})
	Convey("A time before the latest one counts as the latest one", t, func() {
		b := seasonedBudget(0, 1)
		So(sendAll(b, testStart), ShouldEqual, 1)
		So(sendAll(b, testStart.Add(-5*testWindow)), ShouldEqual, 0)
	})
}

// history is what several daemons' budgets have let through.
type history struct{ requests, retries []time.Time }

// countIn counts the times in the window from start.
func countIn(times []time.Time, start time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(start) && t.Before(start.Add(testWindow)) {
			n++
		}
	}
	return n
}

// exceeded returns the start of a window with more retries than all daemons together may
// send: for the requests of that window or of the one before, whichever are more.
func (h *history) exceeded(ratio, slack float64) (start time.Time, ok bool) {
	for _, end := range h.retries {
		for _, start := range []time.Time{end, end.Add(time.Nanosecond - testWindow)} {
			most := max(countIn(h.requests, start), countIn(h.requests, start.Add(-testWindow)))
			allowed := ratio*float64(most) + slack
			if float64(countIn(h.retries, start)) > allowed+1e-9 {
				return start, true
			}
		}
	}
	return time.Time{}, false
}

// Guards against retries that exceed the bound together because they were allowed at other times than they are sent.
func TestRetriesOfAllDaemonsAreBoundedInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		slack := rapid.Float64Range(0, 6).Draw(t, "slack")
		daemons := rapid.IntRange(1, 3).Draw(t, "daemons")
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = seasonedBudget(ratio, slack)
		}
		reserved := make([]int, daemons)
		var h history
		now := testStart
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			d := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			b := budgets[d]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				for range rapid.IntRange(1, 8).Draw(t, "requests") {
					b.RecordRequest(now)
					h.requests = append(h.requests, now)
				}
			case 2:
				for b.Reserve(now) {
					reserved[d]++
				}
			case 3:
				for ; reserved[d] > 0; reserved[d]-- {
					if b.Send(now) {
						h.retries = append(h.retries, now)
					}
				}
			default:
				for ; reserved[d] > 0; reserved[d]-- {
					b.Release()
				}
			}
		}
		if start, ok := h.exceeded(ratio, slack*float64(daemons)); ok {
			t.Fatalf("too many retries in the window from %v", start.Sub(testStart))
		}
	})
}

// Guards against retries that wait for a slot and are refused although requests go on as before.
func TestReservedRetriesAreSentWhileRequestsGoOn(t *testing.T) {
	Convey("All that were reserved among steady requests are sent a window later, but for one by rounding", t, func() {
		b := seasonedBudget(0.2, 3)
		reserved, now := 0, testStart
		request := func() {
			b.RecordRequest(now)
			now = now.Add(testWindow / 100)
		}
		for range 200 {
			request()
		}
		for b.Reserve(now) {
			reserved++
		}
		So(reserved, ShouldBeGreaterThan, 3)
		for range 100 {
			request()
		}
		for range reserved - 1 {
			So(b.Send(now), ShouldBeTrue)
		}
	})
}
