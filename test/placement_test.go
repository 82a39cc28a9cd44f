package test

import (
	"bytes"
	"encoding/json"
	"slices"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	port "github.com/lycheekeel/lycheekeel/engine"
	enginewire "github.com/lycheekeel/lycheekeel/engine/httpengine/wire"
	engine "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/lease"
	"github.com/lycheekeel/lycheekeel/workspace"
)

func (c *cluster) ordersOf(e *backend) []engine.OrderRecord {
	var orders []engine.OrderRecord
	c.getJSON(e.link.target, engine.PathOrders, &orders)
	return orders
}

// hasLoaded reports whether an engine has loaded a version of the test model.
func (c *cluster) hasLoaded(e *backend, version string) bool {
	var load enginewire.Load
	c.getJSON(e.link.target, enginewire.PathLoad, &load)
	return slices.ContainsFunc(load.Models, func(m enginewire.Model) bool { return m.Model == testModel && m.Version == version })
}

// controller returns the node that holds the placement lease, or nil.
func (c *cluster) controller() *node {
	o, err := c.api.Get(c.t.Context(), lease.Kind, "placement-"+testRegion)
	if err != nil {
		return nil
	}
	var record struct{ Holder string }
	if err := json.Unmarshal(o.Value, &record); err != nil {
		c.t.Fatal(err)
	}
	for _, n := range c.nodes {
		if n.settings.Name == record.Holder {
			return n
		}
	}
	return nil
}

// firstOrderToken returns the fencing token of the first order in an engine's log
// for which cond holds, or 0 if there is none.
func (c *cluster) firstOrderToken(e *backend, cond func(engine.OrderRecord) bool) uint64 {
	for _, o := range c.ordersOf(e) {
		if cond(o) {
			return o.Token
		}
	}
	return 0
}

// controllerStats holds a placement controller's counters. The test uses them
// only to wait; its assertions rest on the engines' order logs.
type controllerStats struct {
	Rounds    int
	LeaseLost int `json:"lease_lost"`
}

func (c *cluster) controllerStatsOf(n *node) controllerStats {
	var vars struct {
		Lycheekeel struct{ Placement controllerStats }
	}
	c.getJSON(n.settings.Admin, "/debug/vars", &vars)
	return vars.Lycheekeel.Placement
}

// Guards against: orders from an expired lease holder make engines load and unload
// models alternately, or lose their model.
func TestPlacementLeaseExpiresWhileHolderIsPaused(t *testing.T) {
	t.Parallel()
	options := slowEngine
	options.Models = []enginewire.Model{{Model: testModel, Version: "v1"}}
	c := newCluster(t, clusterSpec{nodes: 3, engines: 3, options: options, placement: true, checksTokens: true})
	Convey("engines that check tokens ignore stale orders; the others converge to the wanted versions", t, func() {
		fenced, unfenced := c.engines[0], c.engines[1]
		s := c.backendServer(unfenced, 1, clusterSpec{})
		s.ChecksTokens = false
		c.put(workspace.KindBackendServer, unfenced.name, s)
		c.engineFaults(unfenced, `{"ignore_fencing": true}`)
		var oldToken uint64
		eventually(t, "the controller sends an order", func() bool {
			oldToken = c.firstOrderToken(fenced, func(engine.OrderRecord) bool { return true })
			return oldToken != 0
		})
		paused := c.controller()
		So(paused, ShouldNotBeNil)
		before := c.controllerStatsOf(paused)
		paused.signal(syscall.SIGSTOP)
		c.put(workspace.KindPool, "reports-v2", workspace.Pool{
			Name: "reports-v2", Region: testRegion, Model: testModel, Version: "v2", MinServers: 1,
		})
		template := testTemplate()
		template.Models[0].Version = "v2"
		c.put(workspace.KindTemplate, "snagging", template)
		var upgraded *backend
		eventually(t, "a new controller rolls out the version", func() bool {
			for _, e := range c.engines {
				if c.hasLoaded(e, "v2") {
					upgraded = e
				}
			}
			return upgraded != nil && c.firstOrderToken(fenced, func(o engine.OrderRecord) bool { return o.Token > oldToken }) != 0
		})
		paused.signal(syscall.SIGCONT)
		c.awaitMembers()
		eventually(t, "the expired holder has lost the lease, or has run two more rounds", func() bool {
			now := c.controllerStatsOf(paused)
			return now.LeaseLost > before.LeaseLost || now.Rounds >= before.Rounds+2
		})
		otherNode := c.others(paused)[0]
		eventually(t, "the new version serves callers", func() bool {
			return chat(t.Context(), otherNode.callerLink.proxy.Addr(), call{prompt: "echo:v2"}).text == "v2"
		})

		lateUnload, _ := json.Marshal(enginewire.Order{Kind: port.OrderUnloadModel, Model: testModel, Version: "v1", Token: oldToken})
		lateLoad, _ := json.Marshal(enginewire.Order{Kind: port.OrderLoadModel, Model: testModel, Version: "v0", Token: oldToken})
		for _, e := range c.engines[:2] {
			c.sendOrder(e, lateUnload)
			c.sendOrder(e, lateLoad)
		}
		eventually(t, "every engine has loaded one of the two versions", func() bool {
			for _, e := range c.engines {
				if !c.hasLoaded(e, "v1") && !c.hasLoaded(e, "v2") {
					return false
				}
			}
			return true
		})
		So(c.hasLoaded(fenced, "v0"), ShouldBeFalse)
		for _, e := range c.engines {
			sawNewer := false
			for i, o := range c.ordersOf(e) {
				sawNewer = sawNewer || o.Token > oldToken
				injected := o.Version == "v0" || o.Kind == port.OrderUnloadModel && o.Token == oldToken
				if sawNewer && o.Token <= oldToken && !injected {
					t.Errorf("%s: order %d came from the expired lease holder: %+v", e.name, i, o)
				}
				So(sawNewer && o.Token <= oldToken && !o.Refused && e != unfenced, ShouldBeFalse)
			}
		}
	})
}

// sendOrder sends an order to an engine. A refusal does not fail the test.
func (c *cluster) sendOrder(e *backend, order []byte) {
	c.t.Helper()
	resp, err := newClient().Post("http://"+e.link.target+enginewire.PathOrder, "application/json", bytes.NewReader(order))
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
}
