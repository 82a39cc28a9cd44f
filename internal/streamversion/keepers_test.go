package streamversion

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/member"
)

// testMembers returns n members in the given number of availability zones.
func testMembers(n, zones int) (all []member.Member) {
	for i := range n {
		all = append(all, member.Member{Name: fmt.Sprintf("n%03d", i), Region: "r", AvailabilityZone: fmt.Sprint("z", i%zones)})
	}
	return all
}

func keepersOf(self string, group uint64, members []member.Member) []string {
	view := member.NewView(self, slices.Clone(members))
	return rankKeepers(candidatesOf(view, "r"), self, group).asked
}

// Guards against: the daemon that is asked does not ask the daemons that were told.
func TestKeepers(t *testing.T) {
	members := testMembers(60, 3)
	Convey("All daemons ask those that any daemon has told, besides the asker and the teller", t, func() {
		for group := range uint64(keeperGroups) {
			for _, teller := range []string{"n001", "n017", "n059"} {
				told := keepersOf(teller, group, members)[:keepersTold]
				for _, asker := range members {
					asked := append(keepersOf(asker.Name, group, members), asker.Name)
					for _, name := range told {
						So(asked, ShouldContain, name)
					}
				}
			}
		}
	})
	Convey("Those that were told are in different availability zones", t, func() {
		for group := range uint64(keeperGroups) {
			zones := map[byte]bool{}
			for _, name := range keepersOf("x", group, members)[:keepersTold] {
				var i int
				_, _ = fmt.Sscanf(name, "n%d", &i)
				zones[byte(i%3)] = true
			}
			So(zones, ShouldHaveLength, keepersTold)
		}
	})
	Convey("The survivors of those that were told are asked after deaths and returns", t, func() {
		for group := range uint64(keeperGroups) {
			told := keepersOf("n001", group, members)[:keepersTold]
			left := slices.Clone(members)
			for i := range left {
				if left[i].Name == told[0] || left[i].Name == told[1] {
					left[i].State = member.Dead
				}
			}
			So(append(keepersOf("n002", group, left), "n002"), ShouldContain, told[2])
			So(keepersOf("n002", group, left), ShouldNotContain, told[0])
			more := append(slices.Clone(members), testMembers(63, 3)[60:]...)
			So(append(keepersOf("n002", group, more), "n002"), ShouldContain, told[2])
		}
	})
	Convey("A daemon of a large fleet tells few others in all", t, func() {
		told := map[string]bool{}
		for group := range uint64(keeperGroups) {
			for _, name := range keepersOf("n001", group, testMembers(390, 15))[:keepersTold] {
				told[name] = true
			}
		}
		So(len(told), ShouldBeLessThanOrEqualTo, keeperGroups*keepersTold)
	})
	Convey("Other regions keep nothing, and a lone daemon has no keepers", t, func() {
		far := []member.Member{{Name: "a", Region: "far"}, {Name: "b", Region: "r"}}
		So(keepersOf("b", 0, far), ShouldBeEmpty)
	})
}
