package explain

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

func timelineOf(t *testing.T, id string) Timeline {
	f, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c := NewCollector(id)
	if err := c.Read("day.log", f); err != nil {
		t.Fatal(err)
	}
	return c.Timeline()
}

func TestTimelineOfRecordedLog(t *testing.T) {
	Convey("A request's lines are in order, with general lines of its VM and its pool's owner", t, func() {
		s := timelineOf(t, "aaaa")
		So(len(s.Lines), ShouldEqual, 2)
		So(s.Lines[0].Message, ShouldEqual, "Send failed.")
		So(s.Cause(), ShouldContainSubstring, "engine_lost")
		var around []string
		for _, l := range s.Around {
			around = append(around, l.VM+": "+l.Message)
		}
		So(around, ShouldResemble, []string{"vm-1: Server is gone.", "vm-2: Gave the pool up."})
	})
	Convey("Each kind of end is recognized", t, func() {
		So(timelineOf(t, "bbbb").Cause(), ShouldContainSubstring, "answered with status 200")
		So(timelineOf(t, "cccc").Cause(), ShouldContainSubstring, "cut after 3 events")
		So(timelineOf(t, "dddd").Cause(), ShouldContainSubstring, "no log has")
		So(timelineOf(t, "eeee").Cause(), ShouldContainSubstring, "not in these logs")
	})
	Convey("Lines that are no log lines are counted and skipped", t, func() {
		s := timelineOf(t, "aaaa")
		So(s.Skipped, ShouldEqual, 2)
	})
	Convey("Without a prefix the file's name is taken as the VM's name", t, func() {
		c := NewCollector("x")
		err := c.Read("logs/vm-7.log", strings.NewReader(`{"msg":"Refused.","part":"forward","time":"2026-01-01T00:00:00Z","request":"x","reason":"shed"}`))
		So(err, ShouldBeNil)
		So(c.Timeline().Lines[0].VM, ShouldEqual, "vm-7")
	})
}

func TestEveryForwardingReasonIsExplained(t *testing.T) {
	Convey("Each reason of the forwarding path has an explanation", t, func() {
		for _, r := range []request.Reason{
			request.ReasonShed, request.ReasonWorkspaceLimit, request.ReasonExpired, request.ReasonNoConfiguration,
			request.ReasonStoreUnavailable, request.ReasonUnauthorized, request.ReasonUnknownPath, request.ReasonEngineLost,
			request.ReasonEngineRefused, request.ReasonNoServer, request.ReasonCallerGone, request.ReasonBodyTooLarge,
		} {
			So(reasonHelp[string(r)], ShouldNotBeEmpty)
		}
	})
}
