package retry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	Convey("Retries are earned by requests and bounded", t, func() {
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

// In any span the retries are at most the share of that span's requests plus
// what can be saved up, whatever came before.
func TestBudgetBoundsEveryInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		burst := rapid.Float64Range(0, 10).Draw(t, "burst")
		steps := rapid.SliceOf(rapid.Bool()).Draw(t, "steps") // true: a request
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
			t.Fatalf("%d retries of %d requests", retries, requests)
		}
	})
}
