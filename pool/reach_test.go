package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// reachHarness drives a pool whose requests come from three entries.
type reachHarness struct {
	*harness
	requests int
}

func newReachHarness(cfg Config, servers ...ServerInfo) *reachHarness {
	h := &reachHarness{harness: newHarness(cfg, servers...)}
	h.send(EntrySet{Entries: []EntryID{"e0", "e1", "e2"}})
	for i := range 3 {
		h.send(EntryReported{Entry: EntryID(fmt.Sprint("e", i))})
	}
	return h
}

// enqueueFrom returns the commands that follow a request of an entry.
func (h *reachHarness) enqueueFrom(entry EntryID, t request.Tier) []Command {
	h.requests++
	e := enqueue(fmt.Sprint("r", h.requests), t)
	e.Entry, e.Fingerprint = entry, uint64(h.requests)
	return h.send(e)
}

// grantTo grants a request of an entry.
func (h *reachHarness) grantTo(entry EntryID) Grant {
	out := grants(h.enqueueFrom(entry, 0))
	So(out, ShouldHaveLength, 1)
	return out[0]
}

// end ends a run and returns the commands that follow.
func (h *reachHarness) end(g Grant, e Release) []Command {
	e.Request, e.Entry, e.Grant, e.Server = g.Request, g.Entry, g.Grant, g.Server
	return h.send(e)
}

// cutOff lets all requests of an entry fail to connect until none is granted.
func (h *reachHarness) cutOff(entry EntryID, e Release) (tried int) {
	e.Outcome = OutcomeNotSent
	for {
		out := grants(h.enqueueFrom(entry, 0))
		if len(out) == 0 {
			return tried
		}
		tried++
		h.end(out[0], e)
	}
}

// Guards against: servers that one entry can't reach are taken from all entries.
func TestUnreachableForOneEntryIsGrantedToOthers(t *testing.T) {
	Convey("Given an entry whose connections are refused by all servers", t, func() {
		h := newReachHarness(Config{ConfirmAfterCrashes: 3}, servers(3, 2)...)
		So(h.cutOff("e0", Release{ServerGone: true}), ShouldEqual, 3)

		Convey("the other entries get all slots", func() {
			So(h.Summary(h.now).Free, ShouldEqual, 6)
			for range 6 {
				h.grantTo("e1")
			}
		})
		Convey("its requests wait beside free slots and don't block those of lower tiers", func() {
			So(grants(h.enqueueFrom("e0", 0)), ShouldBeEmpty)
			So(grants(h.enqueueFrom("e1", 2)), ShouldHaveLength, 1)
		})
		Convey("it tries again after the pause, once for each server", func() {
			h.advance(unreachableBackoffMin)
			So(h.cutOff("e0", Release{}), ShouldBeLessThanOrEqualTo, 3)
		})
		Convey("a server that answers it is granted again at once", func() {
			granted := slices.Concat(grants(h.advance(unreachableBackoffMin)), grants(h.enqueueFrom("e0", 0)))
			So(granted, ShouldNotBeEmpty)
			first := granted[0]
			for _, g := range granted {
				h.end(g, Release{Outcome: OutcomeDone})
			}
			So(h.grantTo("e0").Server, ShouldNotBeEmpty)
			So(h.pathPaused("e0", h.servers[first.Server]), ShouldBeFalse)
		})
	})
}

// Guards against: servers that live count as crashed since one entry has lost its links.
func TestLostLinksOfOneEntryAreNoCrash(t *testing.T) {
	Convey("Given runs of an entry on all servers", t, func() {
		h := newReachHarness(Config{ConfirmAfterCrashes: 1}, servers(3, 2)...)
		first := []Grant{h.grantTo("e0"), h.grantTo("e0"), h.grantTo("e0")}

		Convey("when it loses them and connections are refused, no crash is counted", func() {
			for _, g := range first {
				So(crashes(h.end(g, Release{Outcome: OutcomeStreamLost, ServerGone: true})), ShouldBeEmpty)
			}
		})
		Convey("when another daemon does not reach the server either, a crash is counted", func() {
			out := h.end(first[0], Release{Outcome: OutcomeStreamLost, ServerGone: true, Reach: UnreachableByPeer})
			So(crashes(out), ShouldHaveLength, 1)
		})
		Convey("when two entries lose all their links, no crash is counted but of one server", func() {
			second := []Grant{h.grantTo("e1"), h.grantTo("e1"), h.grantTo("e1")}
			var out []Command
			for _, g := range slices.Concat(first, second) {
				out = append(out, h.end(g, Release{Outcome: OutcomeStreamLost, ServerGone: true})...)
			}
			So(len(crashes(out)), ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("when a second entry finds the same, a crash is counted", func() {
			g := h.grantTo("e1")
			out := slices.Concat(
				h.end(g, Release{Outcome: OutcomeStreamLost, ServerGone: true}),
				h.end(first[slices.IndexFunc(first, func(x Grant) bool { return x.Server == g.Server })], Release{Outcome: OutcomeStreamLost, ServerGone: true}),
			)
			So(crashes(out), ShouldNotBeEmpty)
		})
	})
}

// Guards against: the breakers of servers open since two entries have lost their links.
func TestLostLinksOpenNoBreaker(t *testing.T) {
	Convey("Given two entries that lose every run on a server that others reach", t, func() {
		h := newReachHarness(Config{}, servers(1, 4)...)
		for i := range 2 * breakerLostRuns {
			g := h.grantTo(EntryID(fmt.Sprint("e", i%2)))
			h.end(g, Release{Outcome: OutcomeStreamLost, Reach: ReachedByPeer})
		}
		Convey("the third entry is granted the server", func() {
			So(h.grantTo("e2").Server, ShouldEqual, "s0")
		})
	})
}

// Guards against: each daemon finds out for itself that a server is down.
func TestServerThatNobodyReachesIsPausedForAll(t *testing.T) {
	Convey("Given an entry and another daemon that could not reach a server", t, func() {
		h := newReachHarness(Config{}, servers(1, 4)...)
		out := h.end(h.grantTo("e0"), Release{Outcome: OutcomeNotSent, Reach: UnreachableByPeer})
		So(out, ShouldContain, ServerPaused{Server: "s0", Entry: "e0", For: unreachableBackoffMin})
		Convey("no entry is granted it during the pause", func() {
			So(grants(h.enqueueFrom("e1", 0)), ShouldBeEmpty)
			So(grants(h.advance(unreachableBackoffMin+time.Millisecond)), ShouldHaveLength, 1)
		})
	})
}

func crashes(out []Command) (all []ServerCrashed) {
	for _, c := range out {
		if x, ok := c.(ServerCrashed); ok {
			all = append(all, x)
		}
	}
	return all
}
