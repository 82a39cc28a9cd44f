package gateway

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/objectstore"
)

// forgetfulStore holds one object, and loses the answers to all writes.
type forgetfulStore struct {
	objectstore.ObjectAPI
	object *objectstore.Object
	writes int
}

var errAnswerLost = errors.New("answer lost")

func (s *forgetfulStore) Get(context.Context, objectstore.Kind, string) (objectstore.Object, error) {
	if s.object == nil {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return *s.object, nil
}

func (s *forgetfulStore) GetStale(ctx context.Context, k objectstore.Kind, name string) (objectstore.Object, error) {
	return s.Get(ctx, k, name)
}

func (s *forgetfulStore) Create(_ context.Context, _ objectstore.Kind, _ string, value []byte) (objectstore.Version, error) {
	s.writes++
	s.object = &objectstore.Object{Value: value, Version: 1}
	return 0, errAnswerLost
}

func (s *forgetfulStore) Update(_ context.Context, _ objectstore.Kind, _ string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.writes++
	s.object = &objectstore.Object{Value: value, Version: expected + 1}
	return 0, errAnswerLost
}

// Guards against: versions are written to the store again and again while the answers to
// writes are lost.
func TestArchivedVersionsAreWrittenOnce(t *testing.T) {
	Convey("Given a store that loses the answers to writes", t, func() {
		store, ctx := &forgetfulStore{}, context.Background()
		a := versionArchive{Platform{Store: store, Stale: store}}
		versions, err := a.Versions(ctx, "svc")
		So(err, ShouldBeNil)
		So(versions, ShouldBeEmpty)
		So(a.Put(ctx, "svc", nil), ShouldBeNil)
		So(store.writes, ShouldEqual, 0)
		for i, want := range [][]string{{"v1", "v2"}, {"v2", "v3"}} {
			So(a.Put(ctx, "svc", want), ShouldNotBeNil)
			for range 3 {
				So(a.Put(ctx, "svc", want), ShouldBeNil)
			}
			So(store.writes, ShouldEqual, i+1)
			versions, err = a.Versions(ctx, "svc")
			So(err, ShouldBeNil)
			So(versions, ShouldResemble, want)
		}
	})
}

// Guards against: a stream goes on at the wrong version, since the archive was read as of before
// another one was written there.
func TestArchivedVersionsAreReadAsOfNow(t *testing.T) {
	Convey("What a stale read does not show yet counts", t, func() {
		object := objectstore.Object{Value: []byte(`{"versions":["v1","v2"]}`), Version: 1}
		a := versionArchive{Platform{Store: &forgetfulStore{object: &object}, Stale: &forgetfulStore{}}}
		versions, err := a.Versions(context.Background(), "svc")
		So(err, ShouldBeNil)
		So(versions, ShouldResemble, []string{"v1", "v2"})
	})
}
