package test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// listVMs makes the platform's list show every engine's VM, in the state that
// it has by number, else live.
func (c *cluster) listVMs(states map[int]objectstore.VMState) {
	c.t.Helper()
	var vms []objectstore.VM
	for i, e := range c.engines {
		vm := objectstore.VM{Name: e.name, IP: c.plan.engineIP(i), Role: "backend", Region: testRegion, State: objectstore.VMLive}
		if s, ok := states[i]; ok {
			vm.State = s
		}
		vms = append(vms, vm)
	}
	data, err := json.Marshal(vms)
	if err != nil {
		c.t.Fatal(err)
	}
	c.post(c.store, standin.PathVMs, string(data))
}

// Guards against this: new requests go to VMs that are about to be taken away, or that are gone.
func TestTheVMListShowsLeavingVMsAndLags(t *testing.T) {
	t.Parallel()
	c := newCluster(t, plan{nodes: 3, engines: 4, options: slowEngine, slots: 6, ownIPs: true})
	Convey("a leaving VM gets nothing new, a dead one neither, and streams end whole", t, func() {
		c.listVMs(nil)
		owner := c.owner(testPool)
		l := startLoad(t.Context(), 16, 20, through(c.others(owner)))
		eventually(t, "traffic flows to all", func() bool {
			for _, e := range c.engines {
				if len(c.runsOf(e)) < 5 {
					return false
				}
			}
			return true
		})
		leaving, dead := c.engines[0], c.engines[1]
		c.listVMs(map[int]objectstore.VMState{0: objectstore.VMLeaving})
		sign, ran, at := time.Now(), -1, 0
		eventually(t, "100 answers come and none of them from the leaving VM", func() bool {
			if n := len(c.runsOf(leaving)); n != ran {
				ran, at = n, l.count()
			}
			return l.count() >= at+100
		})
		last := sign
		for _, r := range c.runsOf(leaving) {
			So(r.Ended == nil || r.Outcome == "stop", ShouldBeTrue)
			if r.StartedAt.After(last) {
				last = r.StartedAt
			}
		}
		t.Logf("last run on the leaving VM: %v after the list showed it", last.Sub(sign))

		dead.link.proxy.Close() // nobody listens at a dead VM's address
		dead.kill()
		at = l.count()
		eventually(t, "answers come from the others", func() bool { return l.count() >= at+100 })
		owner.kill()
		at = l.count()
		before := len(c.runsOf(leaving))
		eventually(t, "answers come under a new owner", func() bool { return l.count() >= at+150 })
		results := l.stop()
		after := len(c.runsOf(leaving)) - before
		whole, refused, broken := checkAnswers(t, c, results)
		t.Logf("%d whole, %v refused, %d broken; runs on the leaving VM after the owner change: %d", whole, refused, broken, after)
		So(after, ShouldBeLessThanOrEqualTo, 6) // until the new owner has the list
		So(broken, ShouldEqual, 0)
		So(len(results)-whole, ShouldBeLessThanOrEqualTo, 6) // what ran on the dead VM
	})
}
