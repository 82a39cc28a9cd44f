package streamversion

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
)

// fakeRecords is an archive of records, by segment, and counts its reads.
type fakeRecords struct {
	segments map[string]StoredSegment
	err      error
	reads    int
}

func (f *fakeRecords) Segments(context.Context) (out []StoredSegment, _ error) {
	f.reads++
	for _, s := range f.segments {
		out = append(out, s)
	}
	return out, f.err
}

// write writes what a daemon has to write.
func (f *fakeRecords) write(daemon string, k *Keeper) int {
	due, err := k.DueSegments()
	So(err, ShouldBeNil)
	for _, s := range due {
		name := fmt.Sprint(daemon, "-", s.Number)
		f.segments[name] = StoredSegment{name, daemon, s.Number, f.segments[name].Version + 1, s.Value}
		k.SegmentWritten(s, nil)
	}
	return len(due)
}

// archivingKeeper returns a daemon that knows no other one, by a clock that stands still.
func archivingKeeper(now *time.Time, f *fakeRecords, versions ...string) *Keeper {
	h := NewHistory()
	for _, v := range versions {
		h.Add(now.Add(-observed), "svc", v)
	}
	return New(Config{History: h, Records: f, Metrics: metrics.New(), Now: func() time.Time { return *now }, ProofAge: func() (time.Duration, bool) { return 0, true }})
}

// Guards against: nobody can place a stream once all daemons have ended.
func TestArchivedStreamOutlivesItsDaemon(t *testing.T) {
	ctx := context.Background()
	Convey("Given a stream that one daemon recorded, and its archive", t, func() {
		now, f := start, &fakeRecords{segments: map[string]StoredSegment{}}
		old := archivingKeeper(&now, f, "v1", "v2")
		old.Record(testStream, "v2", time.Minute)
		So(f.write("a", old), ShouldEqual, 1)
		So(f.write("a", old), ShouldEqual, 0)
		now = now.Add(10 * time.Second)
		k := archivingKeeper(&now, f, "v1", "v2")
		Convey("a daemon that has started finds it in one read", func() {
			So(k.LoadRecords(ctx, "a"), ShouldBeNil)
			for range 10 {
				version, err := k.Lookup(ctx, testStream, testLife)
				So(err, ShouldBeNil)
				So(version, ShouldEqual, "v2")
			}
			So(f.reads, ShouldEqual, 1)
		})
		Convey("a lookup reads the archive itself", func() {
			version, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldBeNil)
			So(version, ShouldEqual, "v2")
		})
		Convey("it is forgotten when its record has expired since it was read", func() {
			So(k.LoadRecords(ctx, "a"), ShouldBeNil)
			now = now.Add(time.Minute)
			So(k.ReadRecords(ctx), ShouldBeNil)
			_, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldEqual, ErrUnknown)
		})
		Convey("records that contradict each other make it unknown", func() {
			k.Record(testStream, "v1", time.Minute)
			So(k.LoadRecords(ctx, "a"), ShouldBeNil)
			_, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldEqual, ErrUnknown)
		})
		Convey("the answer is not final while the archive can't be read", func() {
			f.err = errors.New("down")
			_, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldEqual, ErrNoAnswer)
		})
		Convey("an earlier process's segments are not overwritten while they are of use", func() {
			So(k.LoadRecords(ctx, "a"), ShouldBeNil)
			k.Record(Stream{Service: "svc", Request: "new"}, "v1", time.Minute)
			So(f.write("a", k), ShouldEqual, 1)
			So(f.segments, ShouldContainKey, "a-1")
			last := archivingKeeper(&now, f, "v1", "v2")
			So(last.LoadRecords(ctx, "a"), ShouldBeNil)
			version, err := last.Lookup(ctx, testStream, testLife)
			So(err, ShouldBeNil)
			So(version, ShouldEqual, "v2")
		})
		Convey("a restored archive gets it again", func() {
			old.RewriteSegments()
			So(f.write("a", old), ShouldEqual, 1)
			now = now.Add(time.Minute)
			old.RewriteSegments()
			So(f.write("a", old), ShouldEqual, 0)
		})
		Convey("its segment is removed only once its daemon is gone and the record has expired", func() {
			So(k.LoadRecords(ctx, "b"), ShouldBeNil)
			member := true
			isMember := func(string) bool { return member }
			now = now.Add(versionMemory)
			all, expired := k.AbandonedSegments(isMember)
			So([]int{all, len(expired)}, ShouldResemble, []int{0, 0})
			member, now = false, now.Add(-time.Second)
			all, expired = k.AbandonedSegments(isMember)
			So([]int{all, len(expired)}, ShouldResemble, []int{1, 0})
			now = now.Add(time.Second)
			_, expired = k.AbandonedSegments(isMember)
			So(expired, ShouldHaveLength, 1)
			So(expired[0].Name, ShouldEqual, "a-0")
		})
	})
}

// Guards against: the archive costs writes while one version serves, or lacks the streams
// that run when a second version appears.
func TestRecordsAreWrittenOnlyForSeveralVersions(t *testing.T) {
	Convey("Given a service of one version", t, func() {
		now, f := start, &fakeRecords{segments: map[string]StoredSegment{}}
		k := archivingKeeper(&now, f, "v1")
		k.Record(testStream, "v1", time.Minute)
		k.Record(Stream{Service: "svc", Request: "short"}, "v1", time.Second)
		So(f.write("a", k), ShouldEqual, 0)
		Convey("a second version makes the records of running streams due", func() {
			now = now.Add(2 * time.Second)
			k.cfg.History.Add(now, "svc", "v2")
			So(f.write("a", k), ShouldEqual, 1)
			records, err := decodeSegment(now, f.segments["a-0"].Value)
			So(err, ShouldBeNil)
			So(records, ShouldHaveLength, 1)
			So(records[0].stream, ShouldEqual, testStream.key())
		})
	})
}

// Guards against: the archive is read for each stream that never was.
func TestUnknownStreamsBoundTheirReads(t *testing.T) {
	Convey("Given a daemon whose read found nothing", t, func() {
		now, f, ctx := start, &fakeRecords{}, context.Background()
		k := archivingKeeper(&now, f, "v1", "v2")
		k.reader.wait = func(_ context.Context, d time.Duration) bool { now = now.Add(max(0, d)); return true }
		for range 100 {
			_, err := k.Lookup(ctx, testStream, testLife)
			So(err, ShouldEqual, ErrUnknown)
		}
		So(f.reads, ShouldEqual, 1)
		Convey("the pause between reads grows", func() {
			for range 100 {
				now = now.Add(time.Second)
				_, _ = k.Lookup(ctx, testStream, testLife)
			}
			So(f.reads, ShouldBeLessThan, 12)
		})
		Convey("reads that no lookup has asked for don't lengthen it", func() {
			pause := k.reader.pause
			for range 10 {
				now = now.Add(maxReadPause)
				So(k.ReadRecords(ctx), ShouldBeNil)
			}
			So(k.reader.pause, ShouldEqual, pause)
		})
	})
}

// Guards against: segments grow without bound, or lose records that have not expired while
// there is room.
func TestSegmentsKeepLiveRecordsWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, w := start, &recordWriter{}
		stored, live := map[int][]byte{}, map[key]archivedRecord{}
		for i := range rapid.IntRange(1, 200).Draw(t, "rounds") {
			for j := range rapid.IntRange(0, 3).Draw(t, "streams") {
				r := archivedRecord{key(i*10 + j), rapid.SampledFrom([]string{"v1", "v2", ambiguous}).Draw(t, "version"), now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "life")) * time.Second)}
				w.collect("svc", r)
				live[r.stream] = r
			}
			due, _, err := w.due(now, func(string) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range due {
				stored[s.Number] = s.Value
				w.written(s.Number)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * time.Second)
		}
		found := map[key]string{}
		for n, value := range stored {
			records, err := decodeSegment(now, value)
			if err != nil || n >= maxSegments {
				t.Fatalf("segment %d: %v", n, err)
			}
			for _, r := range records {
				found[r.stream] = r.version
			}
		}
		for k, r := range live {
			if version, ok := found[k]; now.Before(r.expires) && (!ok || version != r.version) {
				t.Fatalf("stream %d of %q is %q, %v", k, r.version, version, ok)
			}
		}
	})
}

// Guards against: a value of the archive that can't be decoded ends the daemon.
func TestMalformedSegments(t *testing.T) {
	Convey("Malformed segments are errors", t, func() {
		for _, value := range []string{``, `[]`, `{"records":"AAAA"}`, `{"versions":["v1"],"records":"AAAAAAAAAAABAAAAAAA="}`} {
			_, err := decodeSegment(start, []byte(value))
			So(err, ShouldNotBeNil)
		}
	})
	Convey("A full segment stays small", t, func() {
		records := make([]archivedRecord, maxSegmentRecords)
		for i := range records {
			records[i] = archivedRecord{key(i), "v1", start.Add(time.Minute)}
		}
		value, err := encodeSegment(start, records)
		So(err, ShouldBeNil)
		So(len(value), ShouldBeLessThan, 60_000)
	})
}

// collects returns how many records a daemon is to archive.
func (k *testKeeper) collects() int {
	k.writer.mu.Lock()
	defer k.writer.mu.Unlock()
	return len(k.writer.collected)
}

// Guards against: a record is archived by nobody as the keeper that is to do it has died or is
// cut off, or by several.
func TestRecordIsHandedToOneArchivingDaemon(t *testing.T) {
	Convey("Given six daemons", t, func() {
		f := newFleet(t, 6)
		for _, k := range f.keepers {
			k.reader = newRecordReader(&fakeRecords{}, time.Now, k.log)
		}
		first := f.at(0).ranking.group(groupOf(testStream.key())).told[0].name
		sum := func() (n int) {
			for _, k := range f.keepers {
				n += k.collects()
			}
			return n
		}
		Convey("the first keeper is to archive a record", func() {
			f.at(0).Record(testStream, "v2", time.Minute)
			testwait.Until(t, testTimeout, "the first keeper is to archive it", func() bool { return f.keepers[first].collects() == 1 })
			f.settle(testStream, 1+keepersTold)
			So(sum(), ShouldEqual, 1)
		})
		Convey("the daemon itself is where that keeper is of an earlier release", func() {
			f.keepers[first].reader = nil // it has no archive
			f.at(0).Record(testStream, "v2", time.Minute)
			testwait.Until(t, testTimeout, "the daemon is to archive it", func() bool { return f.at(0).collects() == 1 })
			So(sum(), ShouldEqual, 1)
		})
		Convey("the daemon itself is where that keeper has died", func() {
			f.net.Crash(peer.Name(first))
			f.at(0).Record(testStream, "v2", time.Minute)
			testwait.Until(t, testTimeout, "the daemon is to archive it", func() bool { return f.at(0).collects() == 1 })
			So(sum(), ShouldEqual, 1)
		})
	})
}
