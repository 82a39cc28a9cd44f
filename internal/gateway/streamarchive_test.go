package gateway

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/streamversion"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// Guards against: a daemon whose store loses the answers to writes archives no stream any
// more, or overwrites what it has not read.
func TestSegmentsAreWrittenThroughLostAnswers(t *testing.T) {
	Convey("Given a store that loses the answers to writes", t, func() {
		store, ctx := &forgetfulStore{}, context.Background()
		w := &segmentWriter{store: store, daemon: "a", versions: map[int]objectstore.Version{}}
		for i, value := range []string{"1", "2", "3"} {
			So(w.put(ctx, streamversion.SegmentWrite{Value: []byte(value)}), ShouldNotBeNil)
			So(w.versions, ShouldBeEmpty)
			So(string(store.object.Value), ShouldEqual, value)
			So(store.writes, ShouldEqual, i+1)
		}
	})
}

// listedStore lists these objects.
type listedStore struct {
	objectstore.ObjectAPI
	objects []objectstore.Object
}

func (s listedStore) List(context.Context, objectstore.Kind, string) (objectstore.List, error) {
	return objectstore.List{Objects: s.objects}, nil
}

// Guards against: an object of another form in the kind hides the segments.
func TestSegmentsAreNamedByDaemonAndNumber(t *testing.T) {
	Convey("Segments of daemons with any name are listed, other objects are not", t, func() {
		objects := []objectstore.Object{{Name: "other"}, {Name: "7"}, {Name: "a-b"}, {Name: segmentName("front-1.x", 12), Version: 5}}
		all, err := streamArchive{Platform{Store: listedStore{objects: objects}}}.Segments(context.Background())
		So(err, ShouldBeNil)
		So(all, ShouldResemble, []streamversion.StoredSegment{{Name: "front-1.x-12", Daemon: "front-1.x", Number: 12, Version: 5}})
	})
}
