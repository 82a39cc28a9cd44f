package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// convergeLimit is generous; no test depends on its value.
const convergeLimit = 30 * time.Second

// Guards against daemons that spend their core on rebuilding the pools of thousands of servers.
func TestPacingBoundsShareOfTime(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Work that was never done runs immediately", t, func() {
		So((&pacer{}).delay(now), ShouldEqual, 0)
	})
	Convey("The delay is proportional to the duration of the work, up to a bound", t, func() {
		for took, wait := range map[time.Duration]time.Duration{
			100 * time.Microsecond: 2 * time.Millisecond,
			7 * time.Millisecond:   140 * time.Millisecond,
			time.Second:            maxPacingDelay,
		} {
			p := pacer{}
			p.done(now.Add(-took), now)
			So(p.delay(now), ShouldEqual, wait)
			So(p.delay(now.Add(wait)), ShouldEqual, 0)
		}
	})
}

// Guards against changes of servers that are lost when a rebuild is postponed.
func TestLastOfManyChangesIsApplied(t *testing.T) {
	Convey("Given many changes of servers in quick succession", t, func() {
		snapshot := &workspace.CurrentSnapshot{}
		routes := &route.Live{}
		table, findings := route.Compile("test", route.Document{Version: 1, Services: []route.Service{{Name: "app"}}})
		So(findings, ShouldBeNil)
		routes.Update(table)
		s := newState(Platform{}, "r", routes, snapshot, quota.NewLimiter(time.Now, 1, quota.Tolerance{}), func(map[string]string) {}, metrics.New())
		const servers, rounds = 2 * pacingMinServers, 5
		revision := uint64(0)
		for round := range rounds {
			for i := range servers {
				revision++
				s.putServer(discovery.Server{
					ID: fmt.Sprint("s", i), Service: "app", Address: fmt.Sprint("10.0.0.1:", i), Slots: 1 + round,
					StartedAt: 1, Leaving: round == rounds-1 && i == 0,
				}, objectstore.Version(revision))
			}
		}
		testwait.Until(t, convergeLimit, "the last change is active", func() bool {
			slots := 0
			for _, p := range snapshot.Load().Pools {
				for _, b := range p.Servers {
					slots += b.Slots
				}
			}
			usable := *s.usable.Load()
			return slots == servers*rounds && usable["s0"].leaving
		})
	})
}
