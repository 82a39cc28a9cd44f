package peertest

import (
	"context"
	"testing"

	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestNetwork(t *testing.T) {
	Convey("Given two nodes", t, func() {
		net := NewNetwork()
		Reset(net.Close)
		a, b := net.Node("a"), net.Node("b")
		got := make(chan string, 16)
		b.Handle(peer.TypePing, func(_ context.Context, from peer.Name, p []byte) ([]byte, error) {
			got <- string(from) + string(p)
			return append([]byte("re:"), p...), nil
		})
		down := make(chan peer.Name, 4)
		a.OnDown(func(name peer.Name) { down <- name })

		Convey("messages arrive in order and calls are answered", func() {
			So(a.Send("b", peer.TypePing, []byte("1")), ShouldBeNil)
			So(a.Send("b", peer.TypePing, []byte("2")), ShouldBeNil)
			So(<-got, ShouldEqual, "a1")
			So(<-got, ShouldEqual, "a2")
			out, err := a.Call(context.Background(), "b", peer.TypePing, []byte("3"))
			So(err, ShouldBeNil)
			So(string(out), ShouldEqual, "re:3")
			So(a.Counters(), ShouldResemble, Counters{MessagesOut: 3, MessagesIn: 1, BytesOut: 3, BytesIn: 4})
			_, err = a.Call(context.Background(), peer.ByAddress("b"), peer.TypeStatus, nil)
			So(errors.Is(err, peer.ErrUnknownType), ShouldBeTrue)
			b.Handle(peer.TypeStatus, func(context.Context, peer.Name, []byte) ([]byte, error) {
				return nil, context.Canceled
			})
			_, err = a.Call(context.Background(), "b", peer.TypeStatus, nil)
			So(err, ShouldResemble, &peer.RemoteError{Message: "context canceled"})
		})
		Convey("a partition is reported and refuses sends; a dropped answer leaves the outcome unknown", func() {
			So(a.Send("b", peer.TypePing, []byte("1")), ShouldBeNil)
			net.Partition("a", "b")
			So(<-down, ShouldEqual, peer.Name("b"))
			So(a.Send("b", peer.TypePing, nil), ShouldEqual, peer.ErrNotConnected)
			net.Heal("a", "b")
			net.Drop("b", "a")
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				for m := range got {
					if m == "alost" {
						cancel()
						return
					}
				}
			}()
			_, err := a.Call(ctx, "b", peer.TypePing, []byte("lost"))
			So(err, ShouldEqual, peer.ErrUnknownOutcome)
		})
		Convey("a crashed node is unreachable until it is restarted", func() {
			So(a.Send("b", peer.TypePing, []byte("1")), ShouldBeNil)
			net.Crash("b")
			So(<-down, ShouldEqual, peer.Name("b"))
			So(a.Send("b", peer.TypePing, nil), ShouldEqual, peer.ErrNotConnected)
			net.Node("b")
			So(a.Send("b", peer.TypePing, nil), ShouldBeNil)
		})
	})
}
