package gateway_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/internal/gateway"
	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// Guards against: a panic in a background task ends it unnoticed, or the process.
func TestDaemonFollowsTheStoreAfterPanics(t *testing.T) {
	Convey("A daemon whose lists and watches of the servers panic for a while uses new servers afterwards", t, func() {
		c := newCluster(t)
		c.addServer("old", "app")
		c.putConfig()
		var faulty atomic.Bool
		var panics atomic.Int64
		n := c.startOn("a", func(p *gateway.Platform) {
			decode := p.DecodeServer
			p.DecodeServer = func(name string, value []byte) (discovery.Server, error) {
				if faulty.Load() {
					panics.Add(1)
					panic("decoder")
				}
				return decode(name, value)
			}
		})
		eventually(t, "it serves", func() bool { return n.ready() && n.status("/again/", "1", "key-1") == 200 })
		faulty.Store(true)
		c.addServer("new", "app") // for the watch
		const passes = 3
		eventually(t, "several passes have panicked", func() bool { return panics.Load() >= passes })
		So(n.status("/again/", "2", "key-1"), ShouldEqual, 200)
		faulty.Store(false)
		c.store.Remove(standin.KindServers, "old")
		sent := 2
		eventually(t, "it uses the new server", func() bool {
			sent++
			id := fmt.Sprint(sent)
			return n.status("/again/", id, "key-1") == 200 && c.servers["new"].Runs(id) == 1
		})
	})
}
