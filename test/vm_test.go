package test

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// listVMs sets the platform's VM list to one VM per engine. A VM has the state
// given for its engine's index, or else is live.
func (c *cluster) listVMs(states map[int]objectstore.VMState) {
	c.t.Helper()
	var vms []objectstore.VM
	for i, e := range c.engines {
		vm := objectstore.VM{Name: e.name, IP: c.spec.engineIP(i), Role: "backend", Region: testRegion, State: objectstore.VMLive}
		if s, ok := states[i]; ok {
			vm.State = s
		}
		vms = append(vms, vm)
	}
	data, err := json.Marshal(vms)
	if err != nil {
		c.t.Fatal(err)
	}
	c.post(c.platformAddr, standin.PathVMs, string(data))
}

// Guards against: new requests are sent to VMs that are leaving or dead.
func TestVMListShowsLeavingAndDeadVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterSpec{nodes: 3, engines: 4, options: slowEngine, slots: 6, ownIPs: true})
	Convey("leaving and dead VMs get no new requests, and streams on leaving VMs complete", t, func() {
		c.listVMs(nil)
		owner := c.owner(testPool)
		l := startLoad(t.Context(), 16, 20, roundRobin(c.others(owner)))
		eventually(t, "every engine gets requests", func() bool {
			for _, e := range c.engines {
				if len(c.runsOf(e)) < 5 {
					return false
				}
			}
			return true
		})
		leaving, dead := c.engines[0], c.engines[1]
		c.listVMs(map[int]objectstore.VMState{0: objectstore.VMLeaving})
		listedAt, ran, before := time.Now(), -1, 0
		eventually(t, "100 answers arrive without a new run on the leaving VM", func() bool {
			if n := len(c.runsOf(leaving)); n != ran {
				ran, before = n, l.count()
			}
			return l.count() >= before+100
		})
		last := listedAt
		for _, r := range c.runsOf(leaving) {
			So(r.Ended == nil || r.Outcome == "stop", ShouldBeTrue)
			if r.StartedAt.After(last) {
				last = r.StartedAt
			}
		}
		t.Logf("last run on the leaving VM: %v after the VM list changed", last.Sub(listedAt))

		dead.link.proxy.Close() // nothing listens on a dead VM's address
		dead.kill()
		before = l.count()
		eventually(t, "the other VMs answer", func() bool { return l.count() >= before+100 })
		owner.kill()
		before = l.count()
		runsBefore := len(c.runsOf(leaving))
		eventually(t, "requests are answered under a new owner", func() bool { return l.count() >= before+150 })
		results := l.stop()
		after := len(c.runsOf(leaving)) - runsBefore
		complete, refused, failed := checkAnswers(t, c, results)
		t.Logf("%d complete, %v refused, %d failed; runs on the leaving VM after the owner change: %d", complete, refused, failed, after)
		So(after, ShouldBeLessThanOrEqualTo, 6) // before the new owner has read the VM list
		So(failed, ShouldEqual, 0)
		So(len(results)-complete, ShouldBeLessThanOrEqualTo, 6) // requests that ran on the dead VM
	})
}
