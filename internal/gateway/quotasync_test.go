package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/lycheekeel/lycheekeel/internal/gateway/wire"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/member"
	"github.com/lycheekeel/lycheekeel/quota"
	"github.com/lycheekeel/lycheekeel/route"
)

// sentMessage is a message that was sent.
type sentMessage struct {
	to      peer.Name
	kind    peer.Type
	payload []byte
}

// fakeTransport records what is sent; each message counts.
type fakeTransport struct {
	handlers map[peer.Type]peer.Handler
	sent     []sentMessage
}

func newFakeTransport() *fakeTransport { return &fakeTransport{handlers: map[peer.Type]peer.Handler{}} }

func (p *fakeTransport) Self() peer.Name                         { return "self" }
func (p *fakeTransport) Handle(t peer.Type, h peer.Handler)      { p.handlers[t] = h }
func (p *fakeTransport) SetAddress(of peer.Name, address string) {}
func (p *fakeTransport) OnDown(f func(of peer.Name))             {}

func (p *fakeTransport) Send(to peer.Name, t peer.Type, payload []byte) error {
	p.sent = append(p.sent, sentMessage{to, t, payload})
	return nil
}

func (p *fakeTransport) Call(context.Context, peer.Name, peer.Type, []byte) ([]byte, error) {
	return nil, peer.ErrNotConnected
}

// zoneMembers returns the given number of members of each zone, named a1, a2, b1.
func zoneMembers(counts map[string]int) []member.Member {
	var out []member.Member
	for zone, n := range counts {
		for i := range n {
			out = append(out, member.Member{Name: fmt.Sprint(zone, i+1), AvailabilityZone: zone, State: member.Alive})
		}
	}
	return out
}

// newTestQuotaSync returns a daemon's quotaSync and the transport that it sends on.
func newTestQuotaSync(self string, members []member.Member) (*quotaSync, *fakeTransport) {
	stopped := func() time.Time { return time.Unix(1000, 0) }
	limiter := quota.NewLimiter(stopped, assumedDaemons, quota.Tolerance{})
	limiter.AddWorkspaces([]*route.Workspace{{Name: "w", Quota: route.Quota{PerSecond: 100, Burst: 1000}}})
	view := &member.CurrentView{}
	view.Store(member.NewView(self, members))
	transport := newFakeTransport()
	return newQuotaSync(limiter, newRetryBudgets(BoundsSettings{}), transport, view, stopped), transport
}

// deliver passes the messages that were sent to one daemon to its handlers.
func deliver(transport *fakeTransport, from string, to *quotaSync, name string, handlers map[peer.Type]peer.Handler) {
	sent := transport.sent
	transport.sent = nil
	for _, m := range sent {
		if string(m.to) == name {
			_, err := handlers[m.kind](context.Background(), peer.Name(from), m.payload)
			So(err, ShouldBeNil)
		}
	}
}

func TestQuotaSharesFollowPeers(t *testing.T) {
	Convey("Given two daemons that see each other, and a third that is dead", t, func() {
		members := append(zoneMembers(map[string]int{"a": 2}), member.Member{Name: "a3", AvailabilityZone: "a", State: member.Dead})
		one, oneTransport := newTestQuotaSync("a1", members)
		two, twoTransport := newTestQuotaSync("a2", members)
		now := time.Unix(1000, 0)
		one.tick(now)
		two.tick(now)
		Convey("a daemon not heard of yet keeps its share, and a dead one has none", func() {
			So(one.limiter.Share(), ShouldEqual, 0.5)
		})
		Convey("the hub passes on the usage of each daemon", func() {
			hub, other, hubTransport, otherTransport := one, two, oneTransport, twoTransport
			if newHubRoute(two.view).candidates[0] == "a2" {
				hub, other, hubTransport, otherTransport = two, one, twoTransport, oneTransport
			}
			exchange := func() {
				other.lastSent = time.Time{}
				other.tick(now)
				deliver(otherTransport, other.view.Self, hub, hub.view.Self, hubTransport.handlers)
				deliver(hubTransport, hub.view.Self, other, other.view.Self, otherTransport.handlers)
				hub.tick(now)
			}
			exchange()
			So(hub.limiter.Share(), ShouldEqual, 1)
			So(other.limiter.Share(), ShouldEqual, 1)
			before := hub.limiter.Levels()[0].Amount
			hub.exchange.HandleBatch("a3", quota.Batch{Number: 1, Usage: []quota.Usage{{Workspace: "w", Amount: 70}}})
			exchange()
			for _, q := range []*quotaSync{hub, other} {
				So(q.limiter.Levels()[0].Amount, ShouldAlmostEqual, before-70, 1e-6)
			}
		})
	})
}

// Guards against quota messages that take more of a small VM than its requests do.
func TestQuotaMessagesPerDaemonAreBounded(t *testing.T) {
	Convey("Given 13 zones with 30 daemons each", t, func() {
		counts := map[string]int{}
		for z := range 13 {
			counts[fmt.Sprint("zone", string(rune('a'+z)), "-")] = 30
		}
		members := zoneMembers(counts)
		hubs := map[string]int{}
		for _, m := range members {
			q, transport := newTestQuotaSync(m.Name, members)
			q.tick(time.Unix(1000, 0))
			So(len(transport.sent), ShouldBeLessThanOrEqualTo, 25) // a hub's reports to the other hubs
			if len(transport.sent) == 1 {
				So(transport.sent[0].kind, ShouldEqual, peer.TypeQuotaBatch)
				So(string(transport.sent[0].to)[:6], ShouldEqual, m.Name[:6]) // its own zone
				hubs[string(transport.sent[0].to)]++
			}
		}
		So(len(hubs), ShouldEqual, 26)
		for _, reports := range hubs {
			So(reports, ShouldBeLessThanOrEqualTo, 28)
		}
	})
}

// Guards against a daemon that admits only its share of each quota for seconds, because its hub is
// silent.
func TestHubFailover(t *testing.T) {
	// run returns whom a daemon reports to while nobody answers, in order, and to which hubs
	// it reports the usage of its group.
	run := func(self string, members []member.Member) (reported []string, groups map[string]bool) {
		q, transport := newTestQuotaSync(self, members)
		groups = map[string]bool{}
		start := time.Unix(1000, 0)
		for now := start; now.Sub(start) < 20*hubTimeout; now = now.Add(quotaSyncInterval) {
			q.tick(now)
		}
		for _, m := range transport.sent {
			switch {
			case m.kind == peer.TypeQuotaHubReport:
				groups[string(m.to)] = true
			case len(reported) == 0 || reported[len(reported)-1] != string(m.to):
				reported = append(reported, string(m.to))
			}
		}
		return reported, groups
	}
	members := zoneMembers(map[string]int{"a": 3, "b": 1, "c": 1})
	var ranked []string // the daemons of the zone, its hub first
	for _, m := range members {
		if c := newHubRoute(member.NewView(m.Name, members)).candidates; m.AvailabilityZone == "a" && len(c) > 1 {
			ranked = c[:3]
		}
	}
	Convey("A daemon tries the candidates of its zone until it becomes a hub itself", t, func() {
		reported, groups := run(ranked[2], members)
		So(reported, ShouldResemble, ranked[:2])
		So(groups, ShouldResemble, map[string]bool{ranked[0]: true, "b1": true, "c1": true})
	})
	Convey("A leaving daemon, which can't be a hub, goes on to the hubs of other zones", t, func() {
		leaving := zoneMembers(map[string]int{"a": 3, "b": 1, "c": 1})
		for i := range leaving {
			if leaving[i].Name == ranked[2] {
				leaving[i].State = member.Leaving
			}
		}
		reported, _ := run(ranked[2], leaving)
		So(reported[:2], ShouldResemble, ranked[:2])
		So(reported, ShouldContain, "b1")
		So(reported, ShouldContain, "c1")
	})
}

// Guards against a malformed message that is accepted, and against an answer to no batch of this
// daemon that changes quota levels.
func TestMalformedQuotaMessagesAreRefused(t *testing.T) {
	Convey("Malformed messages are refused and change nothing", t, func() {
		q, transport := newTestQuotaSync("a1", zoneMembers(map[string]int{"a": 2}))
		for _, m := range []peer.Type{peer.TypeQuotaBatch, peer.TypeQuotaAnswer, peer.TypeQuotaHubReport} {
			_, err := transport.handlers[m](context.Background(), "a2", []byte{0xff, 0xff})
			So(err, ShouldNotBeNil)
		}
		payload, err := proto.Marshal(&wire.QuotaAnswer{Number: 5, Others: []*wire.Use{{Workspace: "w", Amount: 9}}})
		So(err, ShouldBeNil)
		before := q.limiter.Levels()[0].Amount
		_, err = transport.handlers[peer.TypeQuotaAnswer](context.Background(), "a2", payload)
		So(err, ShouldBeNil)
		So(q.limiter.Levels()[0].Amount, ShouldEqual, before)
	})
}
