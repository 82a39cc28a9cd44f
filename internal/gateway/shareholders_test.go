package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/member"
)

// Guards against a network partition each side of which divides the whole quota after it has
// declared the other dead.
func TestLostDaemonsKeepTheirShare(t *testing.T) {
	now := time.Unix(1000, 0)
	view := func(states ...member.State) *member.View {
		v := &member.View{Self: "self", Members: []member.Member{{Name: "self", State: member.Alive}}}
		for i, s := range states {
			v.Members = append(v.Members, member.Member{Name: string(rune('a' + i)), State: s})
		}
		return v
	}
	Convey("A daemon that died without leaving keeps its share until the TTL ends", t, func() {
		s := newShareHolders()
		s.others(view(member.Alive, member.Suspect), now)
		So(s.others(view(member.Alive, member.Dead), now), ShouldResemble, []string{"a", "b"})
		So(s.due(now.Add(lostShareTTL-time.Second)), ShouldBeFalse)
		later := now.Add(lostShareTTL)
		So(s.due(later), ShouldBeTrue)
		So(s.others(view(member.Alive, member.Dead), later), ShouldResemble, []string{"a"})
		So(s.due(later), ShouldBeFalse)
	})
	Convey("A daemon that has left has no share, and one that returns has one", t, func() {
		s := newShareHolders()
		s.others(view(member.Leaving), now)
		So(s.others(view(member.Dead), now), ShouldBeEmpty)
		So(s.others(view(member.Alive), now), ShouldResemble, []string{"a"})
		So(s.others(view(member.Dead), now), ShouldResemble, []string{"a"})
	})
	Convey("A daemon cut off from all others uses its own share of the quota, not all of it", t, func() {
		q, _ := newTestQuotaSync("a1", zoneMembers(map[string]int{"a": 4}))
		q.tick(now)
		So(q.others, ShouldHaveLength, 3)
		dead := q.currentView.Load().Members
		lost := &member.View{Self: "a1"}
		for _, m := range dead {
			if m.Name != "a1" {
				m.State = member.Dead
			}
			lost.Members = append(lost.Members, m)
		}
		q.currentView.Store(lost)
		q.tick(now)
		So(q.others, ShouldHaveLength, 3)
		So(q.limiter.Share(), ShouldEqual, 0.25)
	})
}
