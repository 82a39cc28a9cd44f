package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// class is a kind of request of a replayed load.
type class struct {
	tier             request.Tier
	perSecond        float64
	prompt, tokens   int
	target, deadline time.Duration
	first, whole     time.Duration // on an engine
}

// The classes of a deployment of unlike work: large drafts, summaries of one page and
// tags that take a slot for a twentieth of the time.
var (
	draft   = class{tier: 0, perSecond: 11.1, prompt: 6600, tokens: 380, target: 800 * time.Millisecond, deadline: 15 * time.Second, first: 150 * time.Millisecond, whole: 1850 * time.Millisecond}
	summary = class{tier: 1, perSecond: 13.5, prompt: 690, tokens: 290, target: time.Second, deadline: 12 * time.Second, first: 40 * time.Millisecond, whole: 1150 * time.Millisecond}
	tag     = class{tier: 2, perSecond: 17.6, prompt: 1860, tokens: 22, target: 1500 * time.Millisecond, deadline: 3 * time.Second, first: 50 * time.Millisecond, whole: 70 * time.Millisecond}
)

// times returns the class at a multiple of its rate.
func (c class) times(x float64) class {
	c.perSecond *= x
	return c
}

// replayLength is how long callers come; their deadlines end later.
const replayLength = 30 * time.Second

// replayed is what became of the callers of each tier.
type replayed struct{ callers, served [request.MaxTiers]float64 }

// of is the part of a tier's callers that was served.
func (x replayed) of(t request.Tier) float64 { return x.served[t] / max(1, x.callers[t]) }

// all is the part of all callers that was served.
func (x replayed) all() float64 {
	callers, served := 0.0, 0.0
	for t := range x.callers {
		callers += x.callers[t]
		served += x.served[t]
	}
	return served / max(1, callers)
}

// happening is something at a time of a replay.
type happening struct {
	at time.Time
	do func()
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// replay is a load that a pool of engines serves, in simulated time. A refused caller
// comes back once, after what it was told or a third of the time that it has.
type replay struct {
	r      *rig
	agenda agenda
	asked  map[request.ID]*caller
	out    replayed
}

type caller struct {
	class
	id       request.ID
	deadline time.Time
	again    bool
}

// callersComeBackIn is the largest part of its time left that a refused caller waits.
const callersComeBackIn = 3

func play(seed uint64, load ...class) replayed {
	x := &replay{
		r:     newRig(Config{Patience: 0.12, LongPatience: 1, Headroom: 0.05, RunGrace: time.Second, KeepStragglers: true, SpareFast: true}, servers(6, 8)...),
		asked: map[request.ID]*caller{},
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for _, c := range load {
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / c.perSecond * float64(time.Second))
			if at > replayLength {
				break
			}
			x.out.callers[c.tier]++
			x.at(start.Add(at), func() { x.ask(&caller{class: c, deadline: x.r.now.Add(c.deadline)}) })
		}
	}
	for at := time.Duration(0); at < 2*replayLength; at += TickInterval {
		x.at(start.Add(at), func() { x.take(x.r.send(Tick{})) })
	}
	for len(x.agenda) > 0 {
		next := heap.Pop(&x.agenda).(happening)
		x.r.now = next.at
		next.do()
	}
	return x.out
}

func (x *replay) at(at time.Time, do func()) { heap.Push(&x.agenda, happening{at, do}) }

func (x *replay) ask(c *caller) {
	c.id = request.ID(fmt.Sprint("r", len(x.asked)))
	x.asked[c.id] = c
	e := ask(string(c.id), c.tier)
	e.Template = fmt.Sprint(c.tier)
	e.FirstTokenIn, e.DeadlineIn = c.target, c.deadline.Sub(x.r.now)
	e.PromptTokens, e.MaxTokens, e.ExpectedTokens = c.prompt, 2*c.tokens, c.tokens
	x.take(x.r.send(e))
}

func (x *replay) take(out []Command) {
	for _, command := range out {
		switch command := command.(type) {
		case Grant:
			x.run(command, x.asked[command.Request])
		case Shed:
			x.refuse(command, x.asked[command.Request])
		}
	}
}

func (x *replay) run(g Grant, c *caller) {
	began := x.r.now
	x.at(began.Add(c.first), func() {
		x.take(x.r.send(Progress{Request: g.Request, Grant: g.Grant, Server: g.Server, FirstToken: c.first, Tokens: 1}))
	})
	x.at(began.Add(c.whole), func() {
		if !x.r.now.After(c.deadline) {
			x.out.served[c.tier]++
		}
		x.take(x.r.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeDone,
			FirstToken: c.first, Total: c.whole, OutputTokens: c.tokens, PromptTokens: c.prompt, PrefillComputed: c.prompt}))
	})
}

func (x *replay) refuse(s Shed, c *caller) {
	left := c.deadline.Sub(x.r.now)
	if c.again || left <= 0 {
		return
	}
	c.again = true
	x.at(x.r.now.Add(min(s.RetryAfter, left/callersComeBackIn)), func() { x.ask(c) })
}

// The bounds: each tier is served at least half as often as all, for which those above
// it lose less than one in a hundred of their callers.
const (
	leastOfAll = 0.5
	mostLost   = 0.01
)

// Guards against a tier that gets nothing while those above it have more work than slots.
func TestNoTierStarvesInALongOverload(t *testing.T) {
	loads := []struct {
		name                string
		draft, summary, tag class
	}{
		{"crowds of all", draft.times(1.5), summary.times(1.5), tag.times(1.5)},
		{"a crowd of the middle tier", draft, summary.times(3), tag},
		{"a crowd of the lowest beside the others", draft.times(1.4), summary.times(1.4), tag.times(3)},
	}
	for _, load := range loads {
		Convey("In "+load.name+" each tier is served half as often as all, and those above lose nothing", t, func() {
			for seed := range uint64(3) {
				out, without := play(seed, load.draft, load.summary, load.tag), play(seed, load.draft, load.summary)
				So(out.of(tag.tier), ShouldBeGreaterThanOrEqualTo, leastOfAll*out.all())
				So(out.of(draft.tier), ShouldBeGreaterThan, without.of(draft.tier)-mostLost)
				So(out.of(summary.tier), ShouldBeGreaterThan, without.of(summary.tier)-mostLost)
			}
		})
	}
}
