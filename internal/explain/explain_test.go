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
	Convey("A request's lines come in order, with what its VM and its owner learned", t, func() {
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
	Convey("Ends of every kind are told", t, func() {
		So(timelineOf(t, "bbbb").Cause(), ShouldContainSubstring, "answered with status 200")
		So(timelineOf(t, "cccc").Cause(), ShouldContainSubstring, "cut after 3 events")
		So(timelineOf(t, "dddd").Cause(), ShouldContainSubstring, "no log has")
		So(timelineOf(t, "eeee").Cause(), ShouldContainSubstring, "not in these logs")
	})
	Convey("Lines of other kinds are counted, not taken", t, func() {
		s := timelineOf(t, "aaaa")
		So(s.Skipped, ShouldEqual, 2)
	})
	Convey("A file's name stands for a VM without a prefix", t, func() {
		c := NewCollector("x")
		err := c.Read("logs/vm-7.log", strings.NewReader(`{"msg":"Refused.","part":"forward","time":"2026-01-01T00:00:00Z","request":"x","reason":"shed"}`))
		So(err, ShouldBeNil)
		So(c.Timeline().Lines[0].VM, ShouldEqual, "vm-7")
	})
}

func TestEveryForwardingReasonIsExplained(t *testing.T) {
	Convey("A reason that the forwarding path uses has its sentence", t, func() {
		for _, r := range []request.Reason{
			request.ReasonShed, request.ReasonWorkspaceLimit, request.ReasonExpired, request.ReasonNoConfiguration,
			request.ReasonStoreUnavailable, request.ReasonUnauthorized, request.ReasonUnknownPath, request.ReasonEngineLost,
			request.ReasonEngineRefused, request.ReasonNoServer, request.ReasonCallerGone, request.ReasonBodyTooLarge,
		} {
			So(reasonHelp[string(r)], ShouldNotBeEmpty)
		}
	})
}
