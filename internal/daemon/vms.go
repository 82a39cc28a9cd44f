package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/objectstore"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// VMListInterval is the interval at which a daemon that owns pools fetches the VM
// list. It is short because a leaving backend server must stop getting new work
// within seconds.
const VMListInterval = 1500 * time.Millisecond

// leavingVMs holds the VMs that the platform's list shows as leaving. Only
// daemons that own a pool fetch the list, because each call counts against the
// platform's rate limits.
type leavingVMs struct {
	list      objectstore.VMList
	ownsPools func() bool
	ips       atomic.Pointer[map[string]bool]
	log       *logrus.Entry
}

func newLeavingVMs(list objectstore.VMList, ownsPools func() bool) *leavingVMs {
	return &leavingVMs{list: list, ownsPools: ownsPools, log: logs.For("vms")}
}

// Run refreshes the set periodically until ctx ends.
func (l *leavingVMs) Run(ctx context.Context) {
	tick := time.NewTicker(VMListInterval)
	defer tick.Stop()
	for {
		if l.ownsPools() {
			l.refresh(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// refresh fetches the VM list. If the platform does not answer, the last list
// stays valid: a VM that is leaving does not come back.
func (l *leavingVMs) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, VMListInterval)
	defer cancel()
	vms, err := l.list.VMs(ctx)
	if err != nil {
		l.log.WithError(err).Debug("can't fetch the VM list")
		return
	}
	ips := map[string]bool{}
	for _, vm := range vms {
		if vm.State == objectstore.VMLeaving {
			ips[vm.IP] = true
		}
	}
	l.ips.Store(&ips)
}

// isLeaving reports whether a backend server's VM is leaving.
func (l *leavingVMs) isLeaving(s workspace.BackendServer) bool {
	ips := l.ips.Load()
	if ips == nil || len(*ips) == 0 {
		return false
	}
	ip, _, err := net.SplitHostPort(s.Address)
	return err == nil && (*ips)[ip]
}
