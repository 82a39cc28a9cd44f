package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/member/membertest"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against this: a daemon that has just started grants slots beside the pools' owners.
func TestJoined(t *testing.T) {
	Convey("Given a member that starts beside a running cluster", t, func() {
		c := membertest.New(9, 1, 1)
		for _, d := range c.Nodes[:8] {
			d.Start()
		}
		_, ok := c.RunUntil(convergeTimeout, func() bool { return len(c.Nodes[0].View.Members) == 8 })
		So(ok, ShouldBeTrue)
		joiner := c.Nodes[8]

		Convey("it has joined when it knows them", func() {
			joiner.Start()
			So(joiner.Machine.Joined(), ShouldBeFalse)
			_, ok := c.RunUntil(convergeTimeout, joiner.Machine.Joined)
			So(ok, ShouldBeTrue)
			So(len(joiner.View.Members), ShouldEqual, 9)
		})
		Convey("it goes on alone when nobody answers for a while", func() {
			for _, d := range c.Nodes[:8] {
				d.Kill()
			}
			joiner.Start()
			elapsed, ok := c.RunUntil(convergeTimeout, joiner.Machine.Joined)
			So(ok, ShouldBeTrue)
			So(elapsed, ShouldBeBetweenOrEqual, member.JoinTimeout-member.TickInterval, member.JoinTimeout+member.TickInterval)
		})
	})
	for name, c := range map[string]struct {
		seeds, vmList []string
		joined        bool
	}{
		"nobody to ask":               {joined: true},
		"itself only":                 {seeds: []string{"10.0.0.1:1"}, vmList: []string{"10.0.0.1:1"}, joined: true},
		"a seed":                      {seeds: []string{"10.0.0.2:1"}},
		"a VM of the platform's list": {vmList: []string{"10.0.0.1:1", "10.0.0.2:1"}},
	} {
		Convey("Given a member with "+name, t, func() {
			now := time.Unix(1000, 0)
			m, err := member.NewMachine(member.Config{
				Self:  member.Member{Name: "a", Address: "10.0.0.1:1", Region: "r", Incarnation: 1},
				Seeds: c.seeds,
			}, now, rand.New(rand.NewPCG(1, 1)))
			So(err, ShouldBeNil)
			m.Tick(now)
			So(m.Joined(), ShouldBeFalse) // the list is not there yet
			m.SetCandidates(c.vmList)
			So(m.Joined(), ShouldEqual, c.joined)
			m.Tick(now.Add(member.JoinTimeout))
			So(m.Joined(), ShouldBeTrue)
		})
	}
}
