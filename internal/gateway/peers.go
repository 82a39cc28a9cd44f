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

// These times bound how soon the loss of a pool's owner is detected and compensated. A
// VM that loses power closes no connection: membership declares it dead after 2 s, and
// its services would not be served until another owner is found. With longer times,
// requests would wait for seconds in the middle of a burst and miss their targets.
const (
	// peerPingAfter and peerSilence close a silent connection after 0.6 s in all. A VM
	// that has used up its processor time can pause for 100 ms.
	peerPingAfter = 200 * time.Millisecond
	peerSilence   = 400 * time.Millisecond
	// degradedAfter is how soon after that an entry dispatches on its own share of the
	// slots.
	degradedAfter = 100 * time.Millisecond
)

// joinPeers creates the parts that talk to other daemons. Those that register handlers
// at the transport are created before it starts.
func (g *Gateway) joinPeers(key []byte) error {
	s := g.settings
	var err error
	g.transport, err = peer.NewTCP(peer.Options{
		Name: peer.Name(s.Name), Listen: s.Peer, Keys: [][]byte{key}, Registry: g.metrics,
		PingDelay: peerPingAfter, PingTimeout: peerSilence, Dial: g.platform.DialPeer,
	})
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	g.members, err = member.NewRunner(member.Config{
		Self: member.Member{
			Name: s.Name, Address: s.PeerAddress, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
			ProtocolVersion: peer.NewestVersion, Incarnation: uint64(time.Now().UnixMilli()),
			Weight: s.Limits.weight(),
		},
		Seeds: s.Seeds,
	}, member.RunnerOptions{Transport: g.transport, View: g.currentView, Registry: g.metrics})
	if err != nil {
		return errors.Wrap(err, "create membership")
	}
	g.host = poolhost.New(poolhost.Config{
		Self: s.Name, Region: s.Region, Snapshot: g.snapshot, View: g.currentView, Transport: g.transport,
		DegradedAfter: degradedAfter, DisableProbes: true, Metrics: g.metrics, NewScheduler: g.newScheduler,
		Traits: g.traits.ofPool, ConfirmAfterCrashes: confirmAfterCrashes,
	})
	g.broker = broker.New(g.host)
	g.quotas = newQuotaSync(g.limiter, g.budgets, g.transport, g.currentView, time.Now)
	g.peerSync = newPeerSync(g.state, g.transport, g.currentView, g.members.Joined())
	g.rollouts.join(s.Region, g.transport, g.currentView, g.host.Owner)
	g.relay.Join(g.transport, g.currentView)
	g.streams.Join(g.transport, g.currentView, g.members.Joined())
	g.transport.Start()
	g.members.Start()
	return nil
}

// maxWaitShare is the share of its first-token target that a request may wait for a slot.
// One that waits longer would miss its target, or nearly, and take the slot from a request
// that can meet its own; if it is refused in the end, its caller has lost that time.
const maxWaitShare = 0.12

// extendedWaitShare replaces maxWaitShare where, at the rate of grants, the request will
// get its slot in time. With less, requests that would be served a moment later are
// refused, and retry into the same burst.
const extendedWaitShare = 1.0

// releaseGrace is how long after its deadline a run still occupies its slot, so that its
// release can arrive.
const releaseGrace = time.Second

// headroomShare is the share of all slots kept free of lower tiers.
const headroomShare = 0.05

// confirmAfterCrashes is the number of servers that may crash under a content in a row
// before its requests are refused. A crash takes a whole batch along, so that fewer would
// refuse contents that were beside the one that crashes servers.
const confirmAfterCrashes = 3

func (g *Gateway) newScheduler(p *workspace.ResolvedPool, epoch uint64) poolhost.Scheduler {
	return pool.New(pool.Config{
		Name: p.Name, Epoch: epoch, Seed: epoch, MaxWaitShare: maxWaitShare, ExtendedWaitShare: extendedWaitShare, Headroom: headroomShare,
		ReleaseGrace: releaseGrace, KeepStragglers: true, SpareFastServers: true, ConfirmAfterCrashes: confirmAfterCrashes,
		Traits: g.traits.ofPool(p),
	})
}
