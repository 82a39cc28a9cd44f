package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// roleEntry is the role, in the platform's VM list, of the VMs that run this
// daemon.
const roleEntry = "entry"

// wireMembers creates the membership protocol's runner, which registers handlers
// with the transport.
func (d *Daemon) wireMembers() error {
	var err error
	d.members, err = member.NewRunner(member.Config{
		Self: member.Member{
			Name: d.settings.Name, Address: d.peerAddress(), Region: d.settings.Region,
			AvailabilityZone: d.settings.AvailabilityZone, ProtocolVersion: peer.NewestVersion,
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Seeds: d.settings.Peer.Seeds,
	}, member.RunnerOptions{
		Transport: d.transport, View: d.view, Registry: d.metrics, VMAddresses: d.peerCandidates,
	})
	return errors.Wrap(err, "membership")
}

// peerAddress returns the address at which other daemons reach this one.
func (d *Daemon) peerAddress() string {
	a := d.settings.Peer.Address
	if p, err := netip.ParseAddrPort(a); err == nil && p.Port() == 0 {
		return d.transport.Addr().String()
	}
	return a
}

// peerCandidates returns addresses at which other daemons may listen: the live
// VMs with the daemon's role in the platform's VM list, with this daemon's own
// peer port.
func (d *Daemon) peerCandidates(ctx context.Context) ([]string, error) {
	self, err := netip.ParseAddrPort(d.peerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "own peer address")
	}
	vms, err := d.platform.VMs(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, vm := range vms {
		ip, err := netip.ParseAddr(vm.IP)
		if vm.Role == roleEntry && vm.State == objectstore.VMLive && err == nil {
			out = append(out, netip.AddrPortFrom(ip, self.Port()).String())
		}
	}
	return out, nil
}
