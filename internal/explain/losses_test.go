package explain

import (
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// refusalLine returns the log line of a refusal.
func refusalLine(second int, reason, workspace string, tier, retryAfterMs int) string {
	return fmt.Sprintf(`vm-1 {"msg":"Refused.","part":"forward","time":"2026-01-01T00:00:%02d.5Z","reason":%q,"route":"r","workspace":%q,"tier":%d,"total_ms":20,"retry_after_ms":%d}`+"\n",
		second, reason, workspace, tier, retryAfterMs)
}

func TestLossesOfARecordedLog(t *testing.T) {
	Convey("Answers, cut streams, refusals, failed sends and starts are counted", t, func() {
		f, err := os.Open("testdata/day.log")
		So(err, ShouldBeNil)
		defer f.Close()
		c := NewLossCollector()
		So(c.Read("day.log", f), ShouldBeNil)
		losses := c.Losses()
		So([]int{losses.Answered, losses.Cut, losses.Skipped}, ShouldResemble, []int{1, 1, 2})
		So(losses.Refusals, ShouldHaveLength, 1)
		So(losses.Refusals[0].Reason, ShouldEqual, "engine_lost")
		So(losses.Refusals[0].Tier, ShouldEqual, -1)
		So(losses.Servers[1], ShouldResemble, ServerFailures{"i-1", "lost", 1})
		So(losses.Starts, ShouldHaveLength, 1)
		So(losses.Starts[0].FirstMs, ShouldEqual, 10_000)
	})
	Convey("Refusals are counted by kind and by second, with percentiles of retry-after times", t, func() {
		c := NewLossCollector()
		log := refusalLine(1, "shed", "a", 2, 500) + refusalLine(1, "shed", "a", 2, 700) + refusalLine(3, "workspace_limit", "b", 1, 50)
		So(c.Read("x.log", strings.NewReader(log)), ShouldBeNil)
		losses := c.Losses()
		So(losses.Refusals[0].Count, ShouldEqual, 2)
		So(losses.Refusals[0].HeldMs, ShouldEqual, 20)
		So(losses.Refusals[0].RetryAfterMs[0], ShouldAlmostEqual, 500, 5)
		So(losses.Refusals[0].RetryAfterMs[2], ShouldAlmostEqual, 700, 7)
		So(losses.Seconds, ShouldHaveLength, 2)
		So(losses.Seconds[0].Reasons, ShouldResemble, map[string]int{"shed": 2})
	})
	Convey("Retries are counted by second and service", t, func() {
		line := func(second int, msg, service string, sinceAllowedMs int) string {
			return fmt.Sprintf(`vm-1 {"msg":%q,"part":"forward","time":"2026-01-01T00:00:%02d.5Z","service":%q,"since_allowed_ms":%d}`+"\n", msg, second, service, sinceAllowedMs)
		}
		c := NewLossCollector()
		log := line(2, "Retry sent.", "a", 900) + line(1, "Retry allowed.", "a", 0) + line(1, "Retry denied.", "b", 0) + line(2, "Retry sent.", "a", 30)
		So(c.Read("x.log", strings.NewReader(log)), ShouldBeNil)
		retries := c.Losses().Retries
		So(retries, ShouldHaveLength, 3)
		So([]int{retries[0].Allowed, retries[1].Denied, retries[2].Sent, retries[2].WaitMs}, ShouldResemble, []int{1, 1, 2, 900})
		So([]string{retries[0].Service, retries[1].Service}, ShouldResemble, []string{"a", "b"})
	})
	Convey("Classes are sorted by the share of answered requests, smallest first", t, func() {
		answer := `vm-1 {"msg":"Answered.","part":"forward","time":"2026-01-01T00:00:01Z","route":"r","tier":1}` + "\n"
		c := NewLossCollector()
		So(c.Read("x.log", strings.NewReader(refusalLine(1, "shed", "a", 2, 500)+answer+answer+refusalLine(1, "shed", "a", 1, 500))), ShouldBeNil)
		losses := c.Losses()
		So(losses.Classes, ShouldResemble, []Class{{Route: "r", Tier: 2, Refused: 1}, {Route: "r", Tier: 1, Answered: 2, Refused: 1}})
		So(losses.Classes[1].Served(), ShouldAlmostEqual, 2.0/3)
	})
	Convey("Grants and refusals of all pools within a second are added up by tier", t, func() {
		line := func(pool string, second int) string {
			return fmt.Sprintf(`vm-1 {"msg":"Pool is crowded.","part":"poolhost","time":"2026-01-01T00:00:%02d.2Z","pool":%q,"tier_granted":[3,1],"tier_granted_late":[1,0],"tier_shed":[0,5],"tier_expired":[0,1],"tier_slot_ms":[900,40]}`+"\n", second, pool)
		}
		c := NewLossCollector()
		So(c.Read("x.log", strings.NewReader(line("a", 7)+line("b", 7)+line("a", 8))), ShouldBeNil)
		losses := c.Losses()
		So(losses.PoolSeconds, ShouldHaveLength, 2)
		So(losses.PoolSeconds[0].Granted[:2], ShouldResemble, []int{6, 2})
		So(losses.PoolSeconds[0].GrantedLate[:2], ShouldResemble, []int{2, 0})
		So(losses.PoolSeconds[0].Shed[:2], ShouldResemble, []int{0, 10})
		So(losses.PoolSeconds[0].Expired[:2], ShouldResemble, []int{0, 2})
		So(losses.PoolSeconds[1].SlotMs[:2], ShouldResemble, []int{900, 40})
	})
	Convey("Long-running requests without an end are listed by VM", t, func() {
		line := func(vm, message, id string) string {
			return fmt.Sprintf(`%s {"msg":%q,"part":"forward","time":"2026-01-01T00:00:01Z","request":%q,"server":"i-1"}`+"\n", vm, message, id)
		}
		c := NewLossCollector()
		So(c.Read("x.log", strings.NewReader(
			line("vm-1", "Still running.", "a")+line("vm-1", "Still running.", "b")+line("vm-2", "Still running.", "a")+
				line("vm-1", "Answered.", "b")+line("vm-2", "Stream cut.", "a"))), ShouldBeNil)
		losses := c.Losses()
		So(losses.Unended, ShouldHaveLength, 1)
		So([]string{losses.Unended[0].VM, losses.Unended[0].Request, losses.Unended[0].Server}, ShouldResemble, []string{"vm-1", "a", "i-1"})
	})
	Convey("The number of rows is bounded for any number of kinds", t, func() {
		c := NewLossCollector()
		for i := range maxRows + 10 {
			So(c.Read("x.log", strings.NewReader(refusalLine(1, "shed", fmt.Sprint(i), 2, 500))), ShouldBeNil)
		}
		losses := c.Losses()
		So(len(losses.Refusals), ShouldEqual, maxRows+1)
		So(losses.Refusals[0].Reason, ShouldEqual, othersRow)
		So(losses.Refusals[0].Count, ShouldEqual, 10)
	})
}
