package membertest

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// maxBytesPerSecond is membership's share of a node's 4 KB/s for control, before
// the transport adds its own.
const maxBytesPerSecond = 1000

func TestMeasure(t *testing.T) {
	Convey("The traffic of a quiet cluster doesn't grow with its size", t, func() {
		small, err := Measure(10, 1, 30*time.Second, 1)
		So(err, ShouldBeNil)
		large, err := Measure(50, 2, 30*time.Second, 1)
		So(err, ShouldBeNil)
		So(small.MessagesPerSecond, ShouldBeGreaterThan, 1)
		So(large.BytesPerSecond, ShouldBeLessThan, 2*small.BytesPerSecond)
		So(large.WorstBytesPerSecond, ShouldBeLessThan, maxBytesPerSecond)
		Convey("and the same seed gives the same run", func() {
			repeated, err := Measure(10, 1, 30*time.Second, 1)
			So(err, ShouldBeNil)
			So(repeated.BytesPerSecond, ShouldEqual, small.BytesPerSecond)
			So(repeated.RegionDetectTime, ShouldEqual, small.RegionDetectTime)
		})
	})
}

func TestMeasureIncidents(t *testing.T) {
	// Guards against this: after a zone's or a region's failure the members disagree.
	Convey("Members agree again after many fail at once", t, func() {
		incidents, err := MeasureIncidents(30, 2, 1)
		So(err, ShouldBeNil)
		So(len(incidents), ShouldEqual, 4)
		for _, in := range incidents {
			So(in.FailedMembers, ShouldBeGreaterThan, 0)
			So(in.WorstBytes, ShouldBeGreaterThanOrEqualTo, in.MeanBytes)
		}
	})
}
