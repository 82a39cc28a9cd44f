package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
)

// Guards against: a daemon vouches for a list of servers while it does not count a version in it.
func TestVersionCountsBeforePoolsAreRebuilt(t *testing.T) {
	Convey("A version counts although the rebuild of the pools is delayed", t, func() {
		s := stateWithRoutes()
		servers := make([]discovery.Server, 0, pacingMinServers+1)
		for i := range pacingMinServers {
			servers = append(servers, discovery.Server{ID: fmt.Sprint("i", i), Service: "app", Version: "v1"})
		}
		s.replaceServers(servers, 10)
		s.rebuildPacer.done(time.Now(), time.Now().Add(time.Hour))
		s.rebuildPending = true // none begins during the test
		s.replaceServers(append(servers, discovery.Server{ID: "new", Service: "app", Version: "v2"}), 11)
		So(s.versions.Versions(time.Now(), "app"), ShouldResemble, []string{"v1", "v2"})
	})
}

// Guards against: a daemon vouches for a list of servers that it was told but has not applied.
func TestAnswerThatIsNotAppliedProvesNothing(t *testing.T) {
	Convey("Changes to a list that this daemon has no more prove nothing", t, func() {
		all, _, readers, _ := newPeerSyncs(3)
		p := all["a1"]
		p.state.replaceServers([]discovery.Server{{ID: "a", Service: "app", Version: "v1"}}, 50)
		resp := &wire.SyncAnswer{
			ConfigAgeMs: -1, ServersTold: true, ServersRevision: 60, ServersSource: 7, ServersNumber: 4, ServersSince: 3,
			Servers: serversToWire([]discovery.Server{{ID: "b", Service: "app", Version: "v2"}}),
		}
		now := p.state.serversFreshness.Now()
		p.heard.Add(readers[0], heardServers{source: 7, number: 3, base: listBase{same: true, update: 99}})
		p.apply(readers[0], resp, now, now)
		_, proved := p.state.serversFreshness.Age()
		So(proved, ShouldBeFalse)
		Convey("the whole list does", func() {
			resp.ServersSince = 0
			p.apply(readers[0], resp, now, now)
			_, proved := p.state.serversFreshness.Age()
			So(proved, ShouldBeTrue)
		})
	})
}
