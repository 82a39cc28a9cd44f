package poolhost

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
)

// Guards against counters that don't show which tier was refused while another ran.
func TestCountsGrantsAndRefusalsByTier(t *testing.T) {
	Convey("Grants and refusals since the last summary are counted by tier", t, func() {
		b := newHarness("p")
		b.host.Tick()
		r := b.host.Owned("p")
		r.post(pool.Enqueue{Request: "high", Entry: "e", DeadlineIn: time.Minute})
		r.post(pool.Enqueue{Request: "low", Entry: "e", Tier: 2, DeadlineIn: -1})
		for range 2 {
			b.now = b.now.Add(SummaryInterval)
			b.host.Tick()
		}
		var text strings.Builder
		b.host.cfg.Metrics.WriteText(&text)
		So(text.String(), ShouldContainSubstring, "pool_granted{name=\"tier_0\"} 1\n")
		So(text.String(), ShouldContainSubstring, "pool_granted_extra{name=\"tier_0\"} 0\n")
		So(text.String(), ShouldContainSubstring, "pool_expired{name=\"tier_2\"} 1\n")
		So(text.String(), ShouldContainSubstring, "pool_granted{name=\"tier_2\"} 0\n")
	})
}
