package estimate

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHints(t *testing.T) {
	Convey("Given hints of which nothing has been seen", t, func() {
		h := NewHints()
		Convey("a hint is taken as it is, with twice as much reserved, under the cap", func() {
			So(h.Estimate(testKey, 100, 0), ShouldResemble, Length{Mean: 100, High: 200})
			So(h.Estimate(testKey, 100, 150), ShouldResemble, Length{Mean: 100, High: 150})
			So(h.Estimate(testKey, 100, 50), ShouldResemble, Length{Mean: 50, High: 50})
		})
		Convey("answers half as long as their hints halve the others", func() {
			for range minSamples {
				h.Observe(testKey, 40, 20)
			}
			So(h.Estimate(testKey, 1000, 0), ShouldResemble, Length{Mean: 500, High: 500})
			So(h.Remaining(testKey, 1000, 0, 100), ShouldEqual, 400)
		})
		Convey("one hint that is far off says little of the others", func() {
			for range windowSize - 1 {
				h.Observe(testKey, 100, 100)
			}
			h.Observe(testKey, 1, 100_000)
			So(h.Estimate(testKey, 100, 0).Mean, ShouldBeBetween, 99, 115)
		})
		Convey("an answer that outgrew its hint goes on, up to its cap", func() {
			So(h.Remaining(testKey, 10, 300, 299), ShouldEqual, 1)
			So(h.Remaining(testKey, 10, 0, 500), ShouldBeGreaterThan, 0)
		})
	})
}
