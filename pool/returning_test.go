package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Guards against returning requests that take the slots of new ones, which come back late in their turn.
func TestWhoComesBackLateWaitsBehindThoseInTime(t *testing.T) {
	const whole = 15 * time.Second
	left := func(id string, t request.Tier, deadline time.Duration) Enqueue {
		e := ask(id, t)
		e.DeadlineIn = deadline
		return e
	}
	// full returns a pool of one slot, which runs; it has seen the callers' deadlines.
	full := func(deadline func(i int) time.Duration) (*rig, Grant) {
		r := newRig(Config{Patience: 0.1, LongPatience: 1}, servers(1, 1)...)
		g := r.grant(left("first", 0, whole))
		for i := range 20 {
			r.now = r.now.Add(50 * time.Millisecond)
			r.end(g, OutcomeDone)
			g = r.grant(left(fmt.Sprint("before", i), 0, deadline(i)))
		}
		return r, g
	}
	next := func(r *rig, g Grant) (request.ID, Grant) {
		g = grants(r.end(g, OutcomeDone))[0]
		return g.Request, g
	}
	usual := func(i int) time.Duration { return whole - time.Duration(i%5)*500*time.Millisecond }

	Convey("It goes after those of its tier that can be in time, and before the tiers below", t, func() {
		r, g := full(usual)
		r.send(left("below", 1, whole))
		r.send(left("back", 0, 9*time.Second))
		r.send(left("new", 0, whole-2*time.Second))
		id, g := next(r, g)
		So(id, ShouldEqual, request.ID("new"))
		id, g = next(r, g)
		So(id, ShouldEqual, request.ID("back"))
		id, _ = next(r, g)
		So(id, ShouldEqual, request.ID("below"))
	})
	Convey("It hears at once that there is no room, where those in time take all", t, func() {
		r, g := full(usual)
		for i := range 60 {
			r.now = r.now.Add(25 * time.Millisecond)
			r.send(left(fmt.Sprint("new", i), 0, whole))
			if i%2 == 0 {
				_, g = next(r, g)
			}
		}
		r.send(left("back", 0, 9*time.Second))
		var shed []request.ID
		for _, s := range sheds(r.pass(100 * time.Millisecond)) {
			shed = append(shed, s.Request)
		}
		So(shed, ShouldContain, request.ID("back"))
	})
	Convey("One that comes back before its target has passed is like a new one", t, func() {
		r, g := full(usual)
		r.send(left("back", 0, whole-900*time.Millisecond))
		r.send(left("new", 0, whole))
		id, _ := next(r, g)
		So(id, ShouldEqual, request.ID("back"))
	})
	Convey("A deadline that all have is no sign, however short it is", t, func() {
		r, g := full(func(int) time.Duration { return 4 * time.Second })
		r.now = r.now.Add(2 * deadlineWindow)
		for i := range deadlineLeast {
			r.end(g, OutcomeDone)
			g = r.grant(left(fmt.Sprint("again", i), 0, 4*time.Second))
		}
		So(r.returnsLate(r.newWaiter(left("x", 0, 4*time.Second))), ShouldBeFalse)
	})
	Convey("Callers that begin to give shorter deadlines are new ones again after two windows", t, func() {
		r, _ := full(usual)
		short := func(i int) bool { return r.returnsLate(r.newWaiter(left(fmt.Sprint("s", i), 0, 5*time.Second))) }
		So(short(0), ShouldBeTrue)
		for i := range 11 {
			r.pass(time.Second)
			short(i)
		}
		So(short(12), ShouldBeFalse)
	})
	Convey("Another workspace's deadlines say nothing", t, func() {
		r, _ := full(usual)
		e := left("x", 0, 4*time.Second)
		e.Workspace = "other"
		So(r.returnsLate(r.newWaiter(e)), ShouldBeFalse)
	})
	Convey("Too few say nothing", t, func() {
		d := deadlines{}
		now := start
		So(d.elapsed(now, r0, whole), ShouldEqual, 0)
		So(d.elapsed(now, r0, time.Second), ShouldEqual, 0)
	})
}

var r0 = newRig(Config{}).newWaiter(ask("x", 0)).mix
