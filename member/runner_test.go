package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/member/membertest"
	. "github.com/smartystreets/goconvey/convey"
)

// patience bounds every wait for something that must happen in real time.
const patience = 30 * time.Second

func eventually(cond func() bool) bool {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	end := time.After(patience)
	for !cond() {
		select {
		case <-tick.C:
		case <-end:
			return false
		}
	}
	return true
}

func TestDaemonsOverTCP(t *testing.T) {
	// Guards against this: members never meet, or a dead one keeps its pools.
	Convey("Given five daemons on real connections", t, func() {
		const n = 5
		var daemons []*membertest.Daemon
		seeds := []string{"127.0.0.1:1"}
		for i := range n {
			d, err := membertest.StartDaemon(fmt.Sprintf("entry-%d", i), "region", seeds)
			So(err, ShouldBeNil)
			daemons = append(daemons, d)
			seeds = append(seeds, d.Address())
		}
		all := func(s member.State, want int) func() bool {
			return func() bool {
				for _, d := range daemons {
					if d.Knows(s) != want {
						return false
					}
				}
				return true
			}
		}
		So(eventually(all(member.Alive, n)), ShouldBeTrue)

		daemons[1].Runner.Leave()
		So(eventually(all(member.Leaving, 1)), ShouldBeTrue)
		gone := daemons[n-1]
		daemons = daemons[:n-1]
		gone.Transport.Close() // as when its process is killed
		So(eventually(all(member.Dead, 1)), ShouldBeTrue)
		again, err := membertest.StartDaemon(fmt.Sprintf("entry-%d", n-1), "region", seeds[:3])
		So(err, ShouldBeNil)
		daemons = append(daemons, again)
		So(eventually(all(member.Dead, 0)), ShouldBeTrue)
		So(eventually(all(member.Alive, n-1)), ShouldBeTrue)
		gone.Runner.Close()
		for _, d := range daemons {
			d.Close()
		}
	})
}
