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

// Guards against: the log does not tell from whom a daemon knows of a server that leaves.
func TestLogNamesTheSourceOfChanges(t *testing.T) {
	Convey("Each change of a server is logged with its source", t, func() {
		s := stateWithConfig()
		logger, lines := logtest.NewNullLogger()
		s.log = logrus.NewEntry(logger)
		source := func() any {
			last := lines.LastEntry()
			return last.Message + " " + last.Data["from"].(string)
		}
		s.replaceServers([]discovery.Server{{ID: "a", Service: "app"}, {ID: "b", Service: "app"}}, 50)
		s.announceLeaving(s.snapshot.Load().Pools["app"].Servers[0])
		So(source(), ShouldEqual, "Server is leaving. answer")
		s.putServer(discovery.Server{ID: "b", Service: "app", Leaving: true}, 51)
		So(source(), ShouldEqual, "Server is leaving. store")
		s.applyPeerServers(peerServers{from: "reader", revision: 52, isDelta: true, update: s.serverUpdates, delta: discovery.Delta{Removed: []string{"a"}}})
		So(source(), ShouldEqual, "Server is gone. reader")
	})
	Convey("A change of the reader is logged once", t, func() {
		all, _, readers, _ := newPeerSyncs(3)
		reader, follower := readers[0], all["a1"]
		for name, p := range all {
			p.setProofAge(0)
			if name != reader {
				follower = p
			}
		}
		logger, lines := logtest.NewNullLogger()
		follower.state.log = logrus.NewEntry(logger)
		So(follower.poll(t.Context(), reader), ShouldBeNil)
		So(follower.poll(t.Context(), reader), ShouldBeNil)
		So(lines.AllEntries(), ShouldHaveLength, 1)
		So(lines.LastEntry().Data["of"], ShouldEqual, reader)
	})
}
