package pool

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against: a server that asked an entry to send nothing for a while is granted to it
// after the pool's own pause.
func TestPushbackIsKept(t *testing.T) {
	Convey("Given a server that has refused a request of an entry and pushed it back for 3 s", t, func() {
		infos := servers(1, 8)
		infos[0].Incarnation = "1"
		h := newReachHarness(Config{}, infos...)
		g := h.grantTo("e0")
		h.advance(time.Millisecond)
		out := h.send(Pushback{Entry: "e0", Server: "s0", Incarnation: "1", For: 3 * time.Second})
		So(out, ShouldContain, ServerPaused{Server: "s0", Entry: "e0", For: 3 * time.Second, Refused: true, EntryOnly: true})
		h.end(g, Release{Outcome: OutcomeRefused})

		Convey("that entry gets no grant of it for 3 s, another does after the pool's pause", func() {
			So(grants(h.enqueueFrom("e0", 0)), ShouldBeEmpty)
			So(grants(h.advance(unreachableBackoffMin+time.Millisecond)), ShouldBeEmpty)
			h.grantTo("e1")
			So(grants(h.advance(2*time.Second)), ShouldBeEmpty)
			So(grants(h.advance(time.Second)), ShouldHaveLength, 1)
		})
		Convey("an answer to an earlier run changes nothing, nor does a shorter pushback", func() {
			h.advance(unreachableBackoffMin + time.Millisecond)
			h.end(h.grantTo("e1"), Release{Outcome: OutcomeDone})
			h.send(Pushback{Entry: "e0", Server: "s0", Incarnation: "1", For: time.Second})
			h.advance(2 * time.Second)
			So(grants(h.enqueueFrom("e0", 0)), ShouldBeEmpty)
		})
		Convey("its next incarnation may be sent requests", func() {
			infos[0].Incarnation = "2"
			h.send(ServerSet{Servers: infos})
			h.grantTo("e0")
			h.send(Pushback{Entry: "e0", Server: "s0", Incarnation: "1", For: 3 * time.Second})
			h.grantTo("e0")
		})
	})
	Convey("Requests of a pushed-back entry go to other servers, and keep none from theirs", t, func() {
		h := newReachHarness(Config{}, servers(2, 4)...)
		h.send(Pushback{Entry: "e0", Server: "s1", For: 3 * time.Second})
		for range 4 {
			So(h.grantTo("e0").Server, ShouldEqual, "s0")
		}
		for range maxCandidates + 1 {
			So(grants(h.enqueueFrom("e0", 0)), ShouldBeEmpty)
		}
		So(h.grantTo("e1").Server, ShouldEqual, "s1")
	})
	Convey("Requests that crash servers are granted on no server that has pushed their entry back", t, func() {
		h := newReachHarness(Config{}, servers(2, 4)...)
		h.send(SuspectShared{Fingerprint: 7, State: Suspected, ExpiresIn: time.Minute})
		h.send(Pushback{Entry: "e0", Server: "s0", For: 3 * time.Second})
		h.send(Pushback{Entry: "e0", Server: "s1", For: 3 * time.Second})
		e := enqueue("suspect", 0)
		e.Entry, e.Fingerprint = "e0", 7
		So(grants(h.send(e)), ShouldBeEmpty)
		So(slices.Concat(grants(h.advance(3*time.Second+time.Millisecond)), grants(h.advance(time.Millisecond))), ShouldHaveLength, 1)
	})
}
