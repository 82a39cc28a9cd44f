package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/member/membertest"
	. "github.com/smartystreets/goconvey/convey"
)

// eventuallyTimeout bounds each wait for a condition, in real time.
const eventuallyTimeout = 30 * time.Second

func eventually(cond func() bool) bool {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	end := time.After(eventuallyTimeout)
	for !cond() {
		select {
		case <-tick.C:
		case <-end:
			return false
		}
	}
	return true
}

func TestRunnersOverTCP(t *testing.T) {
	// Guards against members that don't find each other, and against a dead member that
	// keeps its pools.
	Convey("Given five daemons over real connections", t, func() {
		const n = 5
		var daemons []*membertest.Daemon
		seeds := []string{"127.0.0.1:1"}
		for i := range n {
			d, err := membertest.StartDaemon(fmt.Sprintf("entry-%d", i), "region", seeds)
			So(err, ShouldBeNil)
			daemons = append(daemons, d)
			seeds = append(seeds, d.Address())
		}
		allCount := func(s member.State, want int) func() bool {
			return func() bool {
				for _, d := range daemons {
					if d.CountInState(s) != want {
						return false
					}
				}
				return true
			}
		}
		So(eventually(allCount(member.Alive, n)), ShouldBeTrue)

		daemons[1].Runner.Leave()
		So(eventually(allCount(member.Leaving, 1)), ShouldBeTrue)
		killed := daemons[n-1]
		daemons = daemons[:n-1]
		killed.Transport.Close() // as if its process was killed
		So(eventually(allCount(member.Dead, 1)), ShouldBeTrue)
		restarted, err := membertest.StartDaemon(fmt.Sprintf("entry-%d", n-1), "region", seeds[:3])
		So(err, ShouldBeNil)
		daemons = append(daemons, restarted)
		So(eventually(allCount(member.Dead, 0)), ShouldBeTrue)
		So(eventually(allCount(member.Alive, n-1)), ShouldBeTrue)
		killed.Runner.Close()
		for _, d := range daemons {
			d.Close()
		}
	})
}
