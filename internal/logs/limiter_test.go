package logs

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLimiter(t *testing.T) {
	Convey("The lines per second are limited; the next allowed line gets the number omitted", t, func() {
		l, now := NewLimiter(2), time.Unix(1000, 0)
		allow := func(at time.Duration) (int, bool) { return l.Allow(now.Add(at)) }
		for range 2 {
			omitted, ok := allow(0)
			So(ok, ShouldBeTrue)
			So(omitted, ShouldEqual, 0)
		}
		for range 3 {
			_, ok := allow(999 * time.Millisecond)
			So(ok, ShouldBeFalse)
		}
		omitted, ok := allow(time.Second)
		So(ok, ShouldBeTrue)
		So(omitted, ShouldEqual, 3)
		omitted, _ = allow(time.Second)
		So(omitted, ShouldEqual, 0)
	})
}
