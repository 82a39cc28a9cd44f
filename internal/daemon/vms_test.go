package daemon

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/lycheekeel/lycheekeel/internal/standin/objectstore"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Guards against: a backend server gets new work until its VM is gone.
func TestServerOnLeavingVMIsLeaving(t *testing.T) {
	Convey("A server on a leaving VM counts as leaving, also while the VM list is unavailable", t, func() {
		platform := standin.New(standin.Options{})
		vms := newLeavingVMs(platform, func() bool { return true })
		leaving := workspace.BackendServer{Address: "10.0.0.1:8000"}
		staying := workspace.BackendServer{Address: "10.0.0.11:8000"}
		setState := func(state objectstore.VMState) {
			platform.SetVMs([]objectstore.VM{
				{Name: "a", IP: "10.0.0.1", Role: "backend", State: state},
				{Name: "b", IP: "10.0.0.11", Role: "backend", State: objectstore.VMLive},
			})
			vms.refresh(context.Background())
		}
		So(vms.isLeaving(leaving), ShouldBeFalse)
		setState(objectstore.VMLive)
		So(vms.isLeaving(leaving), ShouldBeFalse)
		setState(objectstore.VMLeaving)
		So(vms.isLeaving(leaving), ShouldBeTrue)
		So(vms.isLeaving(staying), ShouldBeFalse)
		platform.SetFaults(standin.Faults{Down: true})
		vms.refresh(context.Background())
		So(vms.isLeaving(leaving), ShouldBeTrue)
	})
}
