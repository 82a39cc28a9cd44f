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
func TestRetriesOfTheStore(t *testing.T) {
	within := func(failures int, reading bool, middle time.Duration) {
		for range 100 {
			So(retryIn(failures, reading), ShouldBeBetweenOrEqual, middle/2, middle*3/2)
		}
	}
	Convey("A reader calls again soon, however often it fails", t, func() {
		within(1, true, retryEvery)
		within(50, true, retryEvery)
	})
	Convey("Another daemon calls ever later, up to a bound", t, func() {
		within(1, false, retryEvery)
		within(2, false, 2*retryEvery)
		within(3, false, 4*retryEvery)
		within(4, false, retryMost)
		within(50, false, retryMost)
	})
	Convey("The wait grows with the failures in a row, and begins anew after an answer", t, func() {
		store := &listStore{err: objectstore.ErrUnavailable}
		r := &reader{state: emptyState(), store: store, stale: &staleStore{}, reading: func() bool { return false }, told: func() bool { return false }}
		servers := r.loops()[1]
		last := time.Duration(0)
		for range 4 {
			last = r.read(context.Background(), servers)
		}
		So(last, ShouldBeGreaterThanOrEqualTo, retryMost/2)
		store.err = nil
		r.read(context.Background(), servers)
		store.err = objectstore.ErrUnavailable
		So(r.read(context.Background(), servers), ShouldBeLessThan, retryEvery*3/2)
	})
}

// Guards against this: 5,500 calls of the store on a day on which it is away for some seconds.
func TestAStoreThatIsAwayIsNotListedByAll(t *testing.T) {
	Convey("Given a daemon that is no reader and whose knowledge has grown old", t, func() {
		s := configuredState()
		s.serversFresh = fresh(2 * time.Second)
		store, stale := &listStore{err: objectstore.ErrUnavailable}, &staleStore{err: objectstore.ErrUnavailable}
		r := &reader{state: s, store: store, stale: stale, reading: func() bool { return false }, told: func() bool { return false }}
		servers := r.loops()[1]
		Convey("it does not list while the store does not answer it", func() {
			for range 4 {
				r.read(context.Background(), servers)
			}
			So(store.lists, ShouldEqual, 0)
			So(servers.away.IsZero(), ShouldBeFalse)
			Convey("and does as soon as it answers", func() {
				stale.err, store.err = objectstore.ErrNotFound, nil
				r.read(context.Background(), servers)
				So(store.lists, ShouldEqual, 1)
				So(servers.away.IsZero(), ShouldBeTrue)
			})
		})
		Convey("a reader does so once", func() {
			r.reading = func() bool { return true }
			for range 4 {
				r.read(context.Background(), servers)
			}
			So(store.lists, ShouldEqual, 1)
		})
		Convey("so does a daemon that knows nothing yet", func() {
			s.serversFresh = revision.NewFreshnessOn(stopped)
			servers = r.loops()[1]
			r.read(context.Background(), servers)
			So(store.lists, ShouldEqual, 1)
		})
	})
}

// Guards against this: 195 daemons that start together make 1,500 calls of the store before they serve anybody.
func TestCallsOfTheStoreAtAStart(t *testing.T) {
	Convey("Given a daemon that is alone in its view", t, func() {
		views := &member.CurrentView{}
		views.Store(member.NewView("a1", zoned(map[string]int{"a": 1})))
		joined := make(chan struct{})
		s := configuredState()
		a := newAsker(s, newPostbox(), views, joined)
		store := &listStore{watched: make(chan objectstore.Kind, 1)}
		r := &reader{state: s, store: store, reading: a.reading, told: a.told}
		servers := r.loops()[1]
		r.read(context.Background(), servers)
		Convey("it does not watch before it has looked for others", func() {
			So(servers.watching.Load(), ShouldBeFalse)
		})
		Convey("it rests on its first read, until that is too old", func() {
			left, rests := r.mayRest(servers)
			So(rests, ShouldBeTrue)
			So(left, ShouldBeBetween, time.Second, servers.enough)
		})
		Convey("it reads at intervals and watches once it knows that it is alone", func() {
			close(joined)
			_, rests := r.mayRest(servers)
			So(rests, ShouldBeFalse)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			r.read(ctx, servers)
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
