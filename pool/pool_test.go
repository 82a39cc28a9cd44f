package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

var start = time.Unix(1_000_000, 0)

func enqueue(id string, tier request.Tier) Enqueue {
	return Enqueue{
		Request: request.ID(id), Entry: "e1", Workspace: "w", Template: "t", Model: "m", Tier: tier,
		FirstTokenIn: time.Second, DeadlineIn: time.Minute, PromptTokens: 100, MaxTokens: 100,
	}
}

func grants(out []Command) []Grant {
	var gs []Grant
	for _, c := range out {
		if g, ok := c.(Grant); ok {
			gs = append(gs, g)
		}
	}
	return gs
}

func sheds(out []Command) []Shed {
	var ss []Shed
	for _, c := range out {
		if s, ok := c.(Shed); ok {
			ss = append(ss, s)
		}
	}
	return ss
}

func oneServer(p *Pool, slots int) {
	p.Handle(start, ServerSet{Servers: []ServerInfo{{Name: "s1", Slots: slots}}}, nil)
}

func TestGrantsFollowTiers(t *testing.T) {
	Convey("A freed slot goes to the most urgent waiting tier", t, func() {
		p := New(Config{Name: "p", Epoch: 1})
		oneServer(p, 1)
		first := grants(p.Handle(start, enqueue("a", 2), nil))
		So(first, ShouldHaveLength, 1)
		p.Handle(start, enqueue("b", 1), nil)
		p.Handle(start, enqueue("c", 0), nil)
		next := grants(p.Handle(start, Release{Request: "a", Entry: "e1", Grant: first[0].Grant, Server: "s1"}, nil))
		So(next, ShouldHaveLength, 1)
		So(next[0].Request, ShouldEqual, request.ID("c"))
	})
}

func TestOverflowEvictsTheLowestTier(t *testing.T) {
	Convey("A full queue only sheds a request of its lowest tier for one of a higher tier", t, func() {
		p := New(Config{Name: "p", Epoch: 1, MaxWaiting: 1})
		So(sheds(p.Handle(start, enqueue("low", 1), nil)), ShouldBeEmpty)
		So(sheds(p.Handle(start, enqueue("high", 0), nil))[0].Request, ShouldEqual, request.ID("low"))
		So(sheds(p.Handle(start, enqueue("late", 1), nil))[0].Request, ShouldEqual, request.ID("late"))
	})
}
