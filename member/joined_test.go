package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/member/membertest"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a daemon that, just after its start, grants slots of pools that others
// own.
func TestJoined(t *testing.T) {
	Convey("Given a member that starts beside a running cluster", t, func() {
		c := membertest.New(9, 1, 1)
		for _, d := range c.Nodes[:8] {
			d.Start()
		}
		_, ok := c.RunUntil(convergeTimeout, func() bool { return len(c.Nodes[0].View.Members) == 8 })
		So(ok, ShouldBeTrue)
		joiner := c.Nodes[8]

		Convey("it has joined once it knows the others", func() {
			joiner.Start()
			So(joiner.Machine.Joined(), ShouldBeFalse)
			_, ok := c.RunUntil(convergeTimeout, joiner.Machine.Joined)
			So(ok, ShouldBeTrue)
			So(len(joiner.View.Members), ShouldEqual, 9)
		})
		Convey("it has joined after JoinTimeout when nobody answers", func() {
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
		"no other address":               {joined: true},
		"its own address only":           {seeds: []string{"10.0.0.1:1"}, vmList: []string{"10.0.0.1:1"}, joined: true},
		"another seed":                   {seeds: []string{"10.0.0.2:1"}},
		"another address in the VM list": {vmList: []string{"10.0.0.1:1", "10.0.0.2:1"}},
	} {
		Convey("Given a member with "+name, t, func() {
			now := time.Unix(1000, 0)
			m, err := member.NewMachine(member.Config{
				Self:  member.Member{Name: "a", Address: "10.0.0.1:1", Region: "r", Incarnation: 1},
				Seeds: c.seeds,
			}, now, rand.New(rand.NewPCG(1, 1)))
			So(err, ShouldBeNil)
			m.Tick(now)
			So(m.Joined(), ShouldBeFalse) // the VM list has not been read yet
			m.SetCandidates(c.vmList)
			So(m.Joined(), ShouldEqual, c.joined)
			m.Tick(now.Add(member.JoinTimeout))
			So(m.Joined(), ShouldBeTrue)
		})
	}
}
