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

// posted is a message that was sent.
type posted struct {
	to      peer.Name
	message peer.Type
	payload []byte
}

// postbox is a transport that keeps what is sent; each message counts.
type postbox struct {
	handlers map[peer.Type]peer.Handler
	sent     []posted
}

func newPostbox() *postbox { return &postbox{handlers: map[peer.Type]peer.Handler{}} }

func (p *postbox) Self() peer.Name                         { return "self" }
func (p *postbox) Handle(t peer.Type, h peer.Handler)      { p.handlers[t] = h }
func (p *postbox) SetAddress(of peer.Name, address string) {}
func (p *postbox) OnDown(f func(of peer.Name))             {}

func (p *postbox) Send(to peer.Name, t peer.Type, payload []byte) error {
	p.sent = append(p.sent, posted{to, t, payload})
	return nil
}

func (p *postbox) Call(context.Context, peer.Name, peer.Type, []byte) ([]byte, error) {
	return nil, peer.ErrNotConnected
}

// zoned returns members of zones with so many daemons each: a1, a2, b1.
func zoned(counts map[string]int) []member.Member {
	var out []member.Member
	for zone, n := range counts {
		for i := range n {
			out = append(out, member.Member{Name: fmt.Sprint(zone, i+1), AvailabilityZone: zone, State: member.Alive})
		}
	}
	return out
}

// quotasOf returns a daemon's part and what it sends.
func quotasOf(self string, members []member.Member) (*quotas, *postbox) {
	stopped := func() time.Time { return time.Unix(1000, 0) }
	ledger := quota.NewLimiter(stopped, daemonsAssumed, quota.Tolerance{})
	ledger.AddWorkspaces([]*route.Workspace{{Name: "w", Quota: route.Quota{PerSecond: 100, Burst: 1000}}})
	views := &member.CurrentView{}
	views.Store(member.NewView(self, members))
	box := newPostbox()
	return newQuotas(ledger, newBudgets(BoundsSettings{}), box, views, stopped), box
}

// deliver hands what was sent to one daemon over to it.
func deliver(box *postbox, from string, to *quotas, name string, handlers map[peer.Type]peer.Handler) {
	sent := box.sent
	box.sent = nil
	for _, m := range sent {
		if string(m.to) == name {
			_, err := handlers[m.message](context.Background(), peer.Name(from), m.payload)
			So(err, ShouldBeNil)
		}
	}
}

func TestQuotasFollowTheOtherDaemons(t *testing.T) {
	Convey("Given a daemon that sees another, and a third that is dead", t, func() {
		members := append(zoned(map[string]int{"a": 2}), member.Member{Name: "a3", AvailabilityZone: "a", State: member.Dead})
		one, oneBox := quotasOf("a1", members)
		two, twoBox := quotasOf("a2", members)
		now := time.Unix(1000, 0)
		one.tell(now)
		two.tell(now)
		Convey("one that says nothing keeps its share, one that is dead has none", func() {
			So(one.ledger.Share(), ShouldEqual, 0.5)
		})
		Convey("what each lets through is told by the hub", func() {
			hub, other, hubBox, otherBox := one, two, oneBox, twoBox
			if routeToHub(two.view).candidates[0] == "a2" {
				hub, other, hubBox, otherBox = two, one, twoBox, oneBox
			}
			exchange := func() {
				other.sent = time.Time{}
				other.tell(now)
				deliver(otherBox, other.view.Self, hub, hub.view.Self, hubBox.handlers)
				deliver(hubBox, hub.view.Self, other, other.view.Self, otherBox.handlers)
				hub.tell(now)
			}
			exchange()
			So(hub.ledger.Share(), ShouldEqual, 1)
			So(other.ledger.Share(), ShouldEqual, 1)
			before := hub.ledger.Levels()[0].Amount
			hub.exchange.HandleBatch("a3", quota.Batch{Number: 1, Usage: []quota.Usage{{Workspace: "w", Amount: 70}}})
			exchange()
			for _, q := range []*quotas{hub, other} {
				So(q.ledger.Levels()[0].Amount, ShouldAlmostEqual, before-70, 1e-6)
			}
		})
	})
}

// Guards against this: the messages on quotas take more of a small VM than its requests.
func TestQuotaMessagesDoNotGrowWithTheDaemons(t *testing.T) {
	Convey("Given 13 zones with 30 daemons each", t, func() {
		counts := map[string]int{}
		for z := range 13 {
			counts[fmt.Sprint("zone", string(rune('a'+z)), "-")] = 30
		}
		members := zoned(counts)
		hubs := map[string]int{}
		for _, m := range members {
			q, box := quotasOf(m.Name, members)
			q.tell(time.Unix(1000, 0))
			So(len(box.sent), ShouldBeLessThanOrEqualTo, 25) // a hub's word to the others
			if len(box.sent) == 1 {
				So(box.sent[0].message, ShouldEqual, peer.TypeQuotaBatch)
				So(string(box.sent[0].to)[:6], ShouldEqual, m.Name[:6]) // its own zone
				hubs[string(box.sent[0].to)]++
			}
		}
		So(len(hubs), ShouldEqual, 26)
		for _, reports := range hubs {
			So(reports, ShouldBeLessThanOrEqualTo, 28)
		}
	})
}

// Guards against this: a daemon lets only its share of each quota through for seconds.
func TestAnotherHubIsAskedWhenOneIsSilent(t *testing.T) {
	// asks returns whom a daemon reports to while nobody answers, in order, and
	// to whom it tells what its group lets through.
	asks := func(self string, members []member.Member) (reported []string, told map[string]bool) {
		q, box := quotasOf(self, members)
		told = map[string]bool{}
		began := time.Unix(1000, 0)
		for now := began; now.Sub(began) < 20*hubTimeout; now = now.Add(tellEvery) {
			q.tell(now)
		}
		for _, m := range box.sent {
			switch {
			case m.message == peer.TypeQuotaGroup:
				told[string(m.to)] = true
			case len(reported) == 0 || reported[len(reported)-1] != string(m.to):
				reported = append(reported, string(m.to))
			}
		}
		return reported, told
	}
	members := zoned(map[string]int{"a": 3, "b": 1, "c": 1})
	var ranked []string // the daemons of the zone, its hub first
	for _, m := range members {
		if c := routeToHub(member.NewView(m.Name, members)).candidates; m.AvailabilityZone == "a" && len(c) > 1 {
			ranked = c[:3]
		}
	}
	Convey("A daemon goes through its zone until it is a hub itself", t, func() {
		reported, told := asks(ranked[2], members)
		So(reported, ShouldResemble, ranked[:2])
		So(told, ShouldResemble, map[string]bool{ranked[0]: true, "b1": true, "c1": true})
	})
	Convey("One that is leaving, and can't be a hub, goes on to those of other zones", t, func() {
		leaving := zoned(map[string]int{"a": 3, "b": 1, "c": 1})
		for i := range leaving {
			if leaving[i].Name == ranked[2] {
				leaving[i].State = member.Leaving
			}
		}
		reported, _ := asks(ranked[2], leaving)
		So(reported[:2], ShouldResemble, ranked[:2])
		So(reported, ShouldContain, "b1")
		So(reported, ShouldContain, "c1")
	})
}

func TestQuotaMessagesThatCannotBeRead(t *testing.T) {
	Convey("They are refused and change nothing", t, func() {
		q, box := quotasOf("a1", zoned(map[string]int{"a": 2}))
		for _, m := range []peer.Type{peer.TypeQuotaBatch, peer.TypeQuotaAnswer, peer.TypeQuotaGroup} {
			_, err := box.handlers[m](context.Background(), "a2", []byte{0xff, 0xff})
			So(err, ShouldNotBeNil)
		}
		payload, err := proto.Marshal(&wire.QuotaAnswer{Number: 5, Others: []*wire.Use{{Workspace: "w", Amount: 9}}})
		So(err, ShouldBeNil)
		before := q.ledger.Levels()[0].Amount
		_, err = box.handlers[peer.TypeQuotaAnswer](context.Background(), "a2", payload)
		So(err, ShouldBeNil)
		So(q.ledger.Levels()[0].Amount, ShouldEqual, before)
	})
}
