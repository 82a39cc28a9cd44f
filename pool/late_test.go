package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// closedLoop is callers that each send their next request when the last one has ended,
// in four tiers in turn, to a pool whose requests wait up to their deadlines.
type closedLoop struct {
	*simulation
	takes   time.Duration // a request
	sent    int
	expired int
	of      map[request.ID]int // the caller of each request
	turns   []int              // the requests of each caller
}

const (
	loopTiers  = 4
	loopLength = 2 * time.Minute
)

// playLoop returns how many requests expired.
func playLoop(callers int, run time.Duration) (expired int) {
	x := &closedLoop{simulation: &simulation{r: newRig(Config{}, servers(2, 3)...)}, takes: run, of: map[request.ID]int{}, turns: make([]int, callers)}
	for i := range callers {
		x.at(start.Add(time.Duration(i)*10*time.Millisecond), func() { x.ask(i) })
	}
	x.tick(loopLength+time.Minute, x.take)
	x.run()
	return x.expired
}

func (x *closedLoop) ask(i int) {
	if x.r.now.After(start.Add(loopLength)) {
		return
	}
	x.sent++
	e := ask(fmt.Sprint("r", x.sent), request.Tier(x.turns[i]%loopTiers))
	x.turns[i]++
	e.FirstTokenIn, e.DeadlineIn, e.PromptTokens, e.MaxTokens = 1200*time.Millisecond, 30*time.Second, 30, 4096
	x.of[e.Request] = i
	x.take(x.r.send(e))
}

func (x *closedLoop) take(out []Command) {
	for _, command := range out {
		switch c := command.(type) {
		case Grant:
			x.grant(c)
		case Shed:
			x.expired++
			x.at(x.r.now, func() { x.ask(x.of[c.Request]) })
		}
	}
}

func (x *closedLoop) grant(g Grant) {
	const first = 30 * time.Millisecond
	x.at(x.r.now.Add(first), func() {
		x.take(x.r.send(Progress{Request: g.Request, Grant: g.Grant, FirstToken: first, Tokens: 1}))
	})
	x.at(x.r.now.Add(x.takes+time.Duration(x.sent%7)*10*time.Millisecond), func() {
		x.take(x.r.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeDone,
			FirstToken: first, Total: x.takes, OutputTokens: 22, PromptTokens: 30, PrefillComputed: 30}))
		x.ask(x.of[g.Request])
	})
}

// Guards against late requests that expire while live ones of their tier go first for ever.
func TestLateRequestsDoNotExpireBehindLiveOnes(t *testing.T) {
	for _, callers := range []int{7, 8, 9, 10} {
		for _, run := range []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
			Convey(fmt.Sprintf("None of %d callers for six slots expires, at %v a request", callers, run), t, func() {
				So(playLoop(callers, run), ShouldEqual, 0)
			})
		}
	}
}

// Guards against late requests that take the slots of live ones where patience ends waits.
func TestLateRequestsHaveNoTurnWherePatienceEndsWaits(t *testing.T) {
	for patience, first := range map[float64]request.ID{0: "late", 0.9: "live9"} {
		Convey(fmt.Sprintf("With a patience of %v %s goes first after eight that passed", patience, first), t, func() {
			r := newRig(Config{Patience: patience}, servers(1, 1)...)
			g := r.grant(ask("runs", 0))
			late := ask("late", 0)
			late.FirstTokenIn = time.Millisecond
			late.DeadlineIn = time.Hour
			if patience > 0 {
				late.SentTo = []string{"gone"} // it waits up to its deadline all the same
			}
			r.send(late)
			r.now = r.now.Add(10 * time.Millisecond)
			for i := 1; i <= latePassed+1; i++ {
				live := ask(fmt.Sprint("live", i), 0)
				live.FirstTokenIn, live.DeadlineIn = time.Minute, time.Hour
				r.send(live)
			}
			for i := 1; i <= latePassed; i++ {
				g = grants(r.end(g, OutcomeDone))[0]
				So(g.Request, ShouldEqual, request.ID(fmt.Sprint("live", i)))
			}
			So(grants(r.end(g, OutcomeDone))[0].Request, ShouldEqual, first)
		})
	}
}
