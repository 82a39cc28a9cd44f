package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/broker"
)

// progressRecorder records when progress was reported.
type progressRecorder struct {
	broker.Grant
	now      time.Time
	at       []time.Duration
	perToken []time.Duration
}

func (r *progressRecorder) Progress(_ time.Duration, _ int, perToken time.Duration) {
	r.at = append(r.at, r.now.Sub(time.Unix(1000, 0)))
	r.perToken = append(r.perToken, perToken)
}

// Guards against: progress reports of long answers are most of the messages between daemons.
func TestProgressReportInterval(t *testing.T) {
	Convey("Given an answer of 273 tokens at 62 ms", t, func() {
		start := time.Unix(1000, 0)
		r := &progressRecorder{}
		a := &answer{x: &exchange{entry: &Entry{limits: Limits{ProgressInterval: DefaultProgressInterval}}}, grant: r}
		a.sent, a.first = start, start
		for i := range 273 {
			r.now = start.Add(time.Duration(i) * 62 * time.Millisecond)
			a.tokens = i + 1
			a.reportProgress(r.now)
		}
		So(len(r.at), ShouldEqual, 7)
		So(ProgressReports(272*62*time.Millisecond), ShouldEqual, 7)
		for i, due := range []float64{0, 0.5, 1.5, 3.5, 7.5, 11.5, 15.5} {
			So(r.at[i].Seconds(), ShouldAlmostEqual, due, 0.4)
		}
		for _, per := range r.perToken[1:] {
			So(per, ShouldEqual, 62*time.Millisecond)
		}
	})
}
