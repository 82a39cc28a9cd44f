package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
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
