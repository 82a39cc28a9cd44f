package gateway

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

func TestPoolsOfAService(t *testing.T) {
	table, _ := route.Compile("test", route.Document{Services: []route.Service{{Name: "llm"}, {Name: "app"}}})
	servers := func(n int) []discovery.Server {
		out := []discovery.Server{{ID: "a-1", Service: "app"}, {ID: "x-1", Service: "gone"}}
		for i := range n {
			out = append(out, discovery.Server{ID: fmt.Sprintf("i-%04d", i*7919), Service: "llm"})
		}
		return out
	}
	Convey("A service has as many pools as its servers need, at least one", t, func() {
		for n, pools := range map[int]int{0: 1, 1: 1, 32: 1, 33: 2, 112: 4} {
			s := buildPools(table, servers(n), "r", partitioner{})
			all := s.ModelPools[workspace.ModelRegion{Model: "llm", Region: "r"}]
			So(len(all), ShouldEqual, pools)
			sum := 0
			for _, p := range all {
				sum += len(p.Servers)
				So(len(p.Servers), ShouldBeLessThanOrEqualTo, 3*workspace.MaxPoolServers/2)
				So(s.Pools[p.Name], ShouldEqual, p)
			}
			So(sum, ShouldEqual, n)
			So(len(s.Pools["app"].Servers), ShouldEqual, 1)
		}
	})
	Convey("A server has another incarnation after a restart", t, func() {
		of := func(startedAt int64) string {
			s := buildPools(table, []discovery.Server{{ID: "a-1", Service: "app", StartedAt: startedAt}}, "r", partitioner{})
			return s.Pools["app"].Servers[0].Incarnation
		}
		So(of(1000), ShouldNotBeEmpty)
		So(of(1000), ShouldEqual, of(1000))
		So(of(1000), ShouldNotEqual, of(2000))
	})
	Convey("An additional pool moves no server between the others", t, func() {
		for i := range 200 {
			id := fmt.Sprint("server", i)
			few, many := shardOf(id, 3), shardOf(id, 4)
			So(many == few || many == 3, ShouldBeTrue)
		}
	})
}

func TestWeightOfAVM(t *testing.T) {
	Convey("A VM's weight is proportional to its cores, and reduced for a narrow link", t, func() {
		So(LimitSettings{}.weight(), ShouldEqual, uint32(0))
		So(LimitSettings{CPUCores: 0.4, LinkMbps: 1000}.weight(), ShouldEqual, uint32(400))
		So(LimitSettings{CPUCores: 0.192, LinkMbps: 10}.weight(), ShouldEqual, uint32(19))
		So(LimitSettings{CPUCores: 0.001, LinkMbps: 1}.weight(), ShouldEqual, uint32(1))
	})
}

// BenchmarkBuildPools measures a rebuild of all pools.
func BenchmarkBuildPools(b *testing.B) {
	table := &route.Table{Services: map[string]*route.Service{"llm": {}}}
	servers := make([]discovery.Server, 3000)
	for i := range servers {
		servers[i] = discovery.Server{ID: fmt.Sprint("i-", i), Service: "llm", Slots: 6}
	}
	b.ReportAllocs()
	for b.Loop() {
		buildPools(table, servers, "r", partitioner{})
	}
}
