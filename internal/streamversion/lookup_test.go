package streamversion

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
)

// Guards against: a stream that began at a version that joined since the list of servers was
// proved goes on at the only version that was known.
func TestListFromBeforeTheTakeUpIsNotReliedUpon(t *testing.T) {
	Convey("Given a daemon whose list was proved just before a stream is taken up", t, func() {
		now, proved := start, start.Add(-time.Millisecond)
		h := NewHistory()
		h.Add(start.Add(-observed), "svc", "v1")
		cfg := Config{
			History: h, Metrics: metrics.New(), Now: func() time.Time { return now },
			ProofAge: func() (time.Duration, bool) { return now.Sub(proved), true },
		}
		lookup := func() (string, error) { return New(cfg).Lookup(context.Background(), testStream, testLife) }
		Convey("it is refused as long as no newer proof comes", func() {
			_, err := lookup()
			So(err, ShouldEqual, ErrNoAnswer)
		})
		Convey("it goes on once a newer one shows no other version", func() {
			cfg.Prove = func(context.Context) { now, proved = now.Add(time.Millisecond), now }
			version, err := lookup()
			So(err, ShouldBeNil)
			So(version, ShouldEqual, "v1")
		})
		Convey("it is refused for good if that shows another version", func() {
			cfg.Prove = func(context.Context) {
				h.Add(now, "svc", "v2")
				now, proved = now.Add(time.Millisecond), now
			}
			_, err := lookup()
			So(err, ShouldEqual, ErrUnknown)
		})
		Convey("a list that was proved long ago refuses nothing for good", func() {
			h.Add(start, "svc", "v2")
			proved = start.Add(-2 * maxProofAge)
			_, err := lookup()
			So(err, ShouldEqual, ErrNoAnswer)
		})
	})
}
