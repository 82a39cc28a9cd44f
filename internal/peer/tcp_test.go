package peer

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// waitTimeout limits every wait of these tests.
const waitTimeout = 20 * time.Second

var testKey = []byte("0123456789abcdef")

// node is a started transport with the events of its handlers.
type node struct {
	*TCP
	reg      *metrics.Registry
	received chan string
	down     chan Name
}

// startNode starts a daemon's transport; configure may change its options.
func startNode(name Name, configure func(*Options)) *node {
	n := &node{reg: metrics.New(), received: make(chan string, 1<<14), down: make(chan Name, 64)}
	o := Options{Name: name, Listen: "127.0.0.1:0", Keys: [][]byte{testKey}, Registry: n.reg}
	if configure != nil {
		configure(&o)
	}
	t, err := NewTCP(o)
	So(err, ShouldBeNil)
	n.TCP = t
	t.Handle(TypePoolEvents, func(_ context.Context, from Name, p []byte) ([]byte, error) {
		n.received <- fmt.Sprintf("%s:%s", from, p)
		return nil, nil
	})
	t.Handle(TypeConfigPull, func(_ context.Context, _ Name, p []byte) ([]byte, error) {
		if string(p) == "fail" {
			return nil, errors.New("no such object")
		}
		return append([]byte("re:"), p...), nil
	})
	t.OnDown(func(peer Name) { n.down <- peer })
	t.Start()
	Reset(t.Close)
	return n
}

func (n *node) setAddresses(others ...*node) {
	for _, o := range others {
		n.SetAddress(o.Self(), o.Addr().String())
	}
}

func (n *node) count(group string, r reason) int64 {
	return n.reg.Counter(group, string(r)).Value()
}

func (n *node) call(to Name, payload string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out, err := n.Call(ctx, to, TypeConfigPull, []byte(payload))
	return string(out), err
}

// await returns the next value, or panics after waitTimeout.
func await[T any](c <-chan T) T {
	select {
	case v := <-c:
		return v
	case <-time.After(waitTimeout):
		panic("timed out waiting for a value")
	}
}

// eventually polls a condition and panics after waitTimeout.
func eventually(cond func() bool) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	end := time.After(waitTimeout)
	for !cond() {
		select {
		case <-tick.C:
		case <-end:
			panic("timed out waiting for a condition")
		}
	}
}

func TestMessages(t *testing.T) {
	Convey("Given two daemons", t, func() {
		a, b := startNode("a", nil), startNode("b", nil)
		a.setAddresses(b)

		Convey("one-way messages arrive in order, in both directions of one connection", func() {
			for i := range 1000 {
				So(a.Send("b", TypePoolEvents, fmt.Append(nil, i)), ShouldBeNil)
			}
			for i := range 1000 {
				So(await(b.received), ShouldEqual, fmt.Sprintf("a:%d", i))
			}
			So(b.Send("a", TypePoolEvents, []byte("back")), ShouldBeNil)
			So(await(a.received), ShouldEqual, "b:back")
			So(a.Connections()+b.Connections(), ShouldEqual, 2)
		})
		Convey("calls are answered, including large and failing ones", func() {
			big := string(bytes.Repeat([]byte("x"), 1<<20))
			out, err := a.call("b", big)
			So(err, ShouldBeNil)
			So(out == "re:"+big, ShouldBeTrue)
			_, err = a.call("b", "fail")
			var remote *RemoteError
			So(errors.As(err, &remote), ShouldBeTrue)
			So(remote.Message, ShouldEqual, "no such object")
		})
		Convey("a seed is reached by its address, and names are used afterwards", func() {
			So(a.Send(ByAddress(b.Addr().String()), TypePoolEvents, []byte("hi")), ShouldBeNil)
			So(await(b.received), ShouldEqual, "a:hi")
			So(b.Send("a", TypePoolEvents, []byte("welcome")), ShouldBeNil)
			So(await(a.received), ShouldEqual, "b:welcome")
		})
		Convey("sending to a peer without address or with too large a payload fails", func() {
			So(a.Send("nobody", TypePoolEvents, nil), ShouldEqual, ErrNotConnected)
			So(a.Send("b", TypePoolEvents, make([]byte, MaxPayloadBytes+1)), ShouldNotBeNil)
		})
		Convey("a peer that reads nothing leads to ErrOverloaded once the queue is full", func() {
			release := make(chan struct{})
			slow := startNode("slow", nil)
			slow.handlers[TypeSuspect] = func(context.Context, Name, []byte) ([]byte, error) {
				<-release
				return nil, nil
			}
			a.setAddresses(slow)
			var err error
			for range maxQueuedBytes / (64 << 10) * 2 {
				if err = a.Send("slow", TypeSuspect, make([]byte, 64<<10)); err != nil {
					break
				}
			}
			close(release)
			So(err, ShouldEqual, ErrOverloaded)
			eventually(func() bool { return a.count(groupDrops, dropQueueFull) == 1 })
		})
	})
}

func TestIdleConnectionIsClosedWithoutLoss(t *testing.T) {
	// Guards against sessions that are reopened although only an idle connection was closed.
	Convey("An idle connection is closed gracefully without a call of OnDown", t, func() {
		shortIdle := func(o *Options) { o.IdleTimeout = 50 * time.Millisecond }
		a, b := startNode("a", shortIdle), startNode("b", shortIdle)
		a.setAddresses(b)
		So(a.Send("b", TypePoolEvents, []byte("1")), ShouldBeNil)
		So(await(b.received), ShouldEqual, "a:1")
		eventually(func() bool { return a.Connections() == 0 && b.Connections() == 0 })
		eventually(func() bool { return a.count(groupClosed, closedIdle) == 1 })
		eventually(func() bool { return b.count(groupClosed, closedIdle) == 1 })
		So(len(a.down)+len(b.down), ShouldEqual, 0)
		So(a.Send("b", TypePoolEvents, []byte("2")), ShouldBeNil)
		So(await(b.received), ShouldEqual, "a:2")
	})
}

func TestSilentConnection(t *testing.T) {
	// Guards against requests that hang until their deadlines on a silent connection to a healthy owner.
	for name, direction := range map[string]faultproxy.Direction{
		"both ways": faultproxy.Both, "to the peer": faultproxy.ToTarget, "from the peer": faultproxy.ToClient,
	} {
		Convey("A connection that goes silent "+name+" is replaced by a new one", t, func() {
			a, b := startNode("a", nil), startNode("b", nil)
			p, err := faultproxy.New("127.0.0.1:0", b.Addr().String())
			So(err, ShouldBeNil)
			Reset(p.Close)
			a.SetAddress("b", p.Addr())
			So(a.Send("b", TypePoolEvents, []byte("0")), ShouldBeNil)
			So(await(b.received), ShouldEqual, "a:0")

			p.Silence(direction)
			pending := make(chan error, 1)
			go func() {
				_, err := a.call("b", "lost")
				pending <- err
			}()
			So(errors.Is(await(pending), ErrUnknownOutcome), ShouldBeTrue)
			So(await(a.down), ShouldEqual, Name("b"))
			// In one direction the peer may detect the silence first and close.
			wantReason := closedSilent
			if direction == faultproxy.ToTarget && a.count(groupClosed, closedBroken) == 1 {
				wantReason = closedBroken
			}
			eventually(func() bool { return a.count(groupClosed, wantReason) == 1 })
			eventually(func() bool { return a.count(groupRedials, wantReason) == 1 })
			out, err := a.call("b", "new")
			So(err, ShouldBeNil)
			So(out, ShouldEqual, "re:new")
			// The other end learns of the break from the new connection.
			So(await(b.down), ShouldEqual, Name("a"))
			So(b.Send("a", TypePoolEvents, []byte("back")), ShouldBeNil)
			So(await(a.received), ShouldEqual, "b:back")
		})
	}
}

func TestRestartedPeer(t *testing.T) {
	// Guards against slots that stay occupied by requests of an entry that has restarted.
	Convey("A new instance under the same name ends the old connections", t, func() {
		b := startNode("b", nil)
		p, err := faultproxy.New("127.0.0.1:0", b.Addr().String())
		So(err, ShouldBeNil)
		Reset(p.Close)
		a := startNode("a", nil)
		a.SetAddress("b", p.Addr())
		So(a.Send("b", TypePoolEvents, []byte("1")), ShouldBeNil)
		So(await(b.received), ShouldEqual, "a:1")
		p.Silence(faultproxy.Both)
		a.Close()
		restarted := startNode("a", nil)
		restarted.setAddresses(b)
		So(restarted.Send("b", TypePoolEvents, []byte("2")), ShouldBeNil)
		So(await(b.received), ShouldEqual, "a:2")
		So(await(b.down), ShouldEqual, Name("a"))
		eventually(func() bool { return b.count(groupClosed, closedRestarted)+b.count(groupClosed, closedSilent) == 1 })
	})
}
