package cli

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/daemon"
	"github.com/lycheekeel/lycheekeel/revision"
)

func TestConfigStatus(t *testing.T) {
	member := func(name, hash string) daemon.MemberStatus {
		return daemon.MemberStatus{Name: name, Region: "r", Configuration: &revision.Report{Version: 7, Hash: hash, ConfirmedMs: 1234}}
	}
	Convey("Members are listed; a different configuration or a missing answer is an error", t, func() {
		var out bytes.Buffer
		g := &globals{stdout: &out, stderr: &out, output: outputTable}
		So(g.printConfigStatus(daemon.Status{Members: []daemon.MemberStatus{member("a", "01"), member("b", "01")}}), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "1.2s ago")
		So(g.printConfigStatus(daemon.Status{Members: []daemon.MemberStatus{member("a", "01"), member("b", "02")}}), ShouldNotBeNil)
		So(g.printConfigStatus(daemon.Status{Members: []daemon.MemberStatus{member("a", "01"), {Name: "b", Error: "no answer from peer"}}}), ShouldNotBeNil)
		So(out.String(), ShouldContainSubstring, "no answer from peer")
	})
}
