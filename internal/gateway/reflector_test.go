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

// Guards against this: while the store is away for some seconds, the daemons call it thousands of times.
func TestStoreRetryBackoff(t *testing.T) {
	within := func(failures int, isReader bool, middle time.Duration) {
		for range 100 {
			So(retryDelay(failures, isReader), ShouldBeBetweenOrEqual, middle/2, middle*3/2)
		}
	}
	Convey("A reader calls again soon, however often it fails", t, func() {
		within(1, true, storeRetryDelay)
		within(50, true, storeRetryDelay)
	})
	Convey("Another daemon calls ever later, up to a bound", t, func() {
		within(1, false, storeRetryDelay)
		within(2, false, 2*storeRetryDelay)
		within(3, false, 4*storeRetryDelay)
		within(4, false, storeRetryMaxDelay)
		within(50, false, storeRetryMaxDelay)
	})
	Convey("The wait grows with the failures in a row, and begins anew after an answer", t, func() {
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

// Guards against this: 5,500 calls of the store on a day on which it is away for some seconds.
func TestUnreachableStoreIsNotListedByAll(t *testing.T) {
	Convey("Given a daemon that is no reader and whose knowledge has grown old", t, func() {
		s := stateWithRoutes()
		s.serversFreshness = freshnessOfAge(2 * time.Second)
		store, stale := &listStore{err: objectstore.ErrUnavailable}, &staleStore{err: objectstore.ErrUnavailable}
		r := &reflector{state: s, store: store, stale: stale, isReader: func() bool { return false }, readerAnswers: func() bool { return false }}
		servers := r.loops()[1]
		Convey("it does not list while the store does not answer it", func() {
			for range 4 {
				r.refresh(context.Background(), servers)
			}
			So(store.lists, ShouldEqual, 0)
			So(servers.lostSince.IsZero(), ShouldBeFalse)
			Convey("and does as soon as it answers", func() {
				stale.err, store.err = objectstore.ErrNotFound, nil
				r.refresh(context.Background(), servers)
				So(store.lists, ShouldEqual, 1)
				So(servers.lostSince.IsZero(), ShouldBeTrue)
			})
		})
		Convey("a reader does so once", func() {
			r.isReader = func() bool { return true }
			for range 4 {
				r.refresh(context.Background(), servers)
			}
			So(store.lists, ShouldEqual, 1)
		})
		Convey("so does a daemon that knows nothing yet", func() {
			s.serversFreshness = revision.NewFreshnessOn(stoppedClock)
			servers = r.loops()[1]
			r.refresh(context.Background(), servers)
			So(store.lists, ShouldEqual, 1)
		})
	})
}

// Guards against this: 195 daemons that start together make 1,500 calls of the store before they serve anybody.
func TestStoreCallsAtStart(t *testing.T) {
	Convey("Given a daemon that is alone in its view", t, func() {
		views := &member.CurrentView{}
		views.Store(member.NewView("a1", zoneMembers(map[string]int{"a": 1})))
		joined := make(chan struct{})
		s := stateWithRoutes()
		a := newPeerSync(s, newFakeTransport(), views, joined)
		store := &listStore{watched: make(chan objectstore.Kind, 1)}
		r := &reflector{state: s, store: store, isReader: a.isReader, readerAnswers: a.readerAnswers}
		servers := r.loops()[1]
		r.refresh(context.Background(), servers)
		Convey("it does not watch before it has looked for others", func() {
			So(servers.watching.Load(), ShouldBeFalse)
		})
		Convey("it rests on its first read, until that is too old", func() {
			left, idle := r.idleFor(servers)
			So(idle, ShouldBeTrue)
			So(left, ShouldBeBetween, time.Second, servers.maxPeerAge)
		})
		Convey("it reads at intervals and watches once it knows that it is alone", func() {
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

// listStore answers lists, and holds watches until they are called off.
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
