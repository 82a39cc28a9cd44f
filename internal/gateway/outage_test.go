package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
)

// fakePeers lets peerSyncs call each other and records whom they polled.
type fakePeers struct {
	*fakeTransport
	self   string
	syncs  map[string]*peerSync
	polled []string
}

func (n *fakePeers) Call(ctx context.Context, to peer.Name, _ peer.Type, payload []byte) ([]byte, error) {
	n.polled = append(n.polled, string(to))
	other := n.syncs[string(to)]
	if other == nil {
		return nil, peer.ErrNotConnected
	}
	return other.handlePoll(ctx, peer.Name(n.self), payload)
}

// newPeerSyncs returns the peerSyncs of n daemons in one zone that see each other.
func newPeerSyncs(n int) (all map[string]*peerSync, nets map[string]*fakePeers, readers, standbys []string) {
	members := zoneMembers(map[string]int{"a": n})
	all, nets = map[string]*peerSync{}, map[string]*fakePeers{}
	for _, m := range members {
		view := &member.CurrentView{}
		view.Store(member.NewView(m.Name, members))
		net := &fakePeers{fakeTransport: newFakeTransport(), self: m.Name, syncs: all}
		s := stateWithRoutes()
		s.configFreshness, s.serversFreshness = revision.NewFreshnessWithClock(stoppedClock), revision.NewFreshnessWithClock(stoppedClock)
		all[m.Name], nets[m.Name] = newPeerSync(s, net, view, joinedAlready()), net
	}
	readers, standbys = selectReaders(member.NewView("a1", members))
	return all, nets, readers, standbys
}

// joinedAlready returns the channel of a daemon that has joined the membership.
func joinedAlready() <-chan struct{} {
	joined := make(chan struct{})
	close(joined)
	return joined
}

// staleStore answers stale reads only.
type staleStore struct{ err error }

func (s *staleStore) GetStale(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	return objectstore.Object{}, s.err
}

// setProofAge sets the age of a daemon's proofs.
func (a *peerSync) setProofAge(age time.Duration) {
	a.state.configFreshness, a.state.serversFreshness = freshnessOfAge(age), freshnessOfAge(age)
}

// stoppedClock is a clock that stands still.
func stoppedClock() time.Duration { return time.Hour }

// freshnessOfAge returns a freshness whose newest proof has the given age.
func freshnessOfAge(age time.Duration) *revision.Freshness {
	f := revision.NewFreshnessWithClock(stoppedClock)
	f.Confirm(f.Now() - age)
	return f
}

func (a *peerSync) pollNext() error {
	name, ok := a.pickReader()
	So(ok, ShouldBeTrue)
	err := a.poll(context.Background(), name)
	if err != nil {
		a.next.Add(1)
	}
	return err
}

// Guards against thousands of calls to the store while it refuses those of a third of the VMs.
func TestStaleReadersAreSkipped(t *testing.T) {
	Convey("Given 30 daemons, two of which are readers", t, func() {
		all, nets, readers, standbys := newPeerSyncs(30)
		So(readers, ShouldHaveLength, 2)
		So(standbys, ShouldHaveLength, 2)
		var other string
		for name := range all {
			if !slices.Contains(readers, name) && !slices.Contains(standbys, name) {
				other = name
			}
		}
		a := all[other]
		first, _ := a.pickReader()
		second := readers[0]
		if first == second {
			second = readers[1]
		}
		a.setProofAge(1700 * time.Millisecond)

		Convey("a daemon goes from a stale reader to the other one, which answers immediately", func() {
			all[first].setProofAge(1650 * time.Millisecond)
			all[second].setProofAge(100 * time.Millisecond)
			So(a.pollNext(), ShouldBeNil)
			So(a.pollNext(), ShouldBeNil)
			So(nets[other].polled, ShouldResemble, []string{first, second})
			So(a.isCurrent(), ShouldBeTrue)
			name, _ := a.pickReader()
			So(name, ShouldEqual, second)
		})
		Convey("it goes on to the standbys, and then starts over", func() {
			for _, name := range append(slices.Clone(readers), standbys...) {
				delete(all, name)
			}
			for range 5 {
				So(a.pollNext(), ShouldNotBeNil)
			}
			So(nets[other].polled[:2], ShouldResemble, []string{first, second})
			So(standbys, ShouldContain, nets[other].polled[2])
			So(standbys, ShouldContain, nets[other].polled[3])
			So(nets[other].polled[4], ShouldEqual, first)
		})
		Convey("a stale reader polls the other one", func() {
			all[first].setProofAge(3 * time.Second)
			all[second].setProofAge(100 * time.Millisecond)
			name, ok := all[first].pickReader()
			So(ok, ShouldBeTrue)
			So(name, ShouldEqual, second)
			So(all[first].pollNext(), ShouldBeNil)
			So(all[first].isCurrent(), ShouldBeTrue)
			_, ok = all[first].pickReader()
			So(ok, ShouldBeFalse)
		})
		// Guards against a withdrawn key that a daemon accepts for more than the 2 s allowed (it was
		// 2.05 s), although the store would have answered this daemon.
		Convey("while readers answer but none can read, a daemon lists by itself in time, and backs off if that fails", func() {
			all[first].setProofAge(1650 * time.Millisecond)
			So(a.pollNext(), ShouldBeNil)
			idle := func(a *peerSync) bool {
				r := &reflector{state: a.state, isReader: a.isReader, readerAnswers: a.readerAnswers}
				_, idle := r.idleFor(r.loops()[0])
				return idle
			}
			b := all[standbys[0]]
			for _, x := range []*peerSync{a, b} {
				x.state.configFreshness = freshnessOfAge(1650 * time.Millisecond)
				x.lastAnswer.Store(int64(x.state.configFreshness.Now()))
				So(idle(x), ShouldBeTrue)
				x.state.configFreshness = freshnessOfAge(1750 * time.Millisecond)
				So(idle(x), ShouldBeFalse)
			}
			refresh := func(a *peerSync) time.Duration {
				r := &reflector{state: a.state, store: &listStore{err: objectstore.ErrUnavailable}, stale: &staleStore{}, isReader: a.isReader, readerAnswers: a.readerAnswers}
				return r.refresh(context.Background(), r.loops()[0])
			}
			So(refresh(a), ShouldBeGreaterThanOrEqualTo, storeRetryMaxDelay/2)
			So(refresh(b), ShouldBeLessThan, 2*storeRetryDelay) // a standby
			a.lastAnswer.Store(int64(a.state.configFreshness.Now() - 3*time.Second))
			So(refresh(a), ShouldBeLessThan, 2*storeRetryDelay) // it may be cut off from the readers
		})
	})
	Convey("A daemon whose own reads fail for long counts as cut off from the store until one is answered", t, func() {
		s := emptyState()
		s.configFreshness = revision.NewFreshnessWithClock(stoppedClock)
		store := &listStore{err: objectstore.ErrUnavailable}
		r := &reflector{state: s, store: store, stale: &staleStore{}, isReader: func() bool { return false }, readerAnswers: func() bool { return true }}
		config := r.loops()[0]
		s.configFreshness.Confirm(s.configFreshness.Now())
		_, idle := r.idleFor(config)
		So(idle, ShouldBeTrue)
		r.refresh(context.Background(), config)
		So(s.storeLostLongerThan(3*time.Second), ShouldBeFalse)
		s.storeLostAt.Store(int64(stoppedClock() - 4*time.Second))
		So(s.storeLostLongerThan(3*time.Second), ShouldBeTrue)
		_, idle = r.idleFor(config) // it keeps listing, though readers send it the state
		So(idle, ShouldBeFalse)
		store.err = nil
		r.refresh(context.Background(), config)
		So(s.storeLostLongerThan(3*time.Second), ShouldBeFalse)
		_, idle = r.idleFor(config)
		So(idle, ShouldBeTrue)
	})
	Convey("A daemon that the store does not answer refuses keys, even with fresh proofs from readers", t, func() {
		g := &Gateway{settings: Settings{Bounds: BoundsSettings{RevokeMs: 5000}}, state: emptyState()}
		g.state.configFreshness = freshnessOfAge(100 * time.Millisecond)
		g.state.storeLostAt.Store(int64(stoppedClock() - 4*time.Second))
		So(g.Fresh(), ShouldBeTrue)
		So(g.freshWithin(readyShare), ShouldBeFalse)
		g.state.storeLostAt.Store(int64(stoppedClock() - 4800*time.Millisecond))
		So(g.Fresh(), ShouldBeFalse)
		So(g.StoreLost(), ShouldEqual, 4800*time.Millisecond)
		g.state.storeLostAt.Store(0)
		So(g.Fresh(), ShouldBeTrue)
	})
	Convey("A daemon that is not a reader notices the loss and the return of the store", t, func() {
		s := emptyState()
		s.configFreshness = revision.NewFreshnessWithClock(stoppedClock)
		store := &staleStore{err: objectstore.ErrUnknownOutcome}
		r := &reflector{state: s, stale: store}
		r.checkStore(context.Background())
		So(s.storeLostAt.Load(), ShouldEqual, int64(stoppedClock()))
		s.storeLostAt.Store(int64(stoppedClock() - 4*time.Second))
		r.checkStore(context.Background()) // counts from the first failure
		So(s.storeLostLongerThan(3*time.Second), ShouldBeTrue)
		store.err = objectstore.ErrNotFound // an answer nevertheless
		r.checkStore(context.Background())
		So(s.storeLostLongerThan(3*time.Second), ShouldBeFalse)
	})
	// Guards against daemons that serve nobody for seconds after all daemons were killed.
	Convey("A daemon without state retries soon, even if a reader answers", t, func() {
		s := emptyState()
		s.configFreshness = revision.NewFreshnessWithClock(stoppedClock)
		store := &listStore{err: objectstore.ErrUnavailable}
		r := &reflector{state: s, store: store, stale: &staleStore{}, isReader: func() bool { return false }, readerAnswers: func() bool { return true }}
		So(r.refresh(context.Background(), r.loops()[0]), ShouldBeLessThan, 2*storeRetryDelay)
		s.configFreshness.Confirm(s.configFreshness.Now())
		So(r.refresh(context.Background(), r.loops()[0]), ShouldBeGreaterThanOrEqualTo, storeRetryMaxDelay/2)
	})
	Convey("Nine daemons have one reader and two standbys", t, func() {
		_, _, readers, standbys := newPeerSyncs(9)
		So(readers, ShouldHaveLength, 1)
		So(standbys, ShouldHaveLength, 2)
	})
	Convey("A single daemon polls nobody", t, func() {
		all, _, readers, standbys := newPeerSyncs(1)
		So(fmt.Sprint(readers, standbys), ShouldEqual, "[a1] []")
		_, ok := all["a1"].pickReader()
		So(ok, ShouldBeFalse)
	})
}
