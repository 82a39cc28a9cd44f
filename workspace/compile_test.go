package workspace_test

import (
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
	"github.com/lycheekeel/lycheekeel/workspace/workspacetest"
)

var small = workspacetest.Size{Workspaces: 3, Servers: 4, Models: 1, Regions: 1, Templates: 1}

// withObject returns the objects with one replaced or added as the newest.
func withObject(objects []objectstore.Object, kind objectstore.Kind, name, value string) []objectstore.Object {
	next := objectstore.Object{Kind: kind, Name: name, Version: 1, Created: 1, Value: []byte(value)}
	out := []objectstore.Object{}
	for _, o := range objects {
		next.Version = max(next.Version, o.Version+1)
		if o.Kind == kind && o.Name == name {
			next.Created = o.Created
			continue
		}
		out = append(out, o)
	}
	if next.Created == 1 {
		next.Created = next.Version
	}
	return append(out, next)
}

func TestInvalidObjectKeepsLastGoodVersion(t *testing.T) {
	// Guards against an operator's mistake after which callers of one or all
	// workspaces are refused.
	Convey("An invalid object keeps its last good version and all others are updated", t, func() {
		objects := small.Objects()
		c := workspace.NewCompiler()
		first, findings := c.Compile(objects)
		So(findings, ShouldBeEmpty)

		invalid := withObject(objects, workspace.KindTemplate, "template-0", `{"name":"template-0","tiers":[]}`)
		invalid = withObject(invalid, workspace.KindWorkspace, "new", `{"name":"new","template":"template-0","keys":[{"id":"a","sha256":"`+workspacetest.KeyHash("new")+`"}]}`)
		snapshot, findings := c.Compile(invalid)
		So(findings.Fatal(), ShouldNotBeEmpty)
		So(findings[0].File, ShouldEqual, "Template/template-0")
		So(snapshot.Version, ShouldBeGreaterThan, first.Version)
		for _, key := range []string{workspacetest.Key("workspace-0"), "new"} {
			w, ok := snapshot.ByKey(key)
			So(ok, ShouldBeTrue)
			So(w.Tiers, ShouldHaveLength, 4)
		}

		Convey("also on a daemon that starts and gets both versions from a peer", func() {
			restarted, _ := workspace.Compile(append(invalid, objects...))
			w, ok := restarted.ByKey("new")
			So(ok, ShouldBeTrue)
			So(w.Tiers, ShouldHaveLength, 4)
		})
	})

	Convey("A workspace whose parameters do not fit its template keeps its last resolution", t, func() {
		objects := small.Objects()
		c := workspace.NewCompiler()
		c.Compile(objects)
		changed := withObject(objects, workspace.KindWorkspace, "workspace-1",
			`{"name":"workspace-1","template":"template-0","parameters":{"deadline":0,"gone":1},"keys":[{"id":"main","sha256":"`+
				workspacetest.KeyHash(workspacetest.Key("workspace-1"))+`"}]}`)
		snapshot, findings := c.Compile(changed)
		So(findings, ShouldHaveLength, 2)
		So(findings[0].Path, ShouldEqual, "parameters.deadline")
		So(findings[1].Path, ShouldEqual, "parameters.gone")
		_, ok := snapshot.ByKey(workspacetest.Key("workspace-1"))
		So(ok, ShouldBeTrue)

		Convey("and a daemon that starts later serves it with the parameters that fit and reports it each time", func() {
			late := workspace.NewCompiler()
			for range 2 {
				snapshot, findings := late.Compile(changed)
				So(findings, ShouldHaveLength, 2)
				w, ok := snapshot.ByKey(workspacetest.Key("workspace-1"))
				So(ok, ShouldBeTrue)
				So(w.Tiers[0].Targets.Deadline, ShouldEqual, workspace.Milliseconds(60000))
			}
		})
	})
}

func TestKeyStaysWithItsWorkspace(t *testing.T) {
	// Guards against a customer's requests that run under another customer's
	// workspace.
	Convey("A key stays with the workspace that it belongs to", t, func() {
		objects := small.Objects()
		c := workspace.NewCompiler()
		c.Compile(objects)
		key := workspacetest.KeyHash(workspacetest.Key("workspace-0"))
		duplicated := withObject(objects, workspace.KindWorkspace, "workspace-2",
			`{"name":"workspace-2","template":"template-0","keys":[{"id":"main","sha256":"`+key+`"}]}`)
		repeated := withObject(duplicated, workspace.KindWorkspace, "workspace-0",
			`{"name":"workspace-0","template":"template-0","keys":[{"id":"main","sha256":"`+key+`"}]}`)
		for _, step := range [][]objectstore.Object{duplicated, repeated} {
			snapshot, findings := c.Compile(step)
			So(findings, ShouldHaveLength, 1)
			So(findings[0].String(), ShouldEqual, `Workspace/workspace-2: keys[0].sha256: is a key of workspace "workspace-0"`)
			w, _ := snapshot.ByKey(workspacetest.Key("workspace-0"))
			So(w.Workspace, ShouldEqual, "workspace-0")
			_, ok := snapshot.ByKey(workspacetest.Key("workspace-2"))
			So(ok, ShouldBeTrue)
		}
	})
}

func TestServerPlacement(t *testing.T) {
	objects := workspacetest.Size{Workspaces: 1, Servers: 17, Models: 2, Regions: 1, Templates: 1}.Objects()
	servers := func(s *workspace.Snapshot, p string) []string {
		var names []string
		for _, x := range s.Pools[p].Servers {
			names = append(names, x.Name)
		}
		return names
	}
	Convey("An assignment moves a server that is warm and no other", t, func() {
		for _, warm := range []bool{true, false} {
			a := workspace.Assignment{Server: "server-16", Pool: "pool-0", Warm: warm}
			s, findings := workspace.Compile(append(objects, workspacetest.StoredObject(workspace.KindAssignment, "server-16", 900, a)))
			So(findings, ShouldBeEmpty)
			So(len(servers(s, "pool-0")), ShouldEqual, map[bool]int{true: 17, false: 16}[warm])
		}
	})
	Convey("A leaving server stays listed and is marked", t, func() {
		s, findings := workspace.Compile(withObject(objects, workspace.KindBackendServer, "server-16",
			`{"name":"server-16","address":"10.9.9.9:1","region":"region-0","availability_zone":"a","pool":"pool-1","leaving":true}`))
		So(findings, ShouldBeEmpty)
		So(s.Pools["pool-1"].Servers[0].Leaving, ShouldBeTrue)
	})
	Convey("Invalid servers are reported and placed in no pool", t, func() {
		cases := map[string]string{
			"no pool":        `{"name":"x","address":"10.9.9.9:1","region":"region-0","availability_zone":"a","pool":"none"}`,
			"is in region":   `{"name":"x","address":"10.9.9.9:1","region":"other","availability_zone":"a","pool":"pool-1"}`,
			"is the address": `{"name":"x","address":"10.1.0.1:8000","region":"region-0","availability_zone":"a","pool":"pool-1"}`,
		}
		for reason, value := range cases {
			s, findings := workspace.Compile(withObject(objects, workspace.KindBackendServer, "x", value))
			So(findings, ShouldHaveLength, 1)
			So(findings[0].Reason, ShouldContainSubstring, reason)
			So(servers(s, "pool-1"), ShouldResemble, []string{"server-16"})
		}
	})
	Convey("A full pool accepts no further server and keeps its existing ones", t, func() {
		full := objects
		for i := range workspace.MaxPoolServers {
			s := workspacetest.Server(100+i, workspace.Pool{Name: "pool-1", Region: "region-0"})
			full = append(full, workspacetest.StoredObject(workspace.KindBackendServer, s.Name, objectstore.Version(200+i), s))
		}
		s, findings := workspace.Compile(full)
		So(findings, ShouldHaveLength, 1)
		So(findings[0].File, ShouldEqual, "BackendServer/server-131")
		So(servers(s, "pool-1"), ShouldHaveLength, workspace.MaxPoolServers)
		So(servers(s, "pool-1"), ShouldContain, "server-16")
	})
	Convey("Every scheduling policy is accepted", t, func() {
		for _, p := range []pool.Policy{pool.PolicyLycheekeel, pool.PolicyRoundRobin, pool.PolicyLeastOutstanding, pool.PolicyFIFO} {
			v := workspace.Pool{Name: "p", Region: "r", Service: "s", Policy: string(p)}
			So(workspace.CheckObject(workspacetest.StoredObject(workspace.KindPool, "p", 1, v)), ShouldBeEmpty)
		}
	})
}

// BenchmarkCompile measures a change of one workspace at the target size and
// reports the memory held by the compiler with a snapshot.
func BenchmarkCompile(b *testing.B) {
	objects := workspacetest.TargetSize.Objects()
	c := workspace.NewCompiler()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.Run("start", func(b *testing.B) {
		for b.Loop() {
			c = workspace.NewCompiler()
			c.Compile(objects)
		}
	})
	snapshot, _ := c.Compile(objects)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.Run("change", func(b *testing.B) {
		last := len(objects) - 1
		for b.Loop() {
			objects[last].Version++
			c.Compile(objects)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-kept")
	})
	runtime.KeepAlive(snapshot)
}
