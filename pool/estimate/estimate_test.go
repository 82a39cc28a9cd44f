package estimate

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var testKey = Key{Workspace: "w", Template: "t", Model: "m"}

func TestUnknownKeysUseTheCap(t *testing.T) {
	Convey("An answer with an unknown key is expected to be as long as its cap", t, func() {
		e := New()
		So(e.Estimate(testKey, 700), ShouldResemble, Length{Mean: 700, High: 700})
		So(e.Estimate(testKey, 0).High, ShouldEqual, defaultTokens)
		Convey("One short answer does not make the key known", func() {
			e.Observe(testKey, 5)
			So(e.Estimate(testKey, 700).High, ShouldEqual, 700)
			So(e.Estimate(testKey, 700).Known, ShouldBeFalse)
		})
		Convey("Enough answers of another workspace with the same template and model do", func() {
			for range minSamples {
				e.Observe(Key{Workspace: "other", Template: "t", Model: "m"}, 20)
			}
			So(e.Estimate(testKey, 700), ShouldResemble, Length{Mean: 20, High: 20, Known: true})
		})
	})
	Convey("The remaining length of an answer longer than most follows from the longer ones", t, func() {
		e := New()
		for _, n := range []int{10, 10, 10, 10, 10, 10, 10, 10, 300} {
			e.Observe(testKey, n)
		}
		So(e.Remaining(testKey, 1000, 20), ShouldEqual, 280)
		So(e.Remaining(testKey, 100, 20), ShouldEqual, 80)
		So(e.Remaining(testKey, 1000, 400), ShouldEqual, 300)
	})
	Convey("The number of keys is bounded", t, func() {
		e := New()
		for i := range 2 * maxKeys {
			e.Observe(Key{Workspace: fmt.Sprint(i)}, i)
		}
		So(e.histories.Len(), ShouldEqual, maxKeys)
	})
}

// TestQuantileOfTheWindow checks that quantile and mean are those of the last
// answers, up to the cap.
func TestQuantileOfTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, all := New(), rapid.SliceOfN(rapid.IntRange(1, 5000), minSamples, 3*windowSize).Draw(t, "lengths")
		for _, n := range all {
			e.Observe(testKey, n)
		}
		last := slices.Clone(all[max(0, len(all)-windowSize):])
		slices.Sort(last)
		sum := 0
		for _, n := range last {
			sum += n
		}
		limit := rapid.IntRange(1, 5000).Draw(t, "cap")
		l := e.Estimate(testKey, limit)
		if want := min(limit, last[int(highQuantile*float64(len(last)-1))]); l.High != want {
			t.Fatalf("High is %d, want %d", l.High, want)
		}
		if want := min(limit, sum/len(last)); l.Mean != want {
			t.Fatalf("Mean is %d, want %d", l.Mean, want)
		}
	})
}
