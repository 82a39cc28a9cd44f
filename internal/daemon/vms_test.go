package daemon

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Guards against this: a backend server gets new work until its VM is gone.
func TestServerOnALeavingVMCountsAsLeaving(t *testing.T) {
	Convey("A server whose VM leaves is leaving, also while the list has an outage", t, func() {
		p := standin.New(standin.Options{})
		vms := newLeavingVMs(p, func() bool { return true })
		leaving := workspace.BackendServer{Address: "10.0.0.1:8000"}
		staying := workspace.BackendServer{Address: "10.0.0.11:8000"}
		show := func(state objectstore.VMState) {
			p.SetVMs([]objectstore.VM{
				{Name: "a", IP: "10.0.0.1", Role: "backend", State: state},
				{Name: "b", IP: "10.0.0.11", Role: "backend", State: objectstore.VMLive},
			})
			vms.ask(context.Background())
		}
		So(vms.leaving(leaving), ShouldBeFalse)
		show(objectstore.VMLive)
		So(vms.leaving(leaving), ShouldBeFalse)
		show(objectstore.VMLeaving)
		So(vms.leaving(leaving), ShouldBeTrue)
		So(vms.leaving(staying), ShouldBeFalse)
		p.SetFaults(standin.Faults{Down: true})
		vms.ask(context.Background())
		So(vms.leaving(leaving), ShouldBeTrue)
	})
}
