package gateway_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// rolloutSite is two gateways before three servers of version v1, with callers.
type rolloutSite struct {
	*site
	nodes  []*node
	failed atomic.Int64 // answers that were not the whole answer of a server
	asked  atomic.Int64
}

func newRolloutSite(t *testing.T) *rolloutSite {
	s := &rolloutSite{site: newSite(t)}
	for i := range 3 {
		s.addVersion(fmt.Sprint("old-", i), "app", "v1")
	}
	s.put()
	s.nodes = []*node{s.start("a"), s.start("b")}
	for _, n := range s.nodes {
		eventually(t, n.settings.Name+" serves", func() bool { return n.status("/again/", "first", "key-1") == 200 })
	}
	return s
}

// rollOut adds the servers of v2, which a function makes bad, and requests the move.
func (s *rolloutSite) rollOut(durationS float64, spoil func(*standin.Server)) {
	s.store.PutRollout("app", "v2", durationS)
	for i := range 3 {
		b := &standin.Server{ID: fmt.Sprint("new-", i)}
		spoil(b)
		s.servers[b.ID] = b
		s.store.PutVersion(b.ID, "app", s.serve(b.Serve), "v2", 4)
	}
}

// burstOf is how many requests tell whether a version gets any: a canary's share of them
// is several.
const burstOf = 200

// idle tells whether servers with a prefix get none of a burst of requests that the others
// serve.
func (s *rolloutSite) idle(prefix, others string) bool {
	before, served := s.arrivals(prefix), s.arrivals(others)
	for i := range burstOf {
		s.nodes[i%2].status("/again/", fmt.Sprint(prefix, s.asked.Add(1)), "key-1")
	}
	return s.arrivals(prefix) == before && s.arrivals(others) >= served+burstOf
}

// call calls from a few callers until the rollout has an outcome, and some more.
func (s *rolloutSite) call(until func() bool) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for caller := range 8 {
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("c%d-%d", caller, i)
				status, body, err := s.nodes[caller%2].call("POST", "/again/", id, "key-1", id)
				s.asked.Add(1)
				if err != nil || status != 200 || !strings.HasSuffix(body, " "+id) {
					s.failed.Add(1)
				}
			}
		})
	}
	eventually(s.t, "the rollout has an outcome", until)
	cancel()
	wg.Wait()
}

func (s *rolloutSite) state() string {
	state, to := s.store.RolloutState("app")
	if to != "v2" {
		return ""
	}
	return state
}

// arrivals returns how many requests servers with a prefix began to run.
func (s *rolloutSite) arrivals(prefix string) int {
	n := 0
	for id, b := range s.servers {
		if strings.HasPrefix(id, prefix) {
			n += len(b.Arrivals())
		}
	}
	return n
}

// Guards against this: a good version is never promoted.
func TestAGoodVersionIsPromoted(t *testing.T) {
	Convey("A good version is promoted, and then gets every request", t, func() {
		s := newRolloutSite(t)
		s.rollOut(4, func(*standin.Server) {})
		eventually(t, "the rollout is acknowledged", func() bool { return s.state() == "running" })
		s.call(func() bool { return s.state() == "succeeded" })
		So(s.failed.Load(), ShouldEqual, 0)
		eventually(t, "all requests go to the new version", func() bool { return s.idle("old-", "new-") })
	})
}

// Guards against this: a bad version gets its whole share of the traffic.
func TestABadVersionIsRolledBack(t *testing.T) {
	for what, spoil := range map[string]func(*standin.Server){
		"fails half":  func(b *standin.Server) { b.Fails = func(n int) bool { return n%2 == 0 } },
		"fails later": func(b *standin.Server) { b.Fails = func(n int) bool { return n > 15 } },
		"is slow":     func(b *standin.Server) { b.Slow = 40 * time.Millisecond },
	} {
		Convey("A version that "+what+" is rolled back, and gets no more than its part", t, func() {
			s := newRolloutSite(t)
			s.rollOut(8, spoil)
			s.call(func() bool { return s.state() == "rolled_back" })
			So(s.arrivals("new-"), ShouldBeGreaterThan, 0)
			So(s.arrivals("new-"), ShouldBeLessThanOrEqualTo, s.asked.Load()/10+50)
			eventually(t, "the new version gets nothing more", func() bool { return s.idle("new-", "old-") })
		})
	}
}

// Guards against this: a bad version stays in use for as long as the store is away.
func TestABadVersionGetsNothingWhileTheStoreIsDown(t *testing.T) {
	Convey("A bad version is rolled back at once where the store is down, and the outcome is written later", t, func() {
		s := newRolloutSite(t)
		var bad atomic.Bool
		s.rollOut(30, func(b *standin.Server) { b.Fails = func(int) bool { return bad.Load() } })
		s.call(func() bool { return s.arrivals("new-") >= 3 })
		s.store.Fail(standin.Faults{Busy: true})
		bad.Store(true)
		eventually(t, "the new version gets nothing more", func() bool { return s.idle("new-", "old-") })
		So(s.state(), ShouldEqual, "running")
		s.store.Fail(standin.Faults{})
		eventually(t, "the outcome is written", func() bool { return s.state() == "rolled_back" })
	})
}

// Guards against this: a rollout has two outcomes, or none.
func TestOneOutcomeWhereAnswersOfTheStoreAreLost(t *testing.T) {
	Convey("Where answers to writes are lost, there is one outcome, and it stays", t, func() {
		s := newRolloutSite(t)
		s.store.Fail(standin.Faults{LoseWrites: true})
		s.rollOut(8, func(b *standin.Server) { b.Fails = func(n int) bool { return n%2 == 0 } })
		s.call(func() bool { return s.state() == "rolled_back" })
		writes := s.store.Calls("PUT")
		s.call(func() bool { return s.asked.Load() > 2000 })
		So(s.state(), ShouldEqual, "rolled_back")
		So(s.store.Calls("PUT"), ShouldBeLessThanOrEqualTo, writes+1) // one may have been under way
	})
}

// Guards against this: a rollout stays without an outcome, or a bad version is promoted.
func TestARolloutOutlivesTheDaemonThatDecides(t *testing.T) {
	for _, leaver := range []int{0, 1} {
		Convey(fmt.Sprint("A bad version is rolled back when daemon ", leaver, " leaves meanwhile"), t, func() {
			s := newRolloutSite(t)
			s.rollOut(12, func(b *standin.Server) { b.Fails = func(n int) bool { return n%3 == 0 } })
			s.call(func() bool { return s.arrivals("new-") >= 1 })
			s.nodes[leaver].stop()
			s.nodes = []*node{s.nodes[1-leaver], s.nodes[1-leaver]}
			s.call(func() bool { return s.state() == "rolled_back" })
		})
	}
}

// Guards against this: the servers of a rollout that was withdrawn go on getting requests.
func TestAWithdrawnRolloutEndsItsCanaries(t *testing.T) {
	Convey("When the rollout is withdrawn the new version gets nothing more", t, func() {
		s := newRolloutSite(t)
		s.rollOut(30, func(*standin.Server) {})
		s.call(func() bool { return s.arrivals("new-") >= 3 })
		s.store.Remove(standin.KindRollouts, "app")
		eventually(t, "the new version gets nothing more", func() bool { return s.idle("new-", "old-") })
	})
}

// Guards against this: a rollout to the version that runs already leaves a service without servers.
func TestARolloutToTheVersionThatRuns(t *testing.T) {
	Convey("A rollout to the version that runs already succeeds, and nobody is refused", t, func() {
		s := newRolloutSite(t)
		s.store.PutRollout("app", "v1", 6)
		s.call(func() bool {
			state, to := s.store.RolloutState("app")
			return state == "succeeded" && to == "v1"
		})
		So(s.failed.Load(), ShouldEqual, 0)
	})
}

// Guards against this: a rollout stays running for ever.
func TestARolloutWithoutServersIsRolledBack(t *testing.T) {
	Convey("A version without servers is rolled back at the deadline", t, func() {
		s := newRolloutSite(t)
		s.store.PutRollout("app", "v2", 2)
		s.call(func() bool { return s.state() == "rolled_back" })
		So(s.failed.Load(), ShouldEqual, 0)
	})
}

// Guards against this: a rollout is decided long after its deadline.
func TestARolloutKeepsItsDeadlineThroughARestartOfAllDaemons(t *testing.T) {
	Convey("The new daemons know since when the rollout stands", t, func() {
		s := newRolloutSite(t)
		s.store.PutRollout("app", "v2", 3600) // no server of it comes
		eventually(t, "the rollout is acknowledged", func() bool { return s.state() == "running" })
		// The record is what outlives the daemons; here it says that the hour is over.
		eventually(t, "its record is written", func() bool { return s.store.AgeRolloutRecord("app", time.Hour) })
		for _, n := range s.nodes {
			n.stop()
			<-n.done
		}
		s.seeds = nil
		s.start("c")
		eventually(t, "the rollout is decided", func() bool { return s.state() == "rolled_back" })
	})
}
