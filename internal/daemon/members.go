package daemon

import (
	"cmp"
	"context"
	"slices"

	"github.com/lycheekeel/lycheekeel/member"
)

// wireMembers makes the membership.
func (d *Daemon) wireMembers() {
	s := &d.settings
	d.views.Store(member.NewView(s.Name, []member.Member{{
		Name: s.Name, Address: s.Peer.Address, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
	}}))
}

// leave tells the other members that this one takes no pools any more.
func (d *Daemon) leave() {}

// parts returns what runs beside the servers.
func (d *Daemon) parts() []func(context.Context) {
	return []func(context.Context){d.syncer.Run, d.host.Run, d.broker.Run}
}

// sortBy sorts by a key.
func sortBy[T any, K cmp.Ordered](s []T, key func(T) K) {
	slices.SortFunc(s, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}
