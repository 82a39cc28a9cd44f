package streamversion

import (
	"context"
	"slices"
	"testing"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer/peertest"
	"github.com/lycheekeel/lycheekeel/member"
)

// BenchmarkRound measures what a change of the members costs a daemon of 390 that has no records.
func BenchmarkRound(b *testing.B) {
	net := peertest.NewNetwork()
	defer net.Close()
	k := New(Config{Region: "r", History: NewHistory(), Metrics: metrics.New()})
	view, members := &member.CurrentView{}, testMembers(390, 15)
	k.Join(net.Node("n001"), view, nil)
	b.ReportAllocs()
	for b.Loop() {
		view.Store(member.NewView("n001", slices.Clone(members)))
		k.handOn(context.Background())
	}
}
