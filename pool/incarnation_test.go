package pool

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// incarnationSet is a set of one server with two slots in the given incarnation.
func incarnationSet(incarnation string) ServerSet {
	return ServerSet{Servers: []ServerInfo{{Name: "s0", Slots: 2, Incarnation: incarnation}}}
}

// Guards against a restarted server that stays idle while the runs of its previous
// incarnation are counted.
func TestNewIncarnationFreesServer(t *testing.T) {
	Convey("The runs of its previous incarnation are removed", t, func() {
		r := newHarness(Config{}, incarnationSet("1").Servers...)
		first := r.mustGrant(enqueue("a", 1))
		r.mustGrant(enqueue("b", 1))
		So(grants(r.send(enqueue("c", 1))), ShouldBeEmpty)
		So(grants(r.send(incarnationSet("1"))), ShouldBeEmpty) // same incarnation
		So(grants(r.send(incarnationSet("2"))), ShouldHaveLength, 1)

		Convey("the late release of such a run has no effect", func() {
			running := r.Summary(r.now).Running
			r.endRun(first, OutcomeStreamLost)
			So(r.Summary(r.now).Running, ShouldEqual, running)
		})
	})
	Convey("It is no longer treated as leaving", t, func() {
		r := newHarness(Config{}, incarnationSet("1").Servers...)
		g := r.mustGrant(enqueue("a", 1))
		r.send(Release{Request: g.Request, Entry: g.Entry, Grant: g.Grant, Server: g.Server, Outcome: OutcomeRefused, RefusedLeaving: true})
		So(grants(r.send(enqueue("b", 1))), ShouldBeEmpty)
		So(grants(r.send(incarnationSet("2"))), ShouldHaveLength, 1)
	})
	Convey("Its failure rate and its cached prefixes are reset", t, func() {
		r := newHarness(Config{}, incarnationSet("1").Servers...)
		e := enqueue("a", 1)
		e.PromptTokens, e.Blocks = 640, []uint64{1, 2, 3}
		r.endRun(r.mustGrant(e), OutcomeFailed)
		e.Request = "b"
		g := r.mustGrant(e)
		r.send(Progress{Request: g.Request, Grant: g.Grant, Server: g.Server, Tokens: 1, FirstToken: 1})
		s := r.servers["s0"]
		So(s.failureRate.at(r.now), ShouldBeGreaterThan, 0)
		So(r.prefixes.CachedPrefix(s.prefixID, e.Blocks), ShouldEqual, 3)
		r.send(incarnationSet("2"))
		So(s.failureRate.at(r.now), ShouldEqual, 0)
		So(r.prefixes.CachedPrefix(s.prefixID, e.Blocks), ShouldEqual, 0)
	})
}
