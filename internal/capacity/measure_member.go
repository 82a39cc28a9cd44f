package capacity

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/member/membertest"
)

// Names of the membership series.
const (
	seriesMemberBytes    = "member_bytes_per_second_by_members"
	seriesMemberMaxBytes = "member_worst_bytes_per_second_by_members"
	seriesMemberMessages = "member_messages_per_second_by_members"
	seriesMemberCPU      = "member_cpu_by_members"
	seriesMemberHeap     = "member_heap_by_members"
	seriesRegionDetect   = "member_kill_to_dead_seconds_by_members"
	seriesClusterDetect  = "member_kill_to_all_seconds_by_members"
	seriesJoin           = "member_join_seconds_by_members"
)

// memberVirtualTime is the virtual time over which the idle cost is measured.
const (
	memberVirtualTime = 60 * time.Second
	memberSeed        = 1
)

// measureMembers measures membership with 10 to 390 members.
func measureMembers(_ context.Context, m *Measurements) error {
	series := map[string][]Point{}
	add := func(name string, x int, y float64) { series[name] = append(series[name], Point{float64(x), y}) }
	for _, size := range []struct{ members, regions int }{{10, 1}, {50, 1}, {100, 2}, {200, 3}, {390, 6}} {
		c, err := membertest.Measure(size.members, size.regions, memberVirtualTime, memberSeed)
		if err != nil {
			return errors.Wrapf(err, "%d members", size.members)
		}
		n := size.members
		add(seriesMemberBytes, n, c.BytesPerSecond)
		add(seriesMemberMaxBytes, n, c.WorstBytesPerSecond)
		add(seriesMemberMessages, n, c.MessagesPerSecond)
		add(seriesMemberCPU, n, c.CPU)
		add(seriesMemberHeap, n, c.HeapBytes)
		add(seriesRegionDetect, n, c.RegionDetectTime.Seconds())
		add(seriesClusterDetect, n, c.ClusterDetectTime.Seconds())
		add(seriesJoin, n, c.JoinTime.Seconds())
	}
	for _, s := range []struct{ name, what, unit string }{
		{seriesMemberBytes, "membership messages of one member, both ways, in a quiet time", "B/s"},
		{seriesMemberMaxBytes, "the same on the member that pays most", "B/s"},
		{seriesMemberMessages, "membership messages of one member, both ways", "messages/s"},
		{seriesMemberCPU, "processor time of one member's machine and encoding", "cores"},
		{seriesMemberHeap, "live heap of one member's machine", "B"},
		{seriesRegionDetect, "from a kill until the whole region believes it (virtual time)", "s"},
		{seriesClusterDetect, "from a kill until everybody believes it (virtual time)", "s"},
		{seriesJoin, "from a restart until everybody knows (virtual time)", "s"},
	} {
		m.Add(NewSeries(s.name, s.what, "members", s.unit, series[s.name]))
	}
	return nil
}
