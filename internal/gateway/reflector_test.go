package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/revision"
)

// Guards against thousands of calls by the daemons during an outage of the store of a few seconds.
func TestStoreRetryBackoff(t *testing.T) {
	within := func(failures int, isReader bool, middle time.Duration) {
		for range 100 {
			So(retryDelay(failures, isReader), ShouldBeBetweenOrEqual, middle/2, middle*3/2)
		}
	}
	Convey("A reader retries after a constant delay", t, func() {
		within(1, true, storeRetryDelay)
		within(50, true, storeRetryDelay)
	})
	Convey("Other daemons back off exponentially, up to a bound", t, func() {
		within(1, false, storeRetryDelay)
		within(2, false, 2*storeRetryDelay)
		within(3, false, 4*storeRetryDelay)
		within(4, false, storeRetryMaxDelay)
		within(50, false, storeRetryMaxDelay)
	})
	Convey("The delay grows with consecutive failures, and is reset by an answer", t, func() {
		store := &listStore{err: objectstore.ErrUnavailable}
		r := &reflector{state: emptyState(), store: store, stale: &staleStore{}, isReader: func() bool { return false }, readerAnswers: func() bool { return false }}
		servers := r.loops()[1]
		last := time.Duration(0)
		for range 4 {
			last = r.refresh(context.Background(), servers)
		}
		So(last, ShouldBeGreaterThanOrEqualTo, storeRetryMaxDelay/2)
		store.err = nil
		r.refresh(context.Background(), servers)
		store.err = objectstore.ErrUnavailable
		So(r.refresh(context.Background(), servers), ShouldBeLessThan, storeRetryDelay*3/2)
	})
}

// Guards against thousands of vain lists during an outage of the store: a day with one of some
// seconds had 5,500 calls.
func TestUnreachableStoreIsNotListedByAll(t *testing.T) {
	Convey("Given a daemon that is not a reader and whose state is stale", t, func() {
		s := stateWithRoutes()
		s.serversFreshness = freshnessOfAge(2 * time.Second)
		store, stale := &listStore{err: objectstore.ErrUnavailable}, &staleStore{err: objectstore.ErrUnavailable}
		r := &reflector{state: s, store: store, stale: stale, isReader: func() bool { return false }, readerAnswers: func() bool { return false }}
		servers := r.loops()[1]
		Convey("it does not list while the store does not answer stale reads", func() {
			for range 4 {
				r.refresh(context.Background(), servers)
			}
			So(store.lists, ShouldEqual, 0)
			So(servers.lostSince.IsZero(), ShouldBeFalse)
			Convey("and lists as soon as the store answers", func() {
				stale.err, store.err = objectstore.ErrNotFound, nil
				r.refresh(context.Background(), servers)
				So(store.lists, ShouldEqual, 1)
				So(servers.lostSince.IsZero(), ShouldBeTrue)
			})
		})
		Convey("a reader lists once", func() {
			r.isReader = func() bool { return true }
			for range 4 {
				r.refresh(context.Background(), servers)
			}
			So(store.lists, ShouldEqual, 1)
		})
		Convey("a daemon without state lists once", func() {
			s.serversFreshness = revision.NewFreshnessWithClock(stoppedClock)
			servers = r.loops()[1]
			r.refresh(context.Background(), servers)
			So(store.lists, ShouldEqual, 1)
		})
	})
}

// Guards against a joint start at which each daemon lists and watches everything: 195 daemons made
// 1,500 calls before they served.
func TestStoreCallsAtStart(t *testing.T) {
	Convey("Given a daemon that sees no other", t, func() {
		view := &member.CurrentView{}
		view.Store(member.NewView("a1", zoneMembers(map[string]int{"a": 1})))
		joined := make(chan struct{})
		s := stateWithRoutes()
		a := newPeerSync(s, newFakeTransport(), view, joined)
		store := &listStore{watched: make(chan objectstore.Kind, 1)}
		r := &reflector{state: s, store: store, isReader: a.isReader, readerAnswers: a.readerAnswers}
		servers := r.loops()[1]
		r.refresh(context.Background(), servers)
		Convey("it does not watch before it has joined the membership", func() {
			So(servers.watching.Load(), ShouldBeFalse)
		})
		Convey("it does not list again until its first list is too old", func() {
			left, idle := r.idleFor(servers)
			So(idle, ShouldBeTrue)
			So(left, ShouldBeBetween, time.Second, servers.maxPeerAge)
		})
		Convey("it lists at intervals and watches once it knows that it is the only one", func() {
			close(joined)
			_, idle := r.idleFor(servers)
			So(idle, ShouldBeFalse)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r.refresh(ctx, servers)
			So(<-store.watched, ShouldEqual, servers.kind)
		})
	})
}

// listStore answers lists, and holds watches until their context ends.
type listStore struct {
	objectstore.ObjectAPI
	err     error
	lists   int
	watched chan objectstore.Kind
}

func (s *listStore) List(context.Context, objectstore.Kind, string) (objectstore.List, error) {
	s.lists++
	return objectstore.List{}, s.err
}

func (s *listStore) Watch(ctx context.Context, kinds []objectstore.Kind, _ objectstore.Version, _ time.Duration) ([]objectstore.Event, objectstore.Version, error) {
	s.watched <- kinds[0]
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
