package decay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRate(t *testing.T) {
	Convey("A steady flow yields its rate, and old amounts decay", t, func() {
		r, now := Rate{TimeConstant: time.Second}, time.Unix(1000, 0)
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			r.Add(now, 3)
		}
		So(r.PerSecond(now), ShouldAlmostEqual, 300, 5)
		So(r.PerSecond(now.Add(time.Minute)), ShouldBeLessThan, 0.001)
	})
}
