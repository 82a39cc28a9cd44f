package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	Convey("Requests earn retries up to the burst", t, func() {
		b := NewBudget(0.5, 2)
		So(b.Take(), ShouldBeTrue)
		So(b.Take(), ShouldBeTrue)
		So(b.Take(), ShouldBeFalse)
		b.RecordRequest()
		So(b.Take(), ShouldBeFalse)
		b.RecordRequest()
		So(b.Take(), ShouldBeTrue)
		for range 100 {
			b.RecordRequest()
		}
		b.SetBurst(1)
		So(b.Take(), ShouldBeTrue)
		So(b.Take(), ShouldBeFalse)
	})
}

// Guards against retry storms: in any interval the retries are at most the earned ones plus the burst.
func TestBudgetBoundsEveryInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		burst := rapid.Float64Range(0, 10).Draw(t, "burst")
		steps := rapid.SliceOf(rapid.Bool()).Draw(t, "steps") // true: a request; false: a retry
		from := rapid.IntRange(0, len(steps)).Draw(t, "from")
		b := NewBudget(ratio, burst)
		requests, retries := 0, 0
		for i, request := range steps {
			switch {
			case request:
				b.RecordRequest()
			case b.Take() && i >= from:
				retries++
			}
			if request && i >= from {
				requests++
			}
		}
		if float64(retries) > ratio*float64(requests)+burst+1e-9 {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}
