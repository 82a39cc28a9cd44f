package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/peer"
	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/member"
)

const (
	serverA, serverB = "server-a", "server-b"
	waitLimit        = 20 * time.Second
)

// mode is what becomes of a daemon's direct connections to a server.
type mode uint8

const (
	works mode = iota
	refuses
	hangs
)

// network connects daemons to servers, which echo what they read, and to each other.
type network struct {
	mu     sync.Mutex
	links  map[string]map[string]mode // by daemon and server
	relays map[string]*Relay
	old    map[string]bool // daemons that know no relayed connections
	asked  []string        // daemons that were asked for a connection
	dialed map[string]int  // direct connections by daemon
}

func newNetwork(names ...string) *network {
	n := &network{links: map[string]map[string]mode{}, relays: map[string]*Relay{}, old: map[string]bool{}, dialed: map[string]int{}}
	var members []member.Member
	for _, name := range names {
		members = append(members, member.Member{Name: name})
	}
	for _, name := range names {
		n.links[name] = map[string]mode{}
		r := New(Config{
			Direct: func(ctx context.Context, address string) (net.Conn, error) { return n.direct(ctx, name, address) }, MaxRelayed: 8,
			Servers: func() map[string]string { return map[string]string{serverA: "a", serverB: "b"} }, Metrics: metrics.New(),
		})
		view := &member.CurrentView{}
		view.Store(member.NewView(name, append([]member.Member(nil), members...)))
		r.Join(opener{n, name}, view)
		n.relays[name] = r
	}
	return n
}

// set sets what becomes of a daemon's connections to servers.
func (n *network) set(daemon string, m mode, servers ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, s := range servers {
		n.links[daemon][s] = m
	}
}

func (n *network) direct(ctx context.Context, daemon, address string) (net.Conn, error) {
	n.mu.Lock()
	m := n.links[daemon][address]
	n.dialed[daemon]++
	n.mu.Unlock()
	switch m {
	case refuses:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	go func() {
		_, _ = io.Copy(far, far)
		_ = far.Close()
	}()
	return near, nil
}

// opener opens streams from one daemon.
type opener struct {
	network *network
	from    string
}

func (o opener) HandleStream(peer.Type, peer.StreamHandler) {}

func (o opener) OpenStream(ctx context.Context, to peer.Name, _ peer.Type, payload []byte) (net.Conn, []byte, error) {
	o.network.mu.Lock()
	o.network.asked = append(o.network.asked, string(to))
	old, r := o.network.old[string(to)], o.network.relays[string(to)]
	o.network.mu.Unlock()
	if old {
		return nil, nil, peer.ErrUnknownType
	}
	near, far := net.Pipe()
	answer, use := r.handleOpen(ctx, peer.Name(o.from), payload)
	if use == nil {
		return near, answer, nil
	}
	go func() {
		use(far)
		_ = far.Close()
	}()
	return near, answer, nil
}

// dial opens a connection and returns the peer through which it runs; "" if it is direct.
func (n *network) dial(daemon, address string) (through string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), httpconn.DefaultDialTimeout)
	defer cancel()
	c, err := n.relays[daemon].Dial(ctx, address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_, err = c.Write([]byte("hello"))
	So(err, ShouldBeNil)
	got := make([]byte, 5)
	_, err = io.ReadFull(c, got)
	So(err, ShouldBeNil)
	So(string(got), ShouldEqual, "hello")
	if rc, ok := c.(httpconn.RelayedConn); ok {
		return rc.Peer(), nil
	}
	return "", nil
}

// Guards against: a daemon that can't reach servers serves nobody while others reach them.
func TestServerIsReachedThroughPeer(t *testing.T) {
	for name, m := range map[string]mode{"refused": refuses, "hang": hangs} {
		Convey("Given a daemon whose connections to all servers are "+name, t, func() {
			n := newNetwork("cut", "peer")
			n.set("cut", m, serverA, serverB)

			Convey("it reaches them through its peer, and does not try them again for each", func() {
				for range 5 {
					through, err := n.dial("cut", serverA)
					So(err, ShouldBeNil)
					So(through, ShouldEqual, "peer")
				}
				So(n.relays["cut"].PathDown(serverA), ShouldBeTrue)
				So(n.dialed["cut"], ShouldBeLessThan, 5)
			})
			Convey("it reaches them directly again once it can", func() {
				_, err := n.dial("cut", serverA)
				So(err, ShouldBeNil)
				n.set("cut", works, serverA)
				testwait.Until(t, waitLimit, "the direct way is used", func() bool {
					through, err := n.dial("cut", serverA)
					return err == nil && through == ""
				})
			})
			Convey("with four of five peers cut, too, it finds the fifth", func() {
				n := newNetwork("cut", "c1", "c2", "c3", "c4", "peer")
				for _, name := range []string{"cut", "c1", "c2", "c3", "c4"} {
					n.set(name, m, serverA, serverB)
				}
				testwait.Until(t, waitLimit, "the fifth is asked", func() bool {
					through, err := n.dial("cut", serverA)
					return err == nil && through == "peer"
				})
			})
		})
	}
}

// Guards against: daemons that each think that the other reaches a server ask each other in
// circles.
func TestConnectionsAreRelayedOnce(t *testing.T) {
	Convey("Given two daemons that reach no server and one that does", t, func() {
		n := newNetwork("a", "b", "c")
		n.set("a", refuses, serverA, serverB)
		n.set("b", refuses, serverA, serverB)
		_, err := n.dial("b", serverA)
		So(err, ShouldBeNil)
		n.asked = nil
		through, err := n.dial("a", serverA)
		So(err, ShouldBeNil)
		So(through, ShouldEqual, "c")
		Convey("the one that was asked in vain has asked nobody", func() {
			So(len(n.asked), ShouldBeLessThanOrEqualTo, 2)
		})
	})
}

// Guards against: a partition is taken for a crash of the servers, or a crash for a partition.
func TestWhatPeersSayOfAServer(t *testing.T) {
	Convey("Given two daemons", t, func() {
		n := newNetwork("a", "b")
		n.set("a", refuses, serverA)

		Convey("a server that refuses both is gone", func() {
			n.set("b", refuses, serverA)
			_, err := n.dial("a", serverA)
			So(errors.Is(err, httpconn.ErrUnreachableByPeer), ShouldBeTrue)
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
			So(n.relays["a"].PathDown(serverA), ShouldBeFalse)
		})
		Convey("a server that refuses one and hangs for the other is unreachable", func() {
			n.set("b", hangs, serverA)
			_, err := n.dial("a", serverA)
			So(errors.Is(err, httpconn.ErrUnreachableByPeer), ShouldBeTrue)
		})
		Convey("a server that a third daemon reaches is reached", func() {
			n := newNetwork("a", "b", "c")
			n.set("a", refuses, serverA)
			n.set("b", refuses, serverA)
			for range 5 {
				through, err := n.dial("a", serverA)
				So(err, ShouldBeNil)
				So(through, ShouldEqual, "c")
			}
		})
		Convey("a peer that reaches no server says nothing of one", func() {
			n.set("b", refuses, serverA, serverB)
			_, err := n.dial("a", serverA)
			So(err, ShouldNotBeNil)
			So(errors.Is(err, httpconn.ErrUnreachableByPeer), ShouldBeFalse)
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeFalse)
		})
		Convey("where no peer knows relayed connections, a refused one counts as before", func() {
			n.old["b"] = true
			_, err := n.dial("a", serverA)
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
			So(errors.Is(err, httpconn.ErrUnreachableByPeer), ShouldBeFalse)
		})
		Convey("a peer relays to no address that is not a registered server's", func() {
			n.set("a", refuses, "elsewhere")
			_, err := n.dial("a", "elsewhere")
			So(err, ShouldNotBeNil)
			So(n.dialed["b"], ShouldEqual, 0)
		})
	})
}

// Guards against: a daemon that stops breaks off what it relays, or takes more of it.
func TestStoppingDaemonEndsWhatItRelays(t *testing.T) {
	Convey("Given a daemon that relays a connection and begins to stop", t, func() {
		n := newNetwork("a", "b")
		n.set("a", refuses, serverA, serverB)
		c, err := n.relays["a"].Dial(context.Background(), serverA)
		So(err, ShouldBeNil)
		n.relays["b"].Drain()

		Convey("it takes no other one", func() {
			_, err := n.dial("a", serverA)
			So(err, ShouldNotBeNil)
		})
		Convey("it waits for the end of that one", func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			So(n.relays["b"].Wait(ended), ShouldNotBeNil)
			_, err := c.Write([]byte("x"))
			So(err, ShouldBeNil)
			_, err = io.ReadFull(c, make([]byte, 1))
			So(err, ShouldBeNil)
			So(c.Close(), ShouldBeNil)
			So(n.relays["b"].Wait(context.Background()), ShouldBeNil)
		})
	})
}

// Guards against: a daemon holds more for its peers than its memory bears.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	Convey("Given a daemon that relays as many connections as it may", t, func() {
		n := newNetwork("a", "b")
		n.set("a", refuses, serverA, serverB)
		for range 8 {
			c, err := n.relays["a"].Dial(context.Background(), serverA)
			So(err, ShouldBeNil)
			Reset(func() { _ = c.Close() })
		}
		Convey("it takes no other one", func() {
			_, err := n.dial("a", serverA)
			So(err, ShouldNotBeNil)
		})
	})
}
