package membertest

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// maxBytesPerSecond is membership's part of a node's 4 KB/s for control traffic,
// without the transport's overhead.
const maxBytesPerSecond = 1000

func TestMeasure(t *testing.T) {
	Convey("The traffic per member of an idle cluster doesn't grow with its size", t, func() {
		small, err := Measure(10, 1, 30*time.Second, 1)
		So(err, ShouldBeNil)
		large, err := Measure(50, 2, 30*time.Second, 1)
		So(err, ShouldBeNil)
		So(small.MessagesPerSecond, ShouldBeGreaterThan, 1)
		So(large.BytesPerSecond, ShouldBeLessThan, 2*small.BytesPerSecond)
		So(large.WorstBytesPerSecond, ShouldBeLessThan, maxBytesPerSecond)
		Convey("and the same seed gives the same results", func() {
			repeated, err := Measure(10, 1, 30*time.Second, 1)
			So(err, ShouldBeNil)
			So(repeated.BytesPerSecond, ShouldEqual, small.BytesPerSecond)
			So(repeated.RegionDetectTime, ShouldEqual, small.RegionDetectTime)
		})
	})
}

func TestMeasureIncidents(t *testing.T) {
	// Guards against views that stay inconsistent after the failure of a zone or
	// region.
	Convey("Views converge again after many members fail at once", t, func() {
		incidents, err := MeasureIncidents(30, 2, 1)
		So(err, ShouldBeNil)
		So(len(incidents), ShouldEqual, 4)
		for _, in := range incidents {
			So(in.FailedMembers, ShouldBeGreaterThan, 0)
			So(in.WorstBytes, ShouldBeGreaterThanOrEqualTo, in.MeanBytes)
		}
	})
}
