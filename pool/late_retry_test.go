package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against late retries that take the slots of new requests, which are then shed
// and retried late in turn.
func TestLateRetriesWaitBehindTimelyRequests(t *testing.T) {
	const fullDeadline = 15 * time.Second
	withDeadline := func(id string, t request.Tier, deadline time.Duration) Enqueue {
		e := enqueue(id, t)
		e.DeadlineIn = deadline
		return e
	}
	// newFullPool returns a pool with one slot, which is in use. The pool has seen the
	// callers' deadlines.
	newFullPool := func(deadline func(i int) time.Duration) (*harness, Grant) {
		r := newHarness(Config{MaxWaitShare: 0.1, ExtendedWaitShare: 1}, servers(1, 1)...)
		g := r.mustGrant(withDeadline("first", 0, fullDeadline))
		for i := range 20 {
			r.now = r.now.Add(50 * time.Millisecond)
			r.endRun(g, OutcomeDone)
			g = r.mustGrant(withDeadline(fmt.Sprint("before", i), 0, deadline(i)))
		}
		return r, g
	}
	next := func(r *harness, g Grant) (request.ID, Grant) {
		g = grants(r.endRun(g, OutcomeDone))[0]
		return g.Request, g
	}
	usualDeadlineOf := func(i int) time.Duration { return fullDeadline - time.Duration(i%5)*500*time.Millisecond }

	Convey("A late retry goes after the timely requests of its tier and before lower tiers", t, func() {
		r, g := newFullPool(usualDeadlineOf)
		r.send(withDeadline("below", 1, fullDeadline))
		r.send(withDeadline("back", 0, 9*time.Second))
		r.send(withDeadline("new", 0, fullDeadline-2*time.Second))
		id, g := next(r, g)
		So(id, ShouldEqual, request.ID("new"))
		id, g = next(r, g)
		So(id, ShouldEqual, request.ID("back"))
		id, _ = next(r, g)
		So(id, ShouldEqual, request.ID("below"))
	})
	Convey("A late retry is shed at its maximum wait if timely requests take all slots", t, func() {
		r, g := newFullPool(usualDeadlineOf)
		for i := range 60 {
			r.now = r.now.Add(25 * time.Millisecond)
			r.send(withDeadline(fmt.Sprint("new", i), 0, fullDeadline))
			if i%2 == 0 {
				_, g = next(r, g)
			}
		}
		r.send(withDeadline("back", 0, 9*time.Second))
		var shed []request.ID
		for _, s := range sheds(r.advance(100 * time.Millisecond)) {
			shed = append(shed, s.Request)
		}
		So(shed, ShouldContain, request.ID("back"))
	})
	Convey("A retry before its target has passed is treated as a new request", t, func() {
		r, g := newFullPool(usualDeadlineOf)
		r.send(withDeadline("back", 0, fullDeadline-900*time.Millisecond))
		r.send(withDeadline("new", 0, fullDeadline))
		id, _ := next(r, g)
		So(id, ShouldEqual, request.ID("back"))
	})
	Convey("A short deadline that all requests have does not mark a retry", t, func() {
		r, g := newFullPool(func(int) time.Duration { return 4 * time.Second })
		r.now = r.now.Add(2 * deadlineWindow)
		for i := range deadlineMinSamples {
			r.endRun(g, OutcomeDone)
			g = r.mustGrant(withDeadline(fmt.Sprint("again", i), 0, 4*time.Second))
		}
		So(r.isLateRetry(r.newWaiter(withDeadline("x", 0, 4*time.Second))), ShouldBeFalse)
	})
	Convey("Requests of callers that switch to shorter deadlines count as new after two windows", t, func() {
		r, _ := newFullPool(usualDeadlineOf)
		short := func(i int) bool {
			return r.isLateRetry(r.newWaiter(withDeadline(fmt.Sprint("s", i), 0, 5*time.Second)))
		}
		So(short(0), ShouldBeTrue)
		for i := range 11 {
			r.advance(time.Second)
			short(i)
		}
		So(short(12), ShouldBeFalse)
	})
	Convey("Deadlines of other workspaces do not count", t, func() {
		r, _ := newFullPool(usualDeadlineOf)
		e := withDeadline("x", 0, 4*time.Second)
		e.Workspace = "other"
		So(r.isLateRetry(r.newWaiter(e)), ShouldBeFalse)
	})
	Convey("Too few deadlines do not mark a retry", t, func() {
		d := deadlines{}
		now := start
		So(d.sinceFirstAttempt(now, testKey, fullDeadline), ShouldEqual, 0)
		So(d.sinceFirstAttempt(now, testKey, time.Second), ShouldEqual, 0)
	})
}

var testKey = newHarness(Config{}).newWaiter(enqueue("x", 0)).estimateKey
