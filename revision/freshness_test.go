package revision

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this: requests of a withdrawn key run on a VM that was suspended.
func TestFreshnessAges(t *testing.T) {
	Convey("A proof counts from its sending, and only a newer one replaces it", t, func() {
		now := 100 * time.Second
		f := &Freshness{clock: func() time.Duration { return now }}
		So(f.Within(time.Hour), ShouldBeFalse)
		mark := f.Now()
		now += time.Second // the read takes its time
		f.Confirm(mark)
		age, ok := f.Age()
		So(ok, ShouldBeTrue)
		So(age, ShouldEqual, time.Second)
		f.Confirm(mark - time.Second) // an older read is answered late
		So(f.Within(time.Second), ShouldBeTrue)
		now += 10 * time.Second // suspended time counts
		So(f.Within(5*time.Second), ShouldBeFalse)
	})
	Convey("The boot clock runs", t, func() {
		So(SinceBoot(), ShouldBeGreaterThan, time.Duration(0))
		// It is not the time of day, which is far larger and may jump.
		So(SinceBoot(), ShouldBeLessThan, time.Duration(time.Now().UnixNano())/2)
	})
}
