package member

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestOwnerIsStable checks that a change of one member moves only pools from or to it,
// and that leaving and dead members own none.
func TestOwnerIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "members")
		var members []Member
		for i := range n {
			members = append(members, Member{
				Name:   fmt.Sprintf("entry-%d", i),
				Region: rapid.SampledFrom([]string{"north", "south"}).Draw(t, "region"),
				State:  rapid.SampledFrom([]State{Alive, Suspect, Leaving, Dead}).Draw(t, "state"),
			})
		}
		changed := rapid.IntRange(0, n-1).Draw(t, "changed")
		before := NewView("entry-0", append([]Member{}, members...))
		members[changed].State = rapid.SampledFrom([]State{Alive, Dead}).Draw(t, "to")
		after := NewView("entry-0", append([]Member{}, members...))
		for p := range 50 {
			pool := fmt.Sprintf("pool-%d", p)
			was, had := before.Owner(pool, "north")
			is, has := after.Owner(pool, "north")
			name := members[changed].Name
			if had && has && was.Name != is.Name && was.Name != name && is.Name != name {
				t.Fatalf("%s moved from %s to %s when %s changed", pool, was.Name, is.Name, name)
			}
			if has && (is.Region != "north" || is.State == Leaving || is.State == Dead) {
				t.Fatalf("%s is owned by %+v", pool, is)
			}
		}
	})
}
