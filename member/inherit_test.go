package member

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an owner that differs between daemons that have seen different older views.
func TestInheritedOwnersAreThoseOfTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := map[string]Member{}
		n := rapid.IntRange(1, 40).Draw(t, "members")
		draw := func(name string) Member {
			return Member{
				Name: name, Region: rapid.SampledFrom([]string{"north", "north", "north", "south"}).Draw(t, "region"),
				State:       rapid.SampledFrom([]State{Alive, Alive, Alive, Suspect, Leaving, Dead}).Draw(t, "state"),
				Weight:      rapid.SampledFrom([]uint32{0, 0, 400, 2000}).Draw(t, "weight"),
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			}
		}
		for i := range n {
			name := fmt.Sprintf("entry-%02d", i)
			members[name] = draw(name)
		}
		view := func() *View {
			var all []Member
			for _, m := range members {
				all = append(all, m)
			}
			return NewView("entry-00", all)
		}
		v := view()
		for range rapid.IntRange(1, 12).Draw(t, "views") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				name := fmt.Sprintf("entry-%02d", rapid.IntRange(0, n+3).Draw(t, "member"))
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					delete(members, name)
				} else {
					members[name] = draw(name)
				}
			}
			next := view()
			next.inheritOwners(v)
			v = next
			for p := range rapid.IntRange(0, 30).Draw(t, "pools") {
				for _, region := range []string{"north", "south"} {
					pool := fmt.Sprint("pool-", p)
					got, found := v.Owner(pool, region)
					want, exists := v.computeOwner(pool, region)
					if found != exists || got != want {
						t.Fatalf("%s in %s is owned by %+v, want %+v", pool, region, got, want)
					}
				}
			}
		}
	})
}
