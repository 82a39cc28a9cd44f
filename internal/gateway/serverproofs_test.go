package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Guards against: a daemon vouches for a list of servers while it does not count a version in it.
func TestVersionCountsBeforePoolsAreRebuilt(t *testing.T) {
	Convey("A version counts although the rebuild of the pools is delayed", t, func() {
		s := stateWithRoutes()
		servers := make([]discovery.Server, 0, pacingMinServers+1)
		for i := range pacingMinServers {
			servers = append(servers, discovery.Server{ID: fmt.Sprint("i", i), Service: "app", Version: "v1"})
		}
		s.replaceServers(servers, 10)
		s.rebuildPacer.done(time.Now(), time.Now().Add(time.Hour))
		s.rebuildPending = true // none begins during the test
		s.replaceServers(append(servers, discovery.Server{ID: "new", Service: "app", Version: "v2"}), 11)
		So(s.versions.Versions(time.Now(), "app"), ShouldResemble, []string{"v1", "v2"})
	})
}

// Guards against: a daemon vouches for a list of servers that it was told but has not applied.
func TestAnswerThatIsNotAppliedProvesNothing(t *testing.T) {
	Convey("Changes to a list that this daemon has no more prove nothing", t, func() {
		all, _, readers, _ := newPeerSyncs(3)
		p := all["a1"]
		p.state.replaceServers([]discovery.Server{{ID: "a", Service: "app", Version: "v1"}}, 50)
		resp := &wire.SyncAnswer{
			ConfigAgeMs: -1, ServersTold: true, ServersRevision: 60, ServersSource: 7, ServersNumber: 4, ServersSince: 3,
			Servers: serversToWire([]discovery.Server{{ID: "b", Service: "app", Version: "v2"}}),
		}
		now := p.state.serversFreshness.Now()
		p.heard.Add(readers[0], heardServers{source: 7, number: 3, base: listBase{same: true, update: 99}})
		p.apply(readers[0], resp, now, now)
		_, proved := p.state.serversFreshness.Age()
		So(proved, ShouldBeFalse)
		Convey("the whole list does", func() {
			resp.ServersSince = 0
			p.apply(readers[0], resp, now, now)
			_, proved := p.state.serversFreshness.Age()
			So(proved, ShouldBeTrue)
		})
	})
}

// Guards against: a daemon that has missed versions while it was cut off vouches for that time.
func TestObservationBeginsAnewAfterAGap(t *testing.T) {
	Convey("Proofs without a gap lengthen the observation, a gap ends it", t, func() {
		s := stateWithRoutes()
		now := s.serversFreshness.Now()
		observedFor := func() time.Duration { return s.versions.ObservedFor(time.Now()) }
		for _, before := range []time.Duration{5, 4, 3} {
			s.proveServers(now - before*maxProofGap)
		}
		So(observedFor(), ShouldBeGreaterThanOrEqualTo, 5*maxProofGap-time.Millisecond)
		s.proveServers(now - maxProofGap)
		So(observedFor(), ShouldBeLessThan, 5*maxProofGap)
	})
}

func inEra(era, revision uint64) objectstore.Version {
	v, err := objectstore.NewVersion(era, revision)
	So(err, ShouldBeNil)
	return v
}

// Guards against: a daemon vouches for the time before the store was restored from a backup, which
// lacks the last versions, or for a list from before that.
func TestRestoredStoreEndsTheObservation(t *testing.T) {
	Convey("Given a daemon that has observed the servers for long", t, func() {
		all, _, readers, _ := newPeerSyncs(3)
		p := all["a1"]
		s := p.state
		v1 := []discovery.Server{{ID: "a", Service: "app", Version: "v1"}}
		s.replaceServers(v1, inEra(1, 50))
		s.versions.ObserveFrom(time.Now().Add(-time.Hour))
		s.replaceServers(v1, inEra(2, 40))
		So(s.versions.ObservedFor(time.Now()), ShouldBeLessThan, time.Minute)
		So(s.versions.RestoredWithin(time.Now(), time.Minute), ShouldBeTrue)
		Convey("an answer from before proves nothing", func() {
			now := s.serversFreshness.Now()
			p.apply(readers[0], &wire.SyncAnswer{ConfigAgeMs: -1, ServersTold: true, ServersRevision: uint64(inEra(1, 60)), Servers: serversToWire(v1)}, now, now)
			_, proved := s.serversFreshness.Age()
			So(proved, ShouldBeFalse)
		})
	})
}

// countingStore answers lists and counts them.
type countingStore struct {
	objectstore.ObjectAPI
	lists atomic.Int32
}

func (s *countingStore) List(context.Context, objectstore.Kind, string) (objectstore.List, error) {
	s.lists.Add(1)
	return objectstore.List{}, nil
}

// Guards against: streams that are taken up wait for the next list of the servers, or each of
// them costs a list.
func TestProofIsReadOnDemand(t *testing.T) {
	Convey("Given a daemon that has just listed the servers", t, func() {
		s, store := stateWithRoutes(), &countingStore{}
		no := func() bool { return false }
		r := &reflector{state: s, store: store, stale: &staleStore{}, isReader: no, readerAnswers: no, daemons: func() int { return 2 }}
		servers := r.loops()[1]
		servers.maxPeerAge = time.Hour
		r.refresh(context.Background(), servers)
		ctx, cancel := context.WithCancel(context.Background())
		var loop, waits conc.WaitGroup
		loop.Go(func() { r.run(ctx, servers) })
		Convey("all that wait get a proof from after their call, by a bounded number of lists", func() {
			began := time.Now()
			for range 200 {
				waits.Go(func() {
					called := s.serversFreshness.Now()
					s.awaitServersProof(ctx)
					if at, _ := s.serversFreshness.ConfirmedAt(); at < called {
						t.Errorf("The proof is %v older than the call.", called-at)
					}
				})
			}
			waits.Wait()
			So(store.lists.Load(), ShouldBeBetweenOrEqual, 2, 3+time.Since(began)/minDemandInterval)
		})
		cancel()
		loop.Wait()
	})
}
