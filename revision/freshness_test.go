package revision

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against requests with a revoked key that are accepted on a VM that was
// suspended.
func TestFreshnessAges(t *testing.T) {
	Convey("A confirmation is dated at the sending of the read, and only a newer one replaces it", t, func() {
		now := 100 * time.Second
		f := &Freshness{clock: func() time.Duration { return now }}
		So(f.Within(time.Hour), ShouldBeFalse)
		mark := f.Now()
		now += time.Second // the duration of the read
		f.Confirm(mark)
		age, ok := f.Age()
		So(ok, ShouldBeTrue)
		So(age, ShouldEqual, time.Second)
		f.Confirm(mark - time.Second) // the late answer of an older read
		So(f.Within(time.Second), ShouldBeTrue)
		now += 10 * time.Second // suspended time is included
		So(f.Within(5*time.Second), ShouldBeFalse)
	})
	Convey("The boot clock advances", t, func() {
		So(SinceBoot(), ShouldBeGreaterThan, time.Duration(0))
		// The wall clock is far larger and may jump.
		So(SinceBoot(), ShouldBeLessThan, time.Duration(time.Now().UnixNano())/2)
	})
}
