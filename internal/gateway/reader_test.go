package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Symptom: while the store is away for some seconds, 88 daemons call it
// thousands of times; each call is priced, also a refused one.
// Sequence: the readers' proofs grow old, so every other daemon asks the store
// itself, and again four times a second for each kind.
// Cause: daemons that are not readers retried as often as these.
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
		r := &reader{state: emptyState(), store: store, reading: func() bool { return false }, told: func() bool { return false }}
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

// listStore answers lists alone.
type listStore struct {
	objectstore.ObjectAPI
	err error
}

func (s *listStore) List(context.Context, objectstore.Kind, string) (objectstore.List, error) {
	return objectstore.List{}, s.err
}
