package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// Symptom: servers that crashed and are back stand idle while requests are shed.
// Sequence: all slots of a server run; it crashes without a word and starts again
// under its name; its callers' connections still hang.
// Cause: the runs of its former life counted until each was released.
func TestAServerThatStartsAgainIsFree(t *testing.T) {
	Convey("What ran on its former life counts no more", t, func() {
		p := New(Config{Name: "p", Epoch: 1})
		now := start
		set := func(incarnation string) {
			p.Handle(now, ServerSet{Servers: []ServerInfo{{Name: "s", Slots: 2, Incarnation: incarnation}}}, nil)
		}
		ask := func(id string) (out []Command) {
			return p.Handle(now, Enqueue{Request: request.ID(id), Entry: "e", Tier: 1, DeadlineIn: time.Minute, PromptTokens: 10, MaxTokens: 10}, nil)
		}
		granted := func(commands []Command) (g Grant, ok bool) {
			for _, c := range commands {
				if g, ok = c.(Grant); ok {
					return g, true
				}
			}
			return g, false
		}
		set("1")
		p.Handle(now, ServerHealth{Server: "s", Health: HealthUp}, nil)
		first, ok := granted(ask("a"))
		So(ok, ShouldBeTrue)
		_, ok = granted(ask("b"))
		So(ok, ShouldBeTrue)
		_, ok = granted(ask("c"))
		So(ok, ShouldBeFalse)
		set("1") // nothing has changed
		_, ok = granted(p.Handle(now, Tick{}, nil))
		So(ok, ShouldBeFalse)
		set("2")
		_, ok = granted(append(p.Handle(now, Tick{}, nil), ask("d")...))
		So(ok, ShouldBeTrue)

		Convey("and the late release of such a run frees nothing once more", func() {
			running := p.Summary(now).Running
			p.Handle(now, Release{Grant: first.Grant, Entry: "e", Outcome: OutcomeBroken}, nil)
			So(p.Summary(now).Running, ShouldEqual, running)
		})
	})
}
