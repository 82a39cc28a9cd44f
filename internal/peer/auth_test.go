package peer

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"github.com/lycheekeel/lycheekeel/internal/peer/wire"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
)

func withKeys(keys ...string) func(*Options) {
	return func(o *Options) {
		o.Keys = nil
		for _, k := range keys {
			o.Keys = append(o.Keys, []byte(k))
		}
	}
}

const (
	oldKey = "the old cluster key"
	newKey = "the new cluster key"
)

func TestClusterKeys(t *testing.T) {
	Convey("Daemons connect if and only if each accepts the other's first key", t, func() {
		for _, c := range []struct {
			a, b []string
			ok   bool
		}{
			{a: []string{oldKey}, b: []string{oldKey}, ok: true},
			{a: []string{oldKey}, b: []string{newKey}},
			{a: []string{newKey}, b: []string{oldKey}},
			{a: []string{oldKey, newKey}, b: []string{oldKey}, ok: true}, // first step of a rotation
			{a: []string{oldKey, newKey}, b: []string{newKey, oldKey}, ok: true},
			{a: []string{newKey}, b: []string{newKey, oldKey}, ok: true}, // last step of a rotation
			{a: []string{newKey, oldKey}, b: []string{oldKey}},
		} {
			a, b := startNode("a", withKeys(c.a...)), startNode("b", withKeys(c.b...))
			a.setAddresses(b)
			_, err := a.call("b", "x")
			So(err == nil, ShouldEqual, c.ok)
			if !c.ok {
				eventually(func() bool { return b.count(groupAuth, authWrongKey)+a.count(groupAuth, authWrongKey) > 0 })
			}
		}
	})
	Convey("A short key is refused by NewTCP", t, func() {
		_, err := NewTCP(Options{Name: "a", Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("short")}})
		So(err, ShouldNotBeNil)
	})
}

func TestMixedVersions(t *testing.T) {
	// Guards against an upgrade that splits the cluster, and against an unknown message type
	// that closes a connection.
	Convey("Given an old daemon and a new one with more message types", t, func() {
		old := startNode("old", nil)
		newer := startNode("young", func(o *Options) { o.newest = NewestVersion + 1 })
		newer.setAddresses(old)

		Convey("they use the old version and ignore unknown message types", func() {
			const unknownType Type = 9000
			So(newer.Send("old", unknownType, []byte("?")), ShouldBeNil)
			So(newer.Send("old", TypePoolEvents, []byte("1")), ShouldBeNil)
			So(await(old.received), ShouldEqual, "young:1")
			eventually(func() bool { return old.count(groupDrops, dropUnknownType) == 1 })
			_, err := newer.Call(t.Context(), "old", unknownType, nil)
			So(err, ShouldEqual, ErrUnknownType)
			v, ok := newer.Version("old")
			So(ok, ShouldBeTrue)
			So(v, ShouldEqual, NewestVersion)
		})
		Convey("a daemon without support for the old version is refused and counted", func() {
			strict := startNode("strict", func(o *Options) {
				o.oldest, o.newest = NewestVersion+1, NewestVersion+1
			})
			strict.setAddresses(old)
			_, err := strict.call("old", "x")
			So(err, ShouldNotBeNil)
			eventually(func() bool { return old.count(groupAuth, authProtocol) > 0 })
			eventually(func() bool { return strict.count(groupAuth, authRefused) > 0 })
		})
	})
}

func TestPeerNameMismatch(t *testing.T) {
	// Guards against messages that are handled by another daemon than the one addressed.
	Convey("A connection to a daemon with another name is refused", t, func() {
		a, b := startNode("a", nil), startNode("b", nil)
		a.SetAddress("c", b.Addr().String())
		_, err := a.call("c", "x")
		So(err, ShouldNotBeNil)
		eventually(func() bool { return b.count(groupAuth, authWrongPeer) > 0 })
	})
	Convey("A daemon refuses a connection to itself, as through its seed list", t, func() {
		a := startNode("a", nil)
		So(a.Send(ByAddress(a.Addr().String()), TypePoolEvents, nil), ShouldBeNil)
		eventually(func() bool { return a.count(groupAuth, authSelf) > 0 })
		So(len(a.received), ShouldEqual, 0)
	})
}

// dialUnauthenticated opens a TLS connection without authentication.
func dialUnauthenticated(n *node) *tls.Conn {
	c, err := tls.Dial("tcp", n.Addr().String(), &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
	So(err, ShouldBeNil)
	So(c.SetDeadline(time.Now().Add(waitTimeout)), ShouldBeNil)
	return c
}

// refused reports whether the daemon closed the connection without a proof.
func refused(c *tls.Conn) bool {
	h, err := readHello(c)
	return err != nil || (h.Refusal != "" && len(h.Proof) == 0)
}

func TestUnauthenticatedPeers(t *testing.T) {
	// Guards against messages of unauthenticated peers, and against resources that they use up.
	Convey("Given a daemon", t, func() {
		a := startNode("a", func(o *Options) { o.HandshakeTimeout = 300 * time.Millisecond })

		Convey("a hello replayed from another connection is refused", func() {
			recorded := recordHello(a)
			c := dialUnauthenticated(a)
			So(writeHello(c, recorded), ShouldBeNil)
			So(refused(c), ShouldBeTrue)
			eventually(func() bool { return a.count(groupAuth, authWrongKey) == 1 })
		})
		Convey("a man in the middle who relays the hellos is refused", func() {
			victim := startNode("victim", nil)
			relay, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			Reset(func() { relay.Close() })
			go relayHellos(relay, a.Addr().String())
			victim.SetAddress("a", relay.Addr().String())
			_, err = victim.call("a", "x")
			So(err, ShouldNotBeNil)
			eventually(func() bool { return a.count(groupAuth, authWrongKey) == 1 })
		})
		Convey("a daemon's own proof reflected to it is refused", func() {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			Reset(func() { ln.Close() })
			go echo(ln)
			a.SetAddress("b", ln.Addr().String())
			_, err = a.call("b", "x")
			So(err, ShouldNotBeNil)
			eventually(func() bool { return a.count(groupAuth, authWrongKey) == 1 })
		})
		Convey("an oversized hello is refused, and a silent connection is closed", func() {
			c := dialUnauthenticated(a)
			So(writeHello(c, &wire.SignedHello{Hello: make([]byte, 2*maxHelloBytes)}), ShouldBeNil)
			So(refused(c), ShouldBeTrue)
			eventually(func() bool { return a.count(groupAuth, authBadHello) == 1 })
			silent, err := net.Dial("tcp", a.Addr().String())
			So(err, ShouldBeNil)
			_ = silent.SetDeadline(time.Now().Add(waitTimeout))
			_, err = io.ReadAll(silent)
			So(err, ShouldBeNil)
			eventually(func() bool { return a.count(groupAuth, authTLS) == 1 })
		})
		Convey("silent strangers do not keep a peer out", func() {
			b := startNode("b", func(o *Options) { o.HandshakeTimeout = time.Minute })
			for range maxHandshakes {
				c, err := net.Dial("tcp", b.Addr().String())
				So(err, ShouldBeNil)
				Reset(func() { c.Close() })
			}
			a.setAddresses(b)
			eventually(func() bool {
				_, err := a.call("b", "x")
				return err == nil
			})
		})
		Convey("the number of concurrent handshakes is limited", func() {
			for range maxHandshakes + 1 {
				c, err := net.Dial("tcp", a.Addr().String())
				So(err, ShouldBeNil)
				Reset(func() { c.Close() })
			}
			eventually(func() bool { return a.count(groupAuth, authBusy) > 0 })
		})
	})
}

// recordHello returns a valid hello with its proof for another connection.
func recordHello(a *node) *wire.SignedHello {
	c := dialUnauthenticated(a)
	defer c.Close()
	binding, err := channelBinding(c)
	So(err, ShouldBeNil)
	hello, err := proto.Marshal(&wire.Hello{Name: "b", OldestVersion: OldestVersion, NewestVersion: NewestVersion})
	So(err, ShouldBeNil)
	signed := &wire.SignedHello{Hello: hello, Proof: computeProof(testKey, roleDialer, binding, hello)}
	So(writeHello(c, signed), ShouldBeNil)
	So(refused(c), ShouldBeFalse)
	return signed
}

// relayHellos is a TLS server for the dialer and a TLS client of the target.
func relayHellos(ln net.Listener, target string) {
	conf, err := newTLSConfig()
	if err != nil {
		return
	}
	raw, err := ln.Accept()
	if err != nil {
		return
	}
	client := tls.Server(raw, conf)
	defer client.Close()
	server, err := tls.Dial("tcp", target, conf)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { _, _ = io.Copy(server, client) }()
	_, _ = io.Copy(client, server)
}

// echo is a TLS server that sends back whatever it receives.
func echo(ln net.Listener) {
	conf, err := newTLSConfig()
	if err != nil {
		return
	}
	raw, err := ln.Accept()
	if err != nil {
		return
	}
	c := tls.Server(raw, conf)
	defer c.Close()
	_, _ = io.Copy(c, c)
}
