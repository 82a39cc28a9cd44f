package estimate

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHints(t *testing.T) {
	Convey("Given hints without observations", t, func() {
		h := NewHintEstimator()
		Convey("a hint is the mean and twice the hint is reserved, up to the cap", func() {
			So(h.Estimate(testKey, 100, 0), ShouldResemble, Length{Mean: 100, High: 200})
			So(h.Estimate(testKey, 100, 150), ShouldResemble, Length{Mean: 100, High: 150})
			So(h.Estimate(testKey, 100, 50), ShouldResemble, Length{Mean: 50, High: 50})
		})
		Convey("answers half as long as their hints halve later estimates", func() {
			for range minSamples {
				h.Observe(testKey, 40, 20)
			}
			So(h.Estimate(testKey, 1000, 0), ShouldResemble, Length{Mean: 500, High: 500})
			So(h.Remaining(testKey, 1000, 0, 100), ShouldEqual, 400)
		})
		Convey("one hint that is far off has little effect on later estimates", func() {
			for range windowSize - 1 {
				h.Observe(testKey, 100, 100)
			}
			h.Observe(testKey, 1, 100_000)
			So(h.Estimate(testKey, 100, 0).Mean, ShouldBeBetween, 99, 115)
		})
		Convey("an answer longer than its hint is expected to go on, up to its cap", func() {
			So(h.Remaining(testKey, 10, 300, 299), ShouldEqual, 1)
			So(h.Remaining(testKey, 10, 0, 500), ShouldBeGreaterThan, 0)
		})
	})
}
