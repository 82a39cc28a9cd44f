package pool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// started is a set of one server of two slots in an incarnation.
func started(incarnation string) ServerSet {
	return ServerSet{Servers: []ServerInfo{{Name: "s0", Slots: 2, Incarnation: incarnation}}}
}

// Guards against a server that is back and stands idle while the runs of its former incarnation count.
func TestAServerThatStartsAgainIsFree(t *testing.T) {
	Convey("What ran on its former incarnation counts no more", t, func() {
		r := newRig(Config{}, started("1").Servers...)
		first := r.grant(ask("a", 1))
		r.grant(ask("b", 1))
		So(grants(r.send(ask("c", 1))), ShouldBeEmpty)
		So(grants(r.send(started("1"))), ShouldBeEmpty) // nothing has changed
		So(grants(r.send(started("2"))), ShouldHaveLength, 1)

		Convey("and the late release of such a run frees nothing once more", func() {
			running := r.Summary(r.now).Running
			r.end(first, OutcomeBroken)
			So(r.Summary(r.now).Running, ShouldEqual, running)
		})
	})
	Convey("That it was leaving counts no more", t, func() {
		r := newRig(Config{}, started("1").Servers...)
		g := r.grant(ask("a", 1))
		r.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeRefused, RefusedLeaving: true})
		So(grants(r.send(ask("b", 1))), ShouldBeEmpty)
		So(grants(r.send(started("2"))), ShouldHaveLength, 1)
	})
	Convey("Its failures and its cached prefixes are forgotten", t, func() {
		r := newRig(Config{}, started("1").Servers...)
		e := ask("a", 1)
		e.PromptTokens, e.Blocks = 640, []uint64{1, 2, 3}
		r.end(r.grant(e), OutcomeFailed)
		e.Request = "b"
		g := r.grant(e)
		r.send(Progress{Request: g.Request, Grant: g.Grant, Server: g.Server, Tokens: 1, FirstToken: 1})
		s := r.servers["s0"]
		So(s.failures.share(r.now), ShouldBeGreaterThan, 0)
		So(r.prefixes.Cached(s.index, e.Blocks), ShouldEqual, 3)
		r.send(started("2"))
		So(s.failures.share(r.now), ShouldEqual, 0)
		So(r.prefixes.Cached(s.index, e.Blocks), ShouldEqual, 0)
	})
}
