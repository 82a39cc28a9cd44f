package member

import (
	"fmt"
	"testing"
)

// BenchmarkOwners looks up the owners of 94 pools among 302 members, as daemons do
// several times a second.
func BenchmarkOwners(b *testing.B) {
	members := make([]Member, 302)
	for i := range members {
		members[i] = Member{Name: fmt.Sprint("vm-", i), Region: "r", State: Alive}
	}
	v := NewView("vm-0", members)
	for b.Loop() {
		for p := range 94 {
			if _, ok := v.Owner(fmt.Sprint("pool#", p), "r"); !ok {
				b.Fatal("no owner")
			}
		}
	}
}

// BenchmarkOwnersWhileMembersJoin looks up the owners of 94 pools after each of 302 members
// has joined.
func BenchmarkOwnersWhileMembersJoin(b *testing.B) {
	const n = 302
	for b.Loop() {
		var current CurrentView
		for joined := 1; joined <= n; joined++ {
			members := make([]Member, joined)
			for i := range members {
				members[i] = Member{Name: fmt.Sprint("vm-", i), Region: "r", State: Alive}
			}
			v := NewView("vm-0", members)
			v.inheritOwners(current.Load())
			current.Store(v)
			for p := range 94 {
				v.Owner(fmt.Sprint("pool#", p), "r")
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/n, "µs/view")
}
