package capacity

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The committed page and the measurements file that it is rendered from.
const (
	pageFile         = "../../docs/CAPACITY.md"
	measurementsFile = "../../docs/measurements/capacity.json"
)

// Guards against a page whose tables no longer follow from the measurements file.
func TestPageMatchesMeasurements(t *testing.T) {
	Convey("Rendering the measurements file reproduces the page", t, func() {
		m, err := ReadFile(measurementsFile)
		So(err, ShouldBeNil)
		page, err := os.ReadFile(pageFile)
		So(err, ShouldBeNil)
		rendered, err := Render(string(page), m)
		So(err, ShouldBeNil)
		So(rendered, ShouldEqual, string(page))
	})
	Convey("A changed measurement changes the page", t, func() {
		m, err := ReadFile(measurementsFile)
		So(err, ShouldBeNil)
		page, err := os.ReadFile(pageFile)
		So(err, ShouldBeNil)
		s := m.Series[seriesMemberBytes]
		s.Points[0].Y *= 1.5
		rendered, err := Render(string(page), m)
		So(err, ShouldBeNil)
		So(rendered, ShouldNotEqual, string(page))
	})
	Convey("The fitted lines match their points", t, func() {
		m, err := ReadFile(measurementsFile)
		So(err, ShouldBeNil)
		for name, s := range m.Series {
			again := NewSeries(name, s.Description, s.XUnit, s.YUnit, s.Points)
			So(again.Slope, ShouldAlmostEqual, s.Slope, 1e-9+1e-6*s.Slope*s.Slope)
		}
	})
}

func TestSeries(t *testing.T) {
	Convey("Values are interpolated between points and extrapolated above them", t, func() {
		s := NewSeries("n", "w", "x", "y", []Point{{30, 60}, {10, 20}})
		So(s.Slope, ShouldAlmostEqual, 2)
		So(s.At(20), ShouldAlmostEqual, 40)
		So(s.At(50), ShouldAlmostEqual, 100)
		So(s.At(0), ShouldAlmostEqual, 20)
	})
	Convey("The fullest node owns at least the mean number of pools", t, func() {
		for _, size := range Sizes() {
			So(size.MaxPoolsPerNode(), ShouldBeGreaterThanOrEqualTo, size.PoolsPerRegion()/size.NodesPerRegion())
			So(size.MaxPoolsPerNode(), ShouldBeLessThanOrEqualTo, size.PoolsPerRegion())
			So(size.HotPoolServers(), ShouldBeLessThanOrEqualTo, maxPoolServers)
		}
	})
}
