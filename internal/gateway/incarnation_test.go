package gateway_test

import (
	"maps"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/platform/standin"
)

// entry is a backend server's own word, as the store has it.
func entry(address, state string, startedAt int64) map[string]any {
	e := map[string]any{"service": "app", "address": address, "zone": "z", "slots": 4, "state": state}
	if startedAt > 0 {
		e["born"] = startedAt
	}
	return e
}

// serves tells whether a request was answered by a server.
func (n *node) serves(id string) bool { return n.status("/again/x", id, "key-1") == http.StatusOK }

// allServe tells whether every node answers, or none does.
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

// Guards against this: a server that is well gets no request.
func TestServersThatStartAgainAreUsed(t *testing.T) {
	Convey("At daemons that read the store and at those that ask them", t, func() {
		s := newSite(t)
		s.put()
		b := &standin.Server{ID: "i-1"}
		address := s.serve(b.Serve)
		put := func(state string, startedAt int64) {
			s.store.Put(standin.KindServers, "i-1", entry(address, state, startedAt))
		}
		put("ready", 1000)
		nodes := []*node{s.start("a"), s.start("b"), s.start("c"), s.start("d"), s.start("e")}
		eventually(t, "a server that is ready serves", allServe(nodes, true))
		put("draining", 1000)
		eventually(t, "one that leaves does not", allServe(nodes, false))
		put("ready", 2000)
		eventually(t, "its next incarnation does", allServe(nodes, true))
	})
}

// Guards against this: requests fail although enough servers are well.
func TestMalformedEntriesAreNotUsed(t *testing.T) {
	Convey("The others hold, in a list, in a watch and in what daemons tell each other", t, func() {
		s := newSite(t)
		s.put()
		for _, id := range []string{"i-1", "i-2"} {
			s.addServer(id, "app")
		}
		malformed := map[string]any{"f-empty": map[string]any{}, "f-null": nil, "f-text": "x", "f-list": []int{1}}
		for id, change := range map[string]map[string]any{
			"f-slots": {"slots": 0}, "f-state": {"state": "odd"}, "f-start": {"born": "x"}, "f-zone": {"zone": 3},
		} {
			trap := &standin.Server{ID: id} // there is such a server
			s.servers[id] = trap
			spec := entry(s.serve(trap.Serve), "ready", 1000)
			maps.Copy(spec, change)
			malformed[id] = spec
		}
		for id, spec := range malformed {
			s.store.Put(standin.KindServers, id, spec)
		}
		nodes := []*node{s.start("a"), s.start("b"), s.start("c"), s.start("d"), s.start("e")}
		for _, n := range nodes {
			eventually(t, "servers are known", func() bool { return n.serves("first") })
			for range 20 {
				So(n.serves("r"), ShouldBeTrue)
			}
		}
		for id := range malformed {
			if trap := s.servers[id]; trap != nil {
				So(trap.Arrivals(), ShouldBeEmpty)
			}
		}
		s.store.Remove(standin.KindServers, "i-1")
		eventually(t, "one server is left", func() bool { return allServe(nodes, true)() && s.servers["i-2"].Runs("r") > 0 })
		s.store.Put(standin.KindServers, "i-2", map[string]any{"service": "app", "slots": 4, "state": "ready"})
		eventually(t, "an overwritten entry is not used", allServe(nodes, false))
		s.store.Put(standin.KindServers, "i-2", entry(s.serve(s.servers["i-2"].Serve), "ready", 1000))
		eventually(t, "a mended entry is used", allServe(nodes, true))
	})
}
