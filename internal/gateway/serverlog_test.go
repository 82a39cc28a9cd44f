package gateway

import (
	"testing"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
)

// Guards against a log without a server's restart, or with a line at each read.
func TestEachServerChangeIsLoggedOnce(t *testing.T) {
	Convey("A restart and a malformed entry are logged once each", t, func() {
		s := stateWithConfig()
		logger, lines := logtest.NewNullLogger()
		s.log = logrus.NewEntry(logger)
		messages := func(x discovery.Server) (out []string) {
			lines.Reset()
			s.putServer(x, 50)
			for _, l := range lines.AllEntries() {
				out = append(out, l.Message)
			}
			return out
		}
		s.replaceServers(nil, 50)
		a := discovery.Server{ID: "a", Service: "app", StartedAt: 1000}
		So(messages(a), ShouldResemble, []string{"Server registered."})
		So(messages(a), ShouldBeEmpty)
		a.StartedAt = 2000
		So(messages(a), ShouldResemble, []string{"Server restarted."})
		a.Leaving = true
		So(messages(a), ShouldResemble, []string{"Server is leaving."})
		So(messages(discovery.Server{ID: "a", InvalidReason: "no object"}), ShouldResemble, []string{"Server is gone.", "Server entry is malformed."})
		So(messages(discovery.Server{ID: "a", InvalidReason: "no object"}), ShouldBeEmpty)
		So(messages(discovery.Server{ID: "a", InvalidReason: "state is unknown"}), ShouldResemble, []string{"Server entry is malformed."})
		So(s.invalidEntries.Value(), ShouldEqual, 2)
	})
}
