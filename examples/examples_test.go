package examples

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/workspace"
)

func TestExamples(t *testing.T) {
	Convey("Each example has no findings, and its keys resolve to their workspaces", t, func() {
		servers := map[string]int{Punchline: 23, BangXanh: 14}
		for _, name := range Names() {
			docs, err := Documents(name)
			So(err, ShouldBeNil)
			So(workspace.CheckDocuments(docs, nil), ShouldBeEmpty)

			objects, err := Objects(name)
			So(err, ShouldBeNil)
			snapshot, findings := workspace.Compile(objects)
			So(findings, ShouldBeEmpty)
			workspaces, err := Workspaces(name)
			So(err, ShouldBeNil)
			So(workspaces, ShouldHaveLength, 5)
			for _, w := range workspaces {
				resolved, ok := snapshot.ByKey("change-me-" + w.Name)
				So(ok, ShouldBeTrue)
				So(resolved.Workspace, ShouldEqual, w.Name)
				So(resolved.Tiers, ShouldHaveLength, 4)
			}
			placed := 0
			for _, p := range snapshot.Pools {
				placed += len(p.Servers)
			}
			So(placed, ShouldEqual, servers[name])
		}
	})

	Convey("Both examples can be applied together", t, func() {
		var all []workspace.Document
		for _, name := range Names() {
			docs, err := Documents(name)
			So(err, ShouldBeNil)
			all = append(all, docs...)
		}
		So(workspace.CheckDocuments(all, nil), ShouldBeEmpty)
	})
}
