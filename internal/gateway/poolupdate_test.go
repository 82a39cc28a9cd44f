package gateway

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/discovery"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/rollout"
	"github.com/lycheekeel/lycheekeel/route"
)

// rebuildCase drives a state by drawn changes and compares what it derives from them with what
// follows from the whole list.
type rebuildCase struct {
	state     *state
	rev       objectstore.Version
	addresses map[string]string // as last told
}

func newRebuildCase(t *rapid.T) *rebuildCase {
	c := &rebuildCase{state: emptyState()}
	s := c.state
	s.rollouts = newRolloutState(rapid.Bool().Draw(t, "rollouts"))
	logger, _ := logtest.NewNullLogger()
	s.log = logrus.NewEntry(logger)
	s.canaryServers = func(_ string, _ int, servers []discovery.Server) []discovery.Server { return servers[:1] }
	s.onIncarnations = func(m map[string]string) { c.addresses = m }
	c.setRoutes("app", "llm")
	return c
}

// setRoutes activates a configuration with these services.
func (c *rebuildCase) setRoutes(services ...string) {
	c.rev++
	doc := route.Document{Version: uint64(c.rev)}
	for _, name := range services {
		doc.Services = append(doc.Services, route.Service{Name: name})
	}
	c.state.platform.DecodeConfiguration = func([]byte) (route.Document, error) { return doc, nil }
	c.state.applyConfig(objectstore.Object{Version: c.rev})
}

// drawEntry draws an entry. Few addresses are shared; most servers have the first version.
func (c *rebuildCase) drawEntry(t *rapid.T, id int) discovery.Server {
	one := func(name string, all ...string) string { return rapid.SampledFrom(all).Draw(t, name) }
	x := discovery.Server{
		ID: fmt.Sprintf("s%03d", id), Service: one("service", "app", "app", "app", "llm", "gone"), Version: one("version", "v1", "v1", "v1", "v1", "v2"),
		Address: fmt.Sprint("10.0.0.1:", rapid.IntRange(0, 300).Draw(t, "port")), Slots: rapid.IntRange(1, 2).Draw(t, "slots"),
		Leaving: rapid.Bool().Draw(t, "leaving"), Cold: rapid.Bool().Draw(t, "cold"), StartedAt: rapid.Int64Range(1, 2).Draw(t, "started"),
		Sequence: uint64(c.rev), Revision: discovery.Revision(c.rev),
	}
	if rapid.IntRange(0, 20).Draw(t, "malformed") == 0 {
		x.InvalidReason = "malformed"
	}
	return x
}

// step changes something.
func (c *rebuildCase) step(t *rapid.T) {
	const ids = 120
	s := c.state
	c.rev++
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0, 1:
		s.putServer(c.drawEntry(t, rapid.IntRange(0, ids).Draw(t, "id")), c.rev)
	case 2:
		s.removeServer(fmt.Sprintf("s%03d", rapid.IntRange(0, ids).Draw(t, "id")), 0, c.rev)
	case 3, 4, 5:
		from, n := rapid.IntRange(0, ids).Draw(t, "from"), rapid.IntRange(1, 50).Draw(t, "n")
		same := c.drawEntry(t, 0)
		var d discovery.Delta
		for i := from; i < min(ids, from+n); i++ {
			same.ID, same.Address = fmt.Sprintf("s%03d", i), fmt.Sprint("10.0.0.2:", i)
			d.Changed = append(d.Changed, same)
		}
		for i := range rapid.IntRange(0, 40).Draw(t, "removed") {
			d.Removed = append(d.Removed, fmt.Sprintf("s%03d", (from+n+i)%ids))
		}
		s.applyPeerServers(peerServers{revision: c.rev, isDelta: true, update: s.serverUpdates, delta: d})
	case 6:
		s.replaceServers(s.directory.Listed()[:len(s.directory.Listed())/2], c.rev)
	case 7:
		s.storeUnavailable()
	case 8:
		state := rapid.SampledFrom([]rollout.State{rollout.Running, rollout.Succeeded}).Draw(t, "state")
		s.putRollout(rollout.Rollout{ID: rollout.ID{Service: "app", To: "v2", Created: uint64(c.rev)}, Revision: uint64(c.rev), State: state}, c.rev)
	default:
		c.setRoutes(rapid.SampledFrom([][]string{{"app", "llm"}, {"app"}, {"app", "gone"}}).Draw(t, "services")...)
	}
}

// check compares what was derived with what follows from the whole list.
func (c *rebuildCase) check(t *rapid.T) {
	s := c.state
	servers := s.directory.Servers()
	want := buildPools(s.routes.Load(), servers, s.region, s.partitioner())
	if got := s.snapshot.Load(); !reflect.DeepEqual(got, want) {
		for name, p := range want.Pools {
			if !reflect.DeepEqual(got.Pools[name], p) {
				t.Errorf("pool %s: %+v, want %+v", name, got.Pools[name], p)
			}
		}
		t.Fatalf("%d pools, want %d", len(got.Pools), len(want.Pools))
	}
	addresses, usable := map[string]string{}, map[string]serverUse{}
	for _, x := range servers {
		addresses[x.Address] += x.ID + "/" + x.Incarnation() + " "
		usable[x.ID] = serverUse{leaving: x.Leaving, version: x.Version, arm: s.rollouts.arm(x)}
	}
	if !reflect.DeepEqual(c.addresses, addresses) {
		t.Fatalf("at the addresses: %v, want %v", c.addresses, addresses)
	}
	if !reflect.DeepEqual(*s.usable.Load(), usable) {
		t.Fatalf("usable: %v, want %v", *s.usable.Load(), usable)
	}
}

// Guards against pools, or servers that may be used, that differ from the whole list's.
func TestRebuildEqualsThatOfTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRebuildCase(t)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			c.step(t)
			c.check(t)
		}
	})
}

// Guards against a server of a shared address that hides the other's restart, and against pools
// that are built though none of their servers has changed.
func TestOnlyChangedPoolsAreBuilt(t *testing.T) {
	c := &rebuildCase{state: emptyState()}
	c.state.onIncarnations = func(m map[string]string) { c.addresses = m }
	c.setRoutes("app")
	var all []discovery.Server
	for i := range 200 {
		all = append(all, discovery.Server{ID: fmt.Sprintf("s%03d", i), Service: "app", Address: fmt.Sprint("10.0.0.1:", i/2), Slots: 1})
	}
	c.state.replaceServers(all, 10)
	before := c.state.snapshot.Load()
	all[7].Slots, all[7].StartedAt = 2, 1
	c.state.putServer(all[7], 11)
	after := c.state.snapshot.Load()
	built := 0
	for name, p := range after.Pools {
		if before.Pools[name] != p {
			built++
		}
	}
	if built != 1 {
		t.Fatalf("%d of %d pools were built for one server, want 1", built, len(after.Pools))
	}
	if want := "s006/0.0 s007/1.0 "; c.addresses["10.0.0.1:3"] != want {
		t.Fatalf("at the shared address: %q, want %q", c.addresses["10.0.0.1:3"], want)
	}
	c.state.updateServers(12, fromStore, func(time.Time) bool { return true })
	if c.state.snapshot.Load() != after {
		t.Fatal("pools were built though nothing had changed")
	}
	c.setRoutes("app")
	if c.state.snapshot.Load() != after {
		t.Fatal("pools were built for a configuration with the same services")
	}
}
