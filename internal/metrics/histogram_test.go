package metrics

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestHistogramsAndText(t *testing.T) {
	Convey("Durations are recorded and written together with the counters", t, func() {
		r := New()
		r.Counter("refusals", "shed").Add(3)
		h := r.Histogram("latency", "first_event")
		So(r.Histogram("latency", "first_event"), ShouldEqual, h)
		for i := range 100 {
			h.Observe(time.Duration(i+1) * time.Millisecond)
		}
		h.Observe(-time.Second)
		h.Observe(time.Hour)
		var sb strings.Builder
		r.WriteText(&sb)
		So(sb.String(), ShouldContainSubstring, "refusals{name=\"shed\"} 3\n")
		So(sb.String(), ShouldContainSubstring, "latency_count{name=\"first_event\"} 102\n")
		So(h.summary().Quantiles["50"], ShouldBeBetween, 48, 53)
		So(r.JSON(), ShouldContainSubstring, `"quantiles_ms"`)
	})
}
