package gateway

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/poolhost"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// How soon the loss of a pool's owner is noticed and made up for. A VM that loses
// power says nothing: its connections go silent, membership declares it dead after
// two seconds, and until another owner is found its service would serve nobody.
//
// What goes wrong with longer times: a service's requests wait for seconds after the
// owner's VM has lost power, in the middle of a burst, and are late when they are served.
const (
	// peerPingAfter and peerSilence give a silent connection up after 0.6 s in all.
	// A VM that is out of processor time stands still for a tenth of a second.
	peerPingAfter = 200 * time.Millisecond
	peerSilence   = 400 * time.Millisecond
	// degradedAfter is how soon after that an entry serves on its own share of the
	// slots.
	degradedAfter = 100 * time.Millisecond
)

// joinPeers makes the parts that act together with the other daemons. Those
// that register handlers at the transport are made before it starts.
func (g *Gateway) joinPeers(key []byte) error {
	s := g.settings
	var err error
	g.transport, err = peer.NewTCP(peer.Options{
		Name: peer.Name(s.Name), Listen: s.Peer, Keys: [][]byte{key}, Registry: g.metrics,
		PingAfter: peerPingAfter, Silence: peerSilence,
	})
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	g.members, err = member.NewRunner(member.Config{
		Self: member.Member{
			Name: s.Name, Address: s.PeerAddress, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
			ProtocolVersion: peer.NewestVersion, Incarnation: uint64(time.Now().UnixMilli()),
			Weight: s.Limits.weight(),
		},
		Seeds: s.Seeds,
	}, member.RunnerOptions{Transport: g.transport, View: g.views, Registry: g.metrics})
	if err != nil {
		return errors.Wrap(err, "membership")
	}
	g.host = poolhost.New(poolhost.Config{
		Self: s.Name, Region: s.Region, Snapshots: g.pools, Views: g.views, Transport: g.transport,
		DegradedAfter: degradedAfter, Unmonitored: true, Metrics: g.metrics, NewScheduler: newScheduler,
	})
	g.broker = broker.New(g.host)
	g.quotas = newQuotaSync(g.ledger, g.budgets, g.transport, g.views, time.Now)
	g.peerSync = newPeerSync(g.state, g.transport, g.views, g.members.Joined())
	g.rollouts.join(s.Region, g.transport, g.views, g.host.Owner)
	g.transport.Start()
	g.members.Start()
	return nil
}

// maxWaitShare is the part of its first-token target for which a request waits for
// a slot. One that waits longer is late, or nearly, when it is granted, and it
// takes the slot of one that would be in time; its caller, if it is refused
// after all, has lost that time.
const maxWaitShare = 0.12

// extendedWaitShare is the same where the pace of grants lets a request have its slot by
// then: it waits as long as it may be in time. With less, those that would be served a
// moment later are refused, come back in the burst and are refused again.
const extendedWaitShare = 1.0

// runGrace is how long past its deadline a run stays counted: the time for its
// release to arrive.
const runGrace = time.Second

// headroomShare is the part of all slots kept free of lower tiers.
const headroomShare = 0.05

func newScheduler(p *workspace.ResolvedPool, epoch uint64) poolhost.Scheduler {
	return pool.New(pool.Config{
		Name: p.Name, Epoch: epoch, Seed: epoch, MaxWaitShare: maxWaitShare, ExtendedWaitShare: extendedWaitShare, Headroom: headroomShare,
		ReleaseGrace: runGrace, KeepStragglers: true, SpareFastServers: true,
	})
}
