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

// trialSite is two gateways before three servers of version v1, with callers.
type trialSite struct {
	*site
	nodes  []*node
	failed atomic.Int64 // answers that were not the whole answer of a server
	asked  atomic.Int64
}

func newTrialSite(t *testing.T) *trialSite {
	s := &trialSite{site: newSite(t)}
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

// order adds the servers of v2, which a function makes bad, and orders the move.
func (s *trialSite) order(durationS float64, spoil func(*standin.Server)) {
	s.store.PutOrder("app", "v2", durationS)
	for i := range 3 {
		b := &standin.Server{ID: fmt.Sprint("new-", i)}
		spoil(b)
		s.servers[b.ID] = b
		s.store.PutVersion(b.ID, "app", s.serve(b.Serve), "v2", 4)
	}
}

// call calls from a few callers until the rollout has an outcome, and some more.
func (s *trialSite) call(until func() bool) {
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

func (s *trialSite) state() string {
	state, to := s.store.RolloutState("app")
	if to != "v2" {
		return ""
	}
	return state
}

// arrivals returns how many requests servers with a prefix began to run.
func (s *trialSite) arrivals(prefix string) int {
	n := 0
	for id, b := range s.servers {
		if strings.HasPrefix(id, prefix) {
			n += len(b.Arrivals())
		}
	}
	return n
}

// Symptom: a good version is never taken. Sequence: an operator orders a rollout; its
// servers answer as well as the old ones; the deadline passes. Cause: orders were not
// read, and nobody wrote an outcome.
func TestAGoodVersionIsTaken(t *testing.T) {
	Convey("A good version is taken, and then gets every request", t, func() {
		s := newTrialSite(t)
		s.order(4, func(*standin.Server) {})
		eventually(t, "the order is acknowledged", func() bool { return s.state() == "running" })
		s.call(func() bool { return s.state() == "succeeded" })
		So(s.failed.Load(), ShouldEqual, 0)
		eventually(t, "all requests go to the new version", func() bool {
			before := s.arrivals("old-")
			for i := range 20 {
				s.nodes[i%2].status("/again/", fmt.Sprint("after-", i), "key-1")
			}
			return s.arrivals("old-") == before
		})
	})
}

// Symptom: a bad version gets its whole share of the traffic. Sequence: an operator
// orders a rollout; the new servers fail half of what they run. Cause: versions were
// not told apart.
func TestABadVersionIsTakenBack(t *testing.T) {
	for what, spoil := range map[string]func(*standin.Server){
		"fails half":  func(b *standin.Server) { b.Fails = func(n int) bool { return n%2 == 0 } },
		"fails later": func(b *standin.Server) { b.Fails = func(n int) bool { return n > 15 } },
		"is slow":     func(b *standin.Server) { b.Slow = 40 * time.Millisecond },
	} {
		Convey("A version that "+what+" is taken back, and gets no more than its part", t, func() {
			s := newTrialSite(t)
			s.order(8, spoil)
			s.call(func() bool { return s.state() == "rolled_back" })
			So(s.arrivals("new-"), ShouldBeLessThanOrEqualTo, s.asked.Load()/10+50)
			eventually(t, "the new version gets nothing more", func() bool {
				before := s.arrivals("new-")
				for i := range 40 {
					s.nodes[i%2].status("/again/", fmt.Sprint("after-", i), "key-1")
				}
				return s.arrivals("new-") == before
			})
		})
	}
}
