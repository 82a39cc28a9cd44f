package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

func TestEndToEnd(t *testing.T) {
	Convey("Two gateways that share pools serve requests of all route types", t, func() {
		c := newCluster(t)
		for i := range 3 {
			c.addServer(fmt.Sprint("llm-", i), "llm")
			c.addServer(fmt.Sprint("app-", i), "app")
		}
		c.putConfig()
		nodes := []*node{c.start("a"), c.start("b")}
		for _, n := range nodes {
			eventually(t, n.settings.Name+" is ready", n.ready)
		}
		var wg conc.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				n, id := nodes[i%2], fmt.Sprint("id", i)
				path := []string{"/s/", "/once/", "/again/"}[i%3]
				status, body, err := n.call("POST", path, id, "key-1", id)
				if status != 200 || err != nil || path != "/s/" && !strings.HasSuffix(body, " "+id) || path == "/s/" && strings.Count(body, "id: ") != 40 {
					t.Errorf("request %s on %s: status %d, %v, %q", id, path, status, err, body)
				}
			})
		}
		wg.Wait()
		runs := map[string]int{}
		for _, b := range c.servers {
			for id, n := range b.RunCounts() {
				runs[id] += n
			}
		}
		So(len(runs), ShouldEqual, 60)
		for _, n := range runs {
			So(n, ShouldEqual, 1)
		}
	})
}

func TestConfigurationFollowsTheStore(t *testing.T) {
	Convey("Without a configuration requests are retryable; then routes and keys follow the store", t, func() {
		c := newCluster(t)
		c.addServer("app-0", "app")
		n := c.start("a")
		eventually(t, "requests are answered", func() bool { return n.status("/once/", "i", "key-1") == 503 })
		So(n.ready(), ShouldBeFalse)
		c.putConfig()
		eventually(t, "the route works", func() bool { return n.status("/once/", "i", "key-1") == 200 })
		So(n.status("/once/", "i", "nobody's"), ShouldEqual, 401)
		So(n.status("/other/", "i", "key-1"), ShouldEqual, 404)
		c.config.Keys = []string{"key-2"}
		c.putConfig()
		eventually(t, "the key is rejected", func() bool { return n.status("/once/", "i", "key-1") == 401 })
		So(n.status("/once/", "i", "key-2"), ShouldEqual, 200)
	})
	// Guards against a configuration change that never takes effect.
	Convey("A change that the watch misses takes effect", t, func() {
		c := newCluster(t)
		c.addServer("app-0", "app")
		c.putConfig()
		n := c.start("a")
		eventually(t, "the route works", func() bool { return n.status("/once/", "i", "key-1") == 200 })
		c.store.SetFaults(standin.Faults{StallWatches: true})
		c.config.Keys = []string{"key-2"}
		c.putConfig()
		eventually(t, "the key is rejected", func() bool { return n.status("/once/", "i", "key-1") == 401 })
		c.store.Compact()
		c.store.SetFaults(standin.Faults{})
		c.config.Keys = []string{"key-1"}
		c.putConfig()
		eventually(t, "the key is accepted", func() bool { return n.status("/once/", "i", "key-1") == 200 })
	})
}

// Guards against a daemon without access to the store that accepts a key which may be withdrawn.
func TestStoreOutageFailsClosed(t *testing.T) {
	Convey("In an outage of the store keys are refused after a while, and accepted again after it", t, func() {
		c := newCluster(t)
		c.addServer("app-0", "app")
		c.putConfig()
		n := c.start("a")
		eventually(t, "the route works", func() bool { return n.status("/once/", "i", "key-1") == 200 })
		c.store.SetFaults(standin.Faults{Busy: true})
		eventually(t, "it is not ready", func() bool { return !n.ready() })
		eventually(t, "the key is refused", func() bool { return n.status("/once/", "i", "key-1") == 503 })
		c.store.SetFaults(standin.Faults{})
		eventually(t, "the key is accepted again", func() bool { return n.status("/once/", "i", "key-1") == 200 })
		eventually(t, "it is ready", n.ready)
	})
}

func TestServersJoinAndLeave(t *testing.T) {
	Convey("A server that leaves gets no new requests, and one that joins gets some", t, func() {
		c := newCluster(t)
		first := c.addServer("app-0", "app")
		c.putConfig()
		n := c.start("a")
		eventually(t, "the route works", func() bool { return n.status("/once/", "i", "key-1") == 200 })
		second := c.addServer("app-1", "app")
		c.store.PutServer("app-0", "app", "127.0.0.1:1", "draining", 4)
		eventually(t, "the second server serves", func() bool {
			n.status("/once/", "later", "key-1")
			return second.Runs("later") > 0
		})
		before := len(first.RunCounts())
		for i := range 20 {
			So(n.status("/once/", fmt.Sprint("new", i), "key-1"), ShouldEqual, 200)
		}
		So(len(first.RunCounts()), ShouldEqual, before)
	})
}

// Guards against answers that are cut off when a daemon is stopped.
func TestShutdownDrainsStreams(t *testing.T) {
	Convey("A gateway that shuts down is not ready, still accepts requests, and finishes its streams", t, func() {
		c := newCluster(t)
		c.addServer("llm-0", "llm").Events = 400
		c.putConfig()
		n := c.start("a")
		eventually(t, "it is ready", n.ready)
		var wg conc.WaitGroup
		for i := range 4 {
			wg.Go(func() {
				status, body, err := n.call("POST", "/s/", fmt.Sprint("s", i), "key-1", "x")
				if status != 200 || err != nil || strings.Count(body, "id: ") != 400 {
					t.Errorf("stream %d: status %d, %v, %d events", i, status, err, strings.Count(body, "id: "))
				}
			})
		}
		eventually(t, "the streams run", func() bool { return len(c.servers["llm-0"].RunCounts()) == 4 })
		n.stop()
		eventually(t, "it is not ready", func() bool { return !n.ready() })
		So(n.status("/s/", "late", "key-1"), ShouldEqual, 200)
		wg.Wait()
		So(<-n.done, ShouldBeNil)
	})
}
