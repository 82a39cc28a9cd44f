package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// tooDeep is a value with more levels than a decoder takes.
func tooDeep() []byte {
	const levels = 20_000
	return []byte(`{"note":` + strings.Repeat("[", levels) + strings.Repeat("]", levels) + `}`)
}

// Guards against: one entry that can't be decoded keeps all daemons from following the servers.
func TestOddEntryHidesNoServers(t *testing.T) {
	Convey("Daemons that run follow the servers, and those that start find them", t, func() {
		c := newCluster(t)
		for i := range 4 {
			c.addServer(fmt.Sprint("old-", i), "app")
		}
		c.putConfig()
		running := []*node{c.start("a"), c.start("b")}
		for _, n := range running {
			eventually(t, n.settings.Name+" serves", func() bool { return n.status("/again/", "1", "key-1") == 200 })
		}
		c.store.PutBytes(standin.KindServers, "old-5", tooDeep())
		c.addServer("new", "app")
		for i := range 4 {
			c.store.Remove(standin.KindServers, fmt.Sprint("old-", i))
		}
		sent := 0
		for _, n := range append(running, c.start("c"), c.start("d")) {
			eventually(t, n.settings.Name+" is ready and uses the new server", func() bool {
				sent++
				id := fmt.Sprint(n.settings.Name, sent)
				return n.ready() && n.status("/again/", id, "key-1") == 200 && c.servers["new"].Runs(id) == 1
			})
		}
	})
}

// Guards against: daemons that know no servers, as nobody can read their list, take callers whom others would serve.
func TestDaemonsThatKnowNoServersAreNotReady(t *testing.T) {
	Convey("A daemon that starts alone is ready once it can read the list; one that runs serves on", t, func() {
		c := newCluster(t)
		c.addServer("old", "app")
		c.putConfig()
		running := c.start("a")
		eventually(t, "a is ready and serves", func() bool { return running.ready() && running.status("/again/", "1", "key-1") == 200 })
		c.store.PutBytes(standin.KindServers, "old-5", []byte("{"))
		c.seeds = nil // the next daemon hears of the servers from nobody else
		started := c.start("b")
		eventually(t, "b knows the configuration", func() bool { return started.status("/none/", "2", "key-1") == 404 })
		So(started.ready(), ShouldBeFalse)
		So(running.ready(), ShouldBeTrue)
		So(running.status("/again/", "3", "key-1"), ShouldEqual, 200)
		c.store.Remove(standin.KindServers, "old-5")
		eventually(t, "b is ready and serves", func() bool { return started.ready() && started.status("/again/", "4", "key-1") == 200 })
	})
}
