package gateway_test

import (
	"maps"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// serverEntry is a backend server's entry as it stands in the store.
func serverEntry(address, state string, startedAt int64) map[string]any {
	e := map[string]any{"service": "app", "address": address, "zone": "z", "slots": 4, "state": state}
	if startedAt > 0 {
		e["born"] = startedAt
	}
	return e
}

// serves reports whether a server answered a request.
func (n *node) serves(id string) bool { return n.status("/again/x", id, "key-1") == http.StatusOK }

// allServe returns a condition: every node answers or, if served is false, none does.
func allServe(nodes []*node, served bool) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.serves("r") != served {
				return false
			}
		}
		return true
	}
}

// Guards against a restarted server that gets no requests.
func TestRestartedServersAreUsed(t *testing.T) {
	Convey("Restarts are noticed by readers and by the daemons that poll them", t, func() {
		c := newCluster(t)
		c.putConfig()
		b := &standin.Server{ID: "i-1"}
		address := c.serve(b.Serve)
		put := func(state string, startedAt int64) {
			c.store.Put(standin.KindServers, "i-1", serverEntry(address, state, startedAt))
		}
		put("ready", 1000)
		nodes := []*node{c.start("a"), c.start("b"), c.start("c"), c.start("d"), c.start("e")}
		eventually(t, "a ready server serves", allServe(nodes, true))
		put("draining", 1000)
		eventually(t, "a leaving server does not", allServe(nodes, false))
		put("ready", 2000)
		eventually(t, "its next incarnation serves", allServe(nodes, true))
	})
}

// Guards against malformed entries that make requests fail although healthy servers remain.
func TestMalformedEntriesAreNotUsed(t *testing.T) {
	Convey("Malformed entries do not affect the others, in lists, in watches and in polls", t, func() {
		c := newCluster(t)
		c.putConfig()
		for _, id := range []string{"i-1", "i-2"} {
			c.addServer(id, "app")
		}
		malformed := map[string]any{"f-empty": map[string]any{}, "f-null": nil, "f-text": "x", "f-list": []int{1}}
		for id, change := range map[string]map[string]any{
			"f-slots": {"slots": 0}, "f-state": {"state": "odd"}, "f-start": {"born": "x"}, "f-zone": {"zone": 3},
		} {
			decoy := &standin.Server{ID: id} // a server that would answer
			c.servers[id] = decoy
			spec := serverEntry(c.serve(decoy.Serve), "ready", 1000)
			maps.Copy(spec, change)
			malformed[id] = spec
		}
		for id, spec := range malformed {
			c.store.Put(standin.KindServers, id, spec)
		}
		nodes := []*node{c.start("a"), c.start("b"), c.start("c"), c.start("d"), c.start("e")}
		for _, n := range nodes {
			eventually(t, "servers are known", func() bool { return n.serves("first") })
			for range 20 {
				So(n.serves("r"), ShouldBeTrue)
			}
		}
		for id := range malformed {
			if decoy := c.servers[id]; decoy != nil {
				So(decoy.Arrivals(), ShouldBeEmpty)
			}
		}
		c.store.Remove(standin.KindServers, "i-1")
		eventually(t, "one server is left", func() bool { return allServe(nodes, true)() && c.servers["i-2"].Runs("r") > 0 })
		c.store.Put(standin.KindServers, "i-2", map[string]any{"service": "app", "slots": 4, "state": "ready"})
		eventually(t, "an overwritten entry is not used", allServe(nodes, false))
		c.store.Put(standin.KindServers, "i-2", serverEntry(c.serve(c.servers["i-2"].Serve), "ready", 1000))
		eventually(t, "a corrected entry is used", allServe(nodes, true))
	})
}
