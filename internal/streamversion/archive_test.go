package streamversion

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
)

// fakeArchive holds versions by service, and counts its calls.
type fakeArchive struct {
	versions     map[string][]string
	err          error
	reads, puts  int
	lastPut      []string
	lastPutNames []string
}

func (f *fakeArchive) Versions(_ context.Context, service string) ([]string, error) {
	f.reads++
	return f.versions[service], f.err
}

func (f *fakeArchive) Put(_ context.Context, service string, versions []string) error {
	f.puts++
	if f.err != nil {
		return f.err
	}
	f.lastPut, f.lastPutNames = versions, append(f.lastPutNames, service)
	return nil
}

// Guards against: after all daemons have started again, a stream goes on at the only version
// that is left, though another one began it.
func TestStreamIsUnknownAfterAllDaemonsStarted(t *testing.T) {
	ctx := context.Background()
	Convey("Given a daemon that has just started and knows one version", t, func() {
		now, archive, history := start, &fakeArchive{}, NewHistory()
		history.Add(now, "svc", "v2")
		k := New(Config{
			History: history, Archive: archive, Metrics: metrics.New(), Now: func() time.Time { return now },
			ProofAge: func() (time.Duration, bool) { return 0, true },
		})
		Convey("a stream goes on if the archive knows no other version", func() {
			version, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldBeNil)
			So(version, ShouldEqual, "v2")
			archive.versions = map[string][]string{"svc": {"v2"}}
			now = now.Add(2 * archiveMaxAge)
			_, err = k.Lookup(ctx, testStream, testLife)
			So(err, ShouldBeNil)
		})
		Convey("it is refused if the archive knows another version, or can't be read", func() {
			archive.versions = map[string][]string{"svc": {"v1", "v2"}}
			_, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldEqual, ErrNoAnswer)
			archive.versions, archive.err = nil, errors.New("down")
			now = now.Add(2 * archiveMaxAge)
			_, err = k.Lookup(ctx, testStream, testLife)
			So(err, ShouldEqual, ErrNoAnswer)
		})
		Convey("it is refused if the store has just lost what the archive was told", func() {
			history.StoreRestored(now)
			_, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldEqual, ErrNoAnswer)
		})
		Convey("the archive is read once for many streams, and not at all after a while", func() {
			for range 100 {
				_, err := k.Lookup(ctx, testStream, testLife)
				So(err, ShouldBeNil)
			}
			So(archive.reads, ShouldEqual, 1)
			now = now.Add(testLife)
			_, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldBeNil)
			So(archive.reads, ShouldEqual, 1)
		})
	})
}

// Guards against: the archive is written all the time, or keeps versions that are gone for
// ever.
func TestArchiver(t *testing.T) {
	ctx := context.Background()
	Convey("Given services of one version", t, func() {
		h, f := NewHistory(), &fakeArchive{}
		h.Add(start, "svc", "v1")
		h.Add(start, "other", "v1")
		a := NewArchiver(h, f)
		So(a.Write(ctx, start), ShouldBeNil)
		So(f.puts, ShouldEqual, 0)
		Convey("a second version is written once, and again if it could not be written", func() {
			h.Add(start, "svc", "v2")
			f.err = errors.New("down")
			So(a.Write(ctx, start), ShouldNotBeNil)
			f.err = nil
			for range 3 {
				So(a.Write(ctx, start), ShouldBeNil)
			}
			So(f.puts, ShouldEqual, 2)
			So(f.lastPut, ShouldResemble, []string{"v1", "v2"})
			Convey("and taken back when it has been gone for long", func() {
				h.Remove(start, "svc", "v1")
				So(a.Write(ctx, start.Add(versionMemory)), ShouldBeNil)
				So(f.puts, ShouldEqual, 2+1) // "other", which has been observed for long enough
				So(a.Write(ctx, start.Add(versionMemory+1)), ShouldBeNil)
				So(f.lastPut, ShouldBeEmpty)
				So(f.lastPutNames, ShouldResemble, []string{"svc", "other", "svc"})
			})
		})
		Convey("what earlier daemons wrote is taken back once this one has seen enough", func() {
			for range 3 {
				So(a.Write(ctx, start.Add(versionMemory)), ShouldBeNil)
			}
			So(f.puts, ShouldEqual, 2)
			So(f.lastPut, ShouldBeEmpty)
		})
	})
}
