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
		_, ok := c.RunUntil(healLimit, func() bool { return len(c.Nodes[0].View.Members) == 8 })
		So(ok, ShouldBeTrue)
		late := c.Nodes[8]

		Convey("it has joined when it knows them", func() {
			late.Start()
			So(late.Machine.Joined(), ShouldBeFalse)
			_, ok := c.RunUntil(healLimit, late.Machine.Joined)
			So(ok, ShouldBeTrue)
			So(len(late.View.Members), ShouldEqual, 9)
		})
		Convey("it goes on alone when nobody answers for a while", func() {
			for _, d := range c.Nodes[:8] {
				d.Kill()
			}
			late.Start()
			took, ok := c.RunUntil(healLimit, late.Machine.Joined)
			So(ok, ShouldBeTrue)
			So(took, ShouldBeBetweenOrEqual, member.JoinPatience-member.TickInterval, member.JoinPatience+member.TickInterval)
		})
	})
	for name, c := range map[string]struct {
		seeds, list []string
		joined      bool
	}{
		"nobody to ask":               {joined: true},
		"itself only":                 {seeds: []string{"10.0.0.1:1"}, list: []string{"10.0.0.1:1"}, joined: true},
		"a seed":                      {seeds: []string{"10.0.0.2:1"}},
		"a VM of the platform's list": {list: []string{"10.0.0.1:1", "10.0.0.2:1"}},
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
			m.Hints(c.list)
			So(m.Joined(), ShouldEqual, c.joined)
			m.Tick(now.Add(member.JoinPatience))
			So(m.Joined(), ShouldBeTrue)
		})
	}
}
