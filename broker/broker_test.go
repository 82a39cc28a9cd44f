package broker

import (
	"context"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestAcquire(t *testing.T) {
	Convey("Given two daemons and a pool of two servers with one slot each", t, func() {
		sim := newSimulation(1, "a", "b")
		sim.advance(time.Second)
		owner, other := sim.owner(), sim.nonOwner()

		Convey("both get slots, and the third waits until one is free", func() {
			r1, ok1 := poll(owner.acquire(1, time.Minute))
			r2, ok2 := poll(other.acquire(1, time.Minute))
			third := other.acquire(1, time.Minute)
			So(ok1 && ok2, ShouldBeTrue)
			So(r1.grant.Server().Name, ShouldNotEqual, r2.grant.Server().Name)
			_, ok3 := poll(third)
			So(ok3, ShouldBeFalse)
			r1.grant.Release(Completion{Outcome: pool.OutcomeDone})
			sim.pump()
			r3, ok3 := poll(third)
			So(ok3, ShouldBeTrue)
			So(r3.grant.Server().Name, ShouldEqual, r1.grant.Server().Name)
		})
		Convey("a caller that leaves frees its place, even if its grant is in flight", func() {
			waiting := other.acquire(1, time.Minute)
			waiting.withdraw()
			sim.pump()
			So(sim.freeSlots(), ShouldEqual, 2)
		})
		Convey("the first token is reported at once, later progress with the next batch", func() {
			r, _ := poll(other.acquire(1, time.Minute))
			r.grant.Progress(time.Second, 1, 0)
			r.grant.Progress(time.Second, 11, 20*time.Millisecond)
			r.grant.Progress(time.Second, 21, 40*time.Millisecond)
			sim.pump()
			So(sim.progressReports(), ShouldResemble, []pool.Progress{
				{Request: r.grant.spec.ID, Grant: r.grant.id, Server: r.grant.server.Name, FirstToken: time.Second, Tokens: 1},
			})
			sim.advance(time.Second)
			So(len(sim.progressReports()), ShouldEqual, 2)
			So(sim.progressReports()[1].Tokens, ShouldEqual, 21)
			So(sim.progressReports()[1].PerToken, ShouldEqual, 30*time.Millisecond) // the mean of both reports
		})
		Convey("a request whose deadline passes is refused as not run", func() {
			poll(owner.acquire(1, time.Minute))
			poll(owner.acquire(1, time.Minute))
			waiting := other.acquire(1, 100*time.Millisecond)
			sim.advance(200 * time.Millisecond)
			r, ok := poll(waiting)
			So(ok, ShouldBeTrue)
			var refusal *request.Refusal
			So(errors.As(r.err, &refusal), ShouldBeTrue)
			So(refusal.Reason, ShouldEqual, request.ReasonExpired)
			So(refusal.NotRun, ShouldEqual, request.NotRunTrue)
			So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
		})
		Convey("Acquire returns its context's error", func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			poll(owner.acquire(1, time.Minute))
			poll(owner.acquire(1, time.Minute))
			_, err := owner.entry.Acquire(ctx, Demand{
				Spec:       &request.Spec{ID: "gone", Received: sim.now},
				Candidates: owner.acquire(1, time.Minute).demand.Candidates,
			})
			So(err, ShouldEqual, context.Canceled)
		})
	})
}

// freeSlots returns the owner's free slots, after the time for a new summary.
func (sim *simulation) freeSlots() int {
	sim.advance(time.Second)
	return sim.owner().host.Summaries()[0].Free
}

// progressReports returns the progress reports that the owner has received.
func (sim *simulation) progressReports() (out []pool.Progress) {
	for _, ev := range sim.events {
		if p, ok := ev.(pool.Progress); ok {
			out = append(out, p)
		}
	}
	return out
}
