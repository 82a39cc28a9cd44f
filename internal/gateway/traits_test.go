package gateway

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// traitsDocument has a service of streams with these targets, a service of calls with this
// timeout, and a service without a route.
func traitsDocument(version uint64, timeout time.Duration, targets ...time.Duration) route.Document {
	d := route.Document{
		Version: version, Patience: route.Patience{Min: 2 * time.Second, TargetFactor: 4, PauseFactor: 8},
		Services: []route.Service{{Name: "llm", TokensPerEvent: 8}, {Name: "app"}, {Name: "unused"}},
		Routes: []route.Route{{
			Host: "h", Prefix: "/app/", Kind: route.Idempotent, Timeout: timeout, LatencyTarget: 120 * time.Millisecond,
			Targets: []route.Target{{Service: "app", Weight: 1}},
		}},
	}
	for i, target := range targets {
		d.Routes = append(d.Routes, route.Route{
			Host: "h", Prefix: "/llm/", Kind: route.Stream, Timeout: 12 * time.Second, LatencyTarget: target,
			PauseTarget: 300 * time.Millisecond, Tier: request.Tier(i), Targets: []route.Target{{Service: "llm", Weight: 1}},
		})
	}
	return d
}

func compiled(d route.Document) *route.Table {
	table, findings := route.Compile("test", d)
	So(findings, ShouldBeEmpty)
	return table
}

var (
	mixedTargets = pool.Traits{
		FinishInTime: true, PauseTarget: 300 * time.Millisecond, TokensPerEvent: 8, PreferZone: true,
		Patience: pool.Patience{Min: 2 * time.Second, TargetFactor: 4, PauseFactor: 8},
	}
	briefCalls = pool.Traits{Overlap: true, PreferZone: true}
)

// Guards against traits of a deployment whose routes do not ask for them, and against
// settings without effect.
func TestTraitsOfServices(t *testing.T) {
	Convey("Given services with and without mixed targets and brief calls", t, func() {
		asked := compiled(traitsDocument(1, 600*time.Millisecond, 800*time.Millisecond, 400*time.Millisecond))
		plain := compiled(traitsDocument(1, 2500*time.Millisecond, 800*time.Millisecond, 600*time.Millisecond))
		of := func(s SchedulingSettings, table *route.Table) map[string]pool.Traits {
			r, out := traitResolver{settings: s}, map[string]pool.Traits{}
			for name, service := range table.Services {
				if traits := r.ofService(service); traits != (pool.Traits{}) {
					out[name] = traits
				}
			}
			return out
		}
		both := map[string]pool.Traits{"llm": mixedTargets, "app": briefCalls}
		Convey("by default the routes decide", func() {
			So(of(SchedulingSettings{}, asked), ShouldResemble, both)
			So(of(SchedulingSettings{}, plain), ShouldBeEmpty)
			So(of(SchedulingSettings{MixedTargets: "auto", BriefCalls: "auto"}, asked), ShouldResemble, both)
		})
		Convey("on enables a trait for the services that it applies to", func() {
			So(of(SchedulingSettings{MixedTargets: "on", BriefCalls: "on"}, plain), ShouldResemble, both)
			So(of(SchedulingSettings{MixedTargets: "on"}, plain), ShouldResemble, map[string]pool.Traits{"llm": mixedTargets})
			So(of(SchedulingSettings{BriefCalls: "on"}, plain), ShouldResemble, map[string]pool.Traits{"app": briefCalls})
		})
		Convey("off disables it", func() {
			So(of(SchedulingSettings{MixedTargets: "off"}, asked), ShouldResemble, map[string]pool.Traits{"app": briefCalls})
			So(of(SchedulingSettings{BriefCalls: "off"}, asked), ShouldResemble, map[string]pool.Traits{"llm": mixedTargets})
			So(of(SchedulingSettings{MixedTargets: "off", BriefCalls: "off"}, asked), ShouldBeEmpty)
		})
	})
}

// Guards against a pool of a version or a shard that is scheduled without its service's
// traits, and against traits of a withdrawn configuration.
func TestTraitsOfPools(t *testing.T) {
	Convey("A pool has the traits of its service, whatever its own name, as of the table in force", t, func() {
		r := traitResolver{routes: &route.Live{}}
		of := func(name, model string) pool.Traits {
			return r.ofPool(&workspace.ResolvedPool{Pool: workspace.Pool{Name: name, Model: model}})
		}
		So(of("llm", "llm"), ShouldResemble, pool.Traits{})
		r.routes.Update(compiled(traitsDocument(1, 600*time.Millisecond, 800*time.Millisecond, 400*time.Millisecond)))
		for _, name := range []string{"llm", "llm#1", "llm@2", "llm@2#1"} {
			So(of(name, "llm"), ShouldResemble, mixedTargets)
		}
		So(of("app@3", "app"), ShouldResemble, briefCalls)
		So(of("unused", "unused"), ShouldResemble, pool.Traits{})
		So(of("llm", "gone"), ShouldResemble, pool.Traits{})
		r.routes.Update(compiled(traitsDocument(2, 2500*time.Millisecond, 800*time.Millisecond, 600*time.Millisecond)))
		So(of("llm", "llm"), ShouldResemble, pool.Traits{})
	})
}

// Guards against a change of scheduling without a log line, and against a line for each
// version of the configuration.
func TestChangesOfTraitsAreLoggedOnce(t *testing.T) {
	Convey("A service whose traits change is logged once", t, func() {
		logger, lines := logtest.NewNullLogger()
		s := stateWithConfig()
		s.onTable = traitResolver{routes: s.routes, log: logrus.NewEntry(logger)}.logChanges
		var d route.Document
		s.platform.DecodeConfiguration = func([]byte) (route.Document, error) { return d, nil }
		revision := objectstore.Version(1000)
		logged := func(next route.Document) (out []any) {
			lines.Reset()
			revision++
			d = next
			So(s.applyConfig(objectstore.Object{Version: revision}), ShouldBeTrue)
			for _, l := range lines.AllEntries() {
				out = append(out, l.Data["service"], l.Data["mixed_targets"], l.Data["brief_calls"])
			}
			return out
		}
		asked := []time.Duration{800 * time.Millisecond, 400 * time.Millisecond}
		So(logged(traitsDocument(1001, 2500*time.Millisecond, asked[0])), ShouldBeEmpty)
		So(logged(traitsDocument(1002, 600*time.Millisecond, asked...)), ShouldResemble, []any{"app", false, true, "llm", true, false})
		So(logged(traitsDocument(1003, 500*time.Millisecond, asked...)), ShouldBeEmpty)
		So(logged(traitsDocument(1004, 2500*time.Millisecond, asked...)), ShouldResemble, []any{"app", false, false})
	})
}
