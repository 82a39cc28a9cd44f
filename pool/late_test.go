package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// closedLoop simulates callers that each send their next request when the last one has
// ended. Their requests cycle through four tiers and may wait until their deadlines.
type closedLoop struct {
	*simulation
	runTime  time.Duration // time from grant to release
	sent     int
	expired  int
	callerOf map[request.ID]int // caller of each request
	sentBy   []int              // number of requests sent by each caller
}

const (
	loopTiers  = 4
	loopLength = 2 * time.Minute
)

// runClosedLoop returns the number of requests that expired.
func runClosedLoop(callers int, runTime time.Duration) (expired int) {
	x := &closedLoop{simulation: &simulation{pool: newHarness(Config{}, servers(2, 3)...)}, runTime: runTime, callerOf: map[request.ID]int{}, sentBy: make([]int, callers)}
	for i := range callers {
		x.at(start.Add(time.Duration(i)*10*time.Millisecond), func() { x.sendNext(i) })
	}
	x.tick(loopLength+time.Minute, x.handle)
	x.run()
	return x.expired
}

func (x *closedLoop) sendNext(i int) {
	if x.pool.now.After(start.Add(loopLength)) {
		return
	}
	x.sent++
	e := enqueue(fmt.Sprint("r", x.sent), request.Tier(x.sentBy[i]%loopTiers))
	x.sentBy[i]++
	e.FirstTokenIn, e.DeadlineIn, e.PromptTokens, e.MaxTokens = 1200*time.Millisecond, 30*time.Second, 30, 4096
	x.callerOf[e.Request] = i
	x.handle(x.pool.send(e))
}

func (x *closedLoop) handle(out []Command) {
	for _, command := range out {
		switch c := command.(type) {
		case Grant:
			x.grant(c)
		case Shed:
			x.expired++
			x.at(x.pool.now, func() { x.sendNext(x.callerOf[c.Request]) })
		}
	}
}

func (x *closedLoop) grant(g Grant) {
	const first = 30 * time.Millisecond
	x.at(x.pool.now.Add(first), func() {
		x.handle(x.pool.send(Progress{Request: g.Request, Grant: g.Grant, FirstToken: first, Tokens: 1}))
	})
	x.at(x.pool.now.Add(x.runTime+time.Duration(x.sent%7)*10*time.Millisecond), func() {
		x.handle(x.pool.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeDone,
			FirstToken: first, Total: x.runTime, OutputTokens: 22, PromptTokens: 30, PrefillComputed: 30}))
		x.sendNext(x.callerOf[g.Request])
	})
}

// Guards against late requests that expire because on-time requests of their tier always go
// first.
func TestLateRequestsDoNotExpireBehindOnTimeOnes(t *testing.T) {
	for _, callers := range []int{7, 8, 9, 10} {
		for _, runTime := range []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
			Convey(fmt.Sprintf("No request of %d callers for six slots expires if each takes %v", callers, runTime), t, func() {
				So(runClosedLoop(callers, runTime), ShouldEqual, 0)
			})
		}
	}
}

// Guards against late requests that take the slots of on-time ones in a pool with a maximum
// wait.
func TestLateRequestsHaveNoTurnWithMaxWait(t *testing.T) {
	for maxWaitShare, first := range map[float64]request.ID{0: "late", 0.9: "ontime9"} {
		Convey(fmt.Sprintf("With a max wait share of %v, %s is next after eight on-time requests", maxWaitShare, first), t, func() {
			r := newHarness(Config{MaxWaitShare: maxWaitShare}, servers(1, 1)...)
			g := r.mustGrant(enqueue("runs", 0))
			late := enqueue("late", 0)
			late.FirstTokenIn = time.Millisecond
			late.DeadlineIn = time.Hour
			if maxWaitShare > 0 {
				late.SentTo = []string{"gone"} // so that it may wait until its deadline
			}
			r.send(late)
			r.now = r.now.Add(10 * time.Millisecond)
			for i := 1; i <= maxGrantsBeforeLate+1; i++ {
				onTime := enqueue(fmt.Sprint("ontime", i), 0)
				onTime.FirstTokenIn, onTime.DeadlineIn = time.Minute, time.Hour
				r.send(onTime)
			}
			for i := 1; i <= maxGrantsBeforeLate; i++ {
				g = grants(r.endRun(g, OutcomeDone))[0]
				So(g.Request, ShouldEqual, request.ID(fmt.Sprint("ontime", i)))
			}
			So(grants(r.endRun(g, OutcomeDone))[0].Request, ShouldEqual, first)
		})
	}
}
