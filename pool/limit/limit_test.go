package limit

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// simulate runs an algorithm against a server whose time per token grows like an
// engine's step time: 10 ms plus 1.5 ms for each running request. target is in ms.
func simulate(a Algorithm, target float64, rounds int) {
	for range rounds {
		n := float64(int(a.Limit()))
		for range int(n) {
			a.Observe(Sample{Ratio: (10 + 1.5*n) / target, Used: n})
		}
	}
}

func TestLimitConvergesToKnee(t *testing.T) {
	Convey("With a target of 62 ms, reached at 34 running requests, a limit converges near it", t, func() {
		for _, name := range []Name{AIMD, Gradient} {
			a := New(name, Bounds{Min: 1, Max: 64, Start: 64})
			simulate(a, 62, 60)
			So(a.Limit(), ShouldBeBetween, 20, 36)

			Convey("With "+string(name)+" the limit of a server that slows down falls, and rises again once it has recovered", func() {
				simulate(a, 25, 60)
				So(a.Limit(), ShouldBeBetween, 3, 11)
				simulate(a, 62, 300)
				So(a.Limit(), ShouldBeBetween, 20, 36)
			})
		}
	})
	Convey("A limit that is not in use does not rise", t, func() {
		for _, name := range []Name{AIMD, Gradient} {
			a := New(name, Bounds{Min: 1, Max: 64, Start: 20})
			for range 1000 {
				a.Observe(Sample{Ratio: 0.2, Used: 3})
			}
			So(a.Limit(), ShouldEqual, 20)
		}
	})
	Convey("A limit stays within its bounds", t, func() {
		for _, name := range []Name{"", AIMD, Gradient} {
			a := New(name, Bounds{Min: 2, Max: 9, Start: 100})
			So(a.Limit(), ShouldEqual, 9)
			for range 1000 {
				a.Observe(Sample{Ratio: 50, Used: a.Limit()})
			}
			So(a.Limit(), ShouldEqual, 2)
		}
	})
	Convey("Unknown names are not valid", t, func() {
		So(Name("vegas").Valid(), ShouldBeFalse)
		So(Default.Valid(), ShouldBeTrue)
	})
}
