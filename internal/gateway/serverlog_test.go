package gateway

import (
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// Guards against this: the log has nothing of a server's restart, or a line at each read.
func TestEachChangeOfAServerIsOneLogLine(t *testing.T) {
	Convey("A restart and a malformed entry are told once each", t, func() {
		s := configured()
		logger, lines := logtest.NewNullLogger()
		s.log = logrus.NewEntry(logger)
		told := func(x discovery.Server) (out []string) {
			lines.Reset()
			s.putServer(x, 50)
			for _, l := range lines.AllEntries() {
				out = append(out, l.Message)
			}
			return out
		}
		s.replaceServers(nil, 50)
		a := discovery.Server{ID: "a", Service: "app", StartedAt: 1000}
		So(told(a), ShouldResemble, []string{"Server is there."})
		So(told(a), ShouldBeEmpty)
		a.StartedAt = 2000
		So(told(a), ShouldResemble, []string{"Server has started again."})
		a.Leaving = true
		So(told(a), ShouldResemble, []string{"Server is leaving."})
		So(told(discovery.Server{ID: "a", InvalidReason: "no object"}), ShouldResemble, []string{"Server is gone.", "Server's entry is malformed."})
		So(told(discovery.Server{ID: "a", InvalidReason: "no object"}), ShouldBeEmpty)
		So(told(discovery.Server{ID: "a", InvalidReason: "state is unknown"}), ShouldResemble, []string{"Server's entry is malformed."})
		So(s.invalidEntries.Value(), ShouldEqual, 2)
	})
}
