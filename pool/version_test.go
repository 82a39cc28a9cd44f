package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// versionedServers returns servers s0, s1, ... of these versions.
func versionedServers(slots int, versions ...string) []ServerInfo {
	all := servers(len(versions), slots)
	for i, v := range versions {
		all[i].Version = v
	}
	return all
}

func versioned(id, version string) Enqueue {
	e := enqueue(id, 0)
	e.Version = version
	return e
}

// Guards against: the rest of a stream is granted on a server of another version.
func TestRestOfStreamGetsItsVersion(t *testing.T) {
	Convey("Given a full server of v1 and free ones of v2", t, func() {
		r := newHarness(Config{}, versionedServers(1, "v1", "v2", "v2")...)
		full := r.mustGrant(versioned("full", "v1"))
		So(full.Server, ShouldEqual, "s0")
		Convey("a request for v1 waits for it, and others are granted meanwhile", func() {
			So(grants(r.send(versioned("rest", "v1"))), ShouldBeEmpty)
			So(r.mustGrant(enqueue("new", 0)).Server, ShouldNotEqual, "s0")
			out := grants(r.endRun(full, OutcomeDone))
			So(out, ShouldHaveLength, 1)
			So(out[0].Request, ShouldEqual, request.ID("rest"))
			So(out[0].Server, ShouldEqual, "s0")
		})
		Convey("many that wait for v1 don't keep others from the servers of v2", func() {
			for i := range 2 * maxCandidates {
				r.send(versioned(fmt.Sprint("rest", i), "v1"))
			}
			So(grants(r.send(enqueue("new", 0))), ShouldHaveLength, 1)
		})
		Convey("one that was sent to the only server of v1 may go there again, but to no v2", func() {
			again := versioned("again", "v1")
			again.SentTo = []string{"s0"}
			So(grants(r.send(again)), ShouldBeEmpty)
			out := grants(r.endRun(full, OutcomeDone))
			So(out, ShouldHaveLength, 1)
			So(out[0].Server, ShouldEqual, "s0")
		})
	})
	Convey("A probe of a server of another version is left to other requests", t, func() {
		r := newHarness(Config{}, versionedServers(1, "v1", "v2")...)
		s := r.servers["s1"]
		s.breaker.open, s.breaker.lastFailure = true, r.now.Add(-time.Minute)
		r.mustGrant(versioned("full", "v1"))
		So(grants(r.send(versioned("rest", "v1"))), ShouldBeEmpty)
	})
	Convey("A server that starts again with another version gets no rest of its old streams", t, func() {
		r := newHarness(Config{}, versionedServers(1, "v1")...)
		full := r.mustGrant(versioned("full", "v1"))
		r.send(versioned("rest", "v1"))
		info := versionedServers(1, "v2")
		info[0].Incarnation = "2"
		out := r.send(ServerSet{Servers: info})
		out = append(out, r.endRun(full, OutcomeStreamLost)...)
		So(grants(out), ShouldBeEmpty)
	})
}

// Guards against: in an overload the rest of a stream is shed or expires behind new requests.
func TestRestOfStreamGoesBeforeNewRequests(t *testing.T) {
	Convey("Given a full pool and a queue of new requests", t, func() {
		r := newHarness(Config{MaxWaitShare: 0.1, ExtendedWaitShare: 1}, versionedServers(1, "v1", "v2")...)
		full := []Grant{r.mustGrant(enqueue("a", 0)), r.mustGrant(enqueue("b", 0))}
		if full[0].Server != "s0" {
			full[0], full[1] = full[1], full[0]
		}
		for i := range 5 {
			r.send(enqueue(fmt.Sprint("new", i), 0))
		}
		rest := versioned("rest", "v1")
		rest.DeadlineIn -= 3 * rest.FirstTokenIn // its caller began the stream long ago
		So(r.send(rest), ShouldBeEmpty)
		Convey("the next slot of its version is for it, the other ones are for them", func() {
			So(grants(r.endRun(full[1], OutcomeDone))[0].Request, ShouldNotEqual, request.ID("rest"))
			So(grants(r.endRun(full[0], OutcomeDone))[0].Request, ShouldEqual, request.ID("rest"))
		})
		Convey("a higher tier goes before it", func() {
			lower := newHarness(Config{}, versionedServers(1, "v1")...)
			g := lower.mustGrant(enqueue("a", 0))
			lowRest := versioned("rest", "v1")
			lowRest.Tier = 1
			lower.send(lowRest)
			lower.send(enqueue("urgent", 0))
			So(grants(lower.endRun(g, OutcomeDone))[0].Request, ShouldEqual, request.ID("urgent"))
		})
		Convey("other workspaces get their shares all the same", func() {
			shared := newHarness(Config{}, versionedServers(1, "v1")...)
			g := shared.mustGrant(enqueue("a", 0))
			got := map[string]int{}
			for i := range 20 {
				x := versioned(fmt.Sprint("rest", i), "v1")
				x.Workspace = "resumes"
				shared.send(x)
				x = enqueue(fmt.Sprint("new", i), 0)
				x.Workspace = "begins"
				shared.send(x)
			}
			for range 20 {
				g = grants(shared.endRun(g, OutcomeDone))[0]
				got[string(g.Request[:3])]++
			}
			So(got["new"], ShouldBeBetweenOrEqual, 9, 11)
		})
	})
}

// Guards against: a stream whose version is gone waits for what never comes, or takes
// requests of lower tiers with it.
func TestRestOfStreamWhoseVersionIsGone(t *testing.T) {
	Convey("Without a server of the version it is refused at once", t, func() {
		r := newHarness(Config{}, versionedServers(1, "v2")...)
		So(shedReason(r.send(versioned("rest", "v1"))), ShouldEqual, request.ReasonVersionUnavailable)
	})
	Convey("If the only one leaves, too", t, func() {
		r := newHarness(Config{}, versionedServers(1, "v1", "v2")...)
		r.send(ServerHealth{Server: "s0", Health: HealthLeaving})
		So(shedReason(r.send(versioned("rest", "v1"))), ShouldEqual, request.ReasonVersionUnavailable)
	})
	Convey("If the only one goes while it waits, though it may wait until its deadline", t, func() {
		for _, gone := range []Event{ServerSet{Servers: versionedServers(1, "v2")}, ServerHealth{Server: "s0", Health: HealthLeaving}} {
			r := newHarness(Config{MaxWaitShare: 0.1}, versionedServers(1, "v1", "v2")...)
			r.mustGrant(versioned("full", "v1"))
			rest := versioned("rest", "v1")
			rest.SentTo = []string{"s0"}
			So(r.send(rest), ShouldBeEmpty)
			So(shedReason(r.send(gone)), ShouldEqual, request.ReasonVersionUnavailable)
		}
	})
	Convey("If the only one is down, at the end of its longest wait; lower tiers wait on", t, func() {
		r := newHarness(Config{MaxWaitShare: 0.1}, versionedServers(1, "v1", "v2")...)
		r.mustGrant(versioned("full", "v2"))
		r.send(ServerHealth{Server: "s0", Health: HealthGone})
		So(r.send(versioned("rest", "v1")), ShouldBeEmpty)
		lower := enqueue("lower", 1)
		lower.SentTo = []string{"s9"} // may wait until its deadline
		r.send(lower)
		var refused []request.Reason
		for range 20 {
			for _, s := range sheds(r.advance(50 * time.Millisecond)) {
				So(s.Request, ShouldEqual, request.ID("rest"))
				refused = append(refused, s.Reason)
			}
		}
		So(refused, ShouldResemble, []request.Reason{request.ReasonVersionUnavailable})
	})
}
