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

func (c *cluster) ordersOf(e *engineNode) []engine.OrderRecord {
	var orders []engine.OrderRecord
	c.getJSON(e.link.target, engine.PathOrders, &orders)
	return orders
}

// holds tells whether an engine has a version of the test's model loaded.
func (c *cluster) holds(e *engineNode, version string) bool {
	var load enginewire.Load
	c.getJSON(e.link.target, enginewire.PathLoad, &load)
	return slices.ContainsFunc(load.Models, func(m enginewire.Model) bool { return m.Model == testModel && m.Version == version })
}

// controller returns the node that holds the placement lease.
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

// firstToken returns the token of the first order of an engine that satisfies
// a condition, zero where there is none.
func (c *cluster) firstToken(e *engineNode, holds func(engine.OrderRecord) bool) uint64 {
	for _, o := range c.ordersOf(e) {
		if holds(o) {
			return o.Token
		}
	}
	return 0
}

// controlled is what a daemon's placement controller did; the test waits by
// it and judges by the engines' order logs.
type controlled struct {
	Rounds int
	Lost   int `json:"lease_lost"`
}

func (c *cluster) placementOf(n *node) controlled {
	var vars struct {
		Lycheekeel struct{ Placement controlled }
	}
	c.getJSON(n.settings.Admin, "/debug/vars", &vars)
	return vars.Lycheekeel.Placement
}

// Guards against this: engines load and unload models in turns, or lose their model.
func TestThePlacementLeaseLapsesWhileItsHolderIsPaused(t *testing.T) {
	t.Parallel()
	options := slowEngine
	options.Models = []enginewire.Model{{Model: testModel, Version: "v1"}}
	c := newCluster(t, plan{nodes: 3, engines: 3, options: options, placement: true, checksTokens: true})
	Convey("no old order has effect where tokens are checked; elsewhere the levels converge", t, func() {
		checking, trusting := c.engines[0], c.engines[1]
		s := c.backendServer(trusting, 1, plan{})
		s.ChecksTokens = false
		c.put(workspace.KindBackendServer, trusting.name, s)
		c.engineFaults(trusting, `{"ignore_fencing": true}`)
		var old uint64
		eventually(t, "the controller gives an order", func() bool {
			old = c.firstToken(checking, func(engine.OrderRecord) bool { return true })
			return old != 0
		})
		paused := c.controller()
		So(paused, ShouldNotBeNil)
		was := c.placementOf(paused)
		paused.signal(syscall.SIGSTOP)
		c.put(workspace.KindPool, "reports-v2", workspace.Pool{
			Name: "reports-v2", Region: testRegion, Model: testModel, Version: "v2", MinServers: 1,
		})
		template := testTemplate()
		template.Models[0].Version = "v2"
		c.put(workspace.KindTemplate, "snagging", template)
		var moved *engineNode
		eventually(t, "a new controller rolls the version out", func() bool {
			for _, e := range c.engines {
				if c.holds(e, "v2") {
					moved = e
				}
			}
			return moved != nil && c.firstToken(checking, func(o engine.OrderRecord) bool { return o.Token > old }) != 0
		})
		paused.signal(syscall.SIGCONT)
		c.awaitMembers()
		eventually(t, "the lapsed holder has noticed, or goes on regardless", func() bool {
			now := c.placementOf(paused)
			return now.Lost > was.Lost || now.Rounds >= was.Rounds+2
		})
		entry := c.others(paused)[0]
		eventually(t, "the new version serves callers", func() bool {
			return chat(t.Context(), entry.callers.proxy.Addr(), call{text: "echo:v2"}).text == "v2"
		})

		late, _ := json.Marshal(enginewire.Order{Kind: port.OrderUnloadModel, Model: testModel, Version: "v1", Token: old})
		late2, _ := json.Marshal(enginewire.Order{Kind: port.OrderLoadModel, Model: testModel, Version: "v0", Token: old})
		for _, e := range c.engines[:2] {
			c.lateOrder(e, late)
			c.lateOrder(e, late2)
		}
		eventually(t, "every engine serves a version that is wanted there", func() bool {
			for _, e := range c.engines {
				if !c.holds(e, "v1") && !c.holds(e, "v2") {
					return false
				}
			}
			return true
		})
		So(c.holds(checking, "v0"), ShouldBeFalse)
		for _, e := range c.engines {
			newer := false
			for i, o := range c.ordersOf(e) {
				newer = newer || o.Token > old
				forged := o.Version == "v0" || o.Kind == port.OrderUnloadModel && o.Token == old
				if newer && o.Token <= old && !forged {
					t.Errorf("%s: order %d came from the lapsed holder: %+v", e.name, i, o)
				}
				So(newer && o.Token <= old && !o.Refused && e != trusting, ShouldBeFalse)
			}
		}
	})
}

// lateOrder gives an engine an order; a refusal is no failure of the test.
func (c *cluster) lateOrder(e *engineNode, order []byte) {
	c.t.Helper()
	resp, err := client().Post("http://"+e.link.target+enginewire.PathOrder, "application/json", bytes.NewReader(order))
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
}
