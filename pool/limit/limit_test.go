package limit

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// simulate runs a law against a server whose time between tokens grows with
// what runs there: 10 ms and 1.5 ms more for each, as an engine's steps do.
func simulate(a Algorithm, target float64, rounds int) {
	for range rounds {
		n := float64(int(a.Limit()))
		for range int(n) {
			a.Observe(Sample{Ratio: (10 + 1.5*n) / target, Used: n})
		}
	}
}

func TestLimitConvergesToKnee(t *testing.T) {
	Convey("With a target of 62 ms the knee is at 34 running requests", t, func() {
		for _, name := range []Name{AIMD, Gradient} {
			a := New(name, Bounds{Min: 1, Max: 64, Start: 64})
			simulate(a, 62, 60)
			So(a.Limit(), ShouldBeBetween, 20, 36)

			Convey("With "+string(name)+" a slower server gets less, and its limit comes back after it has recovered", func() {
				simulate(a, 25, 60)
				So(a.Limit(), ShouldBeBetween, 3, 11)
				simulate(a, 62, 300)
				So(a.Limit(), ShouldBeBetween, 20, 36)
			})
		}
	})
	Convey("A limit that is not in use doesn't grow", t, func() {
		for _, name := range []Name{AIMD, Gradient} {
			a := New(name, Bounds{Min: 1, Max: 64, Start: 20})
			for range 1000 {
				a.Observe(Sample{Ratio: 0.2, Used: 3})
			}
			So(a.Limit(), ShouldEqual, 20)
		}
	})
	Convey("A limit stays in its bounds", t, func() {
		for _, name := range []Name{"", AIMD, Gradient} {
			a := New(name, Bounds{Min: 2, Max: 9, Start: 100})
			So(a.Limit(), ShouldEqual, 9)
			for range 1000 {
				a.Observe(Sample{Ratio: 50, Used: a.Limit()})
			}
			So(a.Limit(), ShouldEqual, 2)
		}
	})
	Convey("Names are checked", t, func() {
		So(Name("vegas").Valid(), ShouldBeFalse)
		So(Default.Valid(), ShouldBeTrue)
	})
}
