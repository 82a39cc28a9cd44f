package callermem

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/lycheekeel/lycheekeel/internal/testwait"
	"github.com/lycheekeel/lycheekeel/request"
)

// testTimeout bounds waits; no test passes or fails because of its value.
const testTimeout = 20 * time.Second

// testConn is a connection that knows whether it was closed.
type testConn struct {
	net.Conn
	closed bool
}

func (c *testConn) Close() error {
	c.closed = true
	return nil
}

// testAccount is an account of connections alone.
func testAccount(connections int, e Events) *Account {
	return New(Limits{Bytes: 1 << 30, Connections: connections}, e)
}

func raw(c *Conn) *testConn { return c.Conn.(*testConn) }

// Guards against: callers that open new connections are refused because others keep theirs,
// or lose answers because theirs are closed.
func TestNewConnectionsTakeThePlaceOfIdleOnes(t *testing.T) {
	Convey("Given as many connections as may be open", t, func() {
		refused := 0
		account := testAccount(3, Events{Refused: func() { refused++ }})
		accept := func() *Conn { return account.Accept(&testConn{}, nil) }
		a, b, c := accept(), accept(), accept()
		for _, x := range []*Conn{a, b, c} {
			So(x, ShouldNotBeNil)
			StateChanged(x, fasthttp.StateNew)
			StateChanged(x, fasthttp.StateActive)
			x.BodyRead()
		}
		closed := func() []bool { return []bool{raw(a).closed, raw(b).closed, raw(c).closed} }
		Convey("a new one takes the place of the one that has been idle longest", func() {
			StateChanged(b, fasthttp.StateIdle)
			StateChanged(a, fasthttp.StateIdle)
			So(accept(), ShouldNotBeNil)
			So(closed(), ShouldResemble, []bool{false, true, false})
			Convey("and a request that came meanwhile doesn't bring it back", func() {
				StateChanged(b, fasthttp.StateActive)
				StateChanged(b, fasthttp.StateIdle)
				StateChanged(b, fasthttp.StateClosed)
				So(account.Open(), ShouldEqual, 3)
			})
		})
		Convey("one with a request that has arrived is never closed", func() {
			So(accept(), ShouldBeNil)
			So(closed(), ShouldResemble, []bool{false, false, false})
			So(refused, ShouldEqual, 1)
			StateChanged(c, fasthttp.StateClosed)
			So(accept(), ShouldNotBeNil)
		})
	})
}

// Guards against: the count of open connections drifts, until all callers are refused or none.
func TestOpenConnectionsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "max")
		account := New(Limits{Bytes: 1 << 30, Connections: limit, ConnBytes: 10}, Events{})
		var open []*Conn
		active := map[*Conn]bool{}
		pick := func(t *rapid.T) *Conn {
			if len(open) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(open).Draw(t, "conn")
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) {
				if c := account.Accept(&testConn{}, nil); c != nil {
					open = append(open, c)
				}
			},
			"begin": func(t *rapid.T) {
				c := pick(t)
				StateChanged(c, fasthttp.StateActive)
				c.BodyRead()
				active[c] = !raw(c).closed
			},
			"answer": func(t *rapid.T) {
				c := pick(t)
				StateChanged(c, fasthttp.StateIdle)
				delete(active, c)
			},
			"end": func(t *rapid.T) {
				c := pick(t)
				StateChanged(c, fasthttp.StateClosed)
				delete(active, c)
				for i := range open {
					if open[i] == c {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
			},
			"": func(t *rapid.T) {
				alive := 0
				for _, c := range open {
					if !raw(c).closed {
						alive++
					}
					if raw(c).closed && active[c] {
						t.Fatal("a connection was closed while its request was answered")
					}
				}
				if alive != account.Open() || alive > limit {
					t.Fatalf("%d connections are open, %d are counted, %d allowed", alive, account.Open(), limit)
				}
				if used := account.Used(); used != int64(10*alive) {
					t.Fatalf("%d bytes are taken by %d connections of 10", used, alive)
				}
			},
		})
	})
}

// Guards against: a connection beyond the bound is answered by the HTTP library, so that its
// caller doesn't try another daemon.
func TestConnectionBeyondTheBoundIsClosedUnread(t *testing.T) {
	Convey("Given a listener whose connections are all in use", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		bounded := Listener{Listener: ln, Account: testAccount(1, Events{})}
		go func() {
			for {
				c, err := bounded.Accept()
				if err != nil {
					return
				}
				StateChanged(c, fasthttp.StateActive)
				c.(*Conn).BodyRead()
			}
		}()
		first, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		defer first.Close()
		second, err := net.Dial("tcp", ln.Addr().String())
		So(err, ShouldBeNil)
		defer second.Close()
		Convey("the next one is closed without an answer", func() {
			_ = second.SetReadDeadline(time.Now().Add(testTimeout))
			n, err := second.Read(make([]byte, 1))
			So(n, ShouldEqual, 0)
			So(err, ShouldEqual, io.EOF)
		})
	})
}

// pair returns an accepted connection and its caller's end.
func pair(t *testing.T, account *Account) (*Conn, net.Conn) {
	ln, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return account.Accept(accepted, nil), caller
}

// Guards against: callers that stall within a request, or leave an answer unread, keep the
// place of others; or one loses its place though it is the process that is late.
func TestStalledCallersGiveWay(t *testing.T) {
	Convey("Given a connection within a request, and no room for another", t, func() {
		account := testAccount(1, Events{})
		c, caller := pair(t, account)
		StateChanged(c, fasthttp.StateActive)
		accept := func() bool { return account.Accept(&testConn{}, nil) != nil }
		Convey("it gives way while nothing of its request has arrived to be read", func() {
			So(accept(), ShouldBeTrue)
			So(account.Open(), ShouldEqual, 1)
		})
		Convey("it keeps its place while its bytes wait to be read", func() {
			_, err := caller.Write([]byte("x"))
			So(err, ShouldBeNil)
			testwait.Until(t, testTimeout, "the byte is there", c.readable)
			So(accept(), ShouldBeFalse)
		})
		Convey("it keeps its place while its request waits or runs", func() {
			c.BodyRead()
			So(accept(), ShouldBeFalse)
			Convey("but not while its answer is not read", func() {
				c.writingSince.Store(time.Now().Add(-2 * stallTime).UnixNano())
				So(accept(), ShouldBeTrue)
			})
		})
	})
}

// Guards against: ordinary callers that come beside a crowd are closed in its place.
func TestTheConnectionThatBeganFirstGivesWay(t *testing.T) {
	Convey("Given connections within requests, and no room for another", t, func() {
		account := testAccount(3, Events{})
		var all []*Conn
		accept := func() {
			c := account.Accept(&testConn{}, nil)
			So(c, ShouldNotBeNil)
			StateChanged(c, fasthttp.StateActive)
			all = append(all, c)
		}
		for range 5 {
			accept()
		}
		var closed []bool
		for _, c := range all {
			closed = append(closed, raw(c).closed)
		}
		So(closed, ShouldResemble, []bool{true, true, false, false, false})
	})
}

// Guards against: a new connection takes the place of a long body that comes, or of a higher
// tier's before a lower one's.
func TestBodiesGiveWayByTier(t *testing.T) {
	Convey("Given bodies of three tiers that pause, and no room for another connection", t, func() {
		account := testAccount(3, Events{})
		conns := map[request.Tier]*Conn{}
		for _, tier := range []request.Tier{1, 0, 2} {
			c := account.Accept(&testConn{}, nil)
			StateChanged(c, fasthttp.StateActive)
			account.Reserve(c, "", tier, func() {})
			c.reading.restart(time.Now().Add(-2 * pauseTime))
			conns[tier] = c
		}
		closed := func() []bool { return []bool{raw(conns[0]).closed, raw(conns[1]).closed, raw(conns[2]).closed} }
		next := func() { So(account.Accept(&testConn{}, nil), ShouldNotBeNil) }
		next()
		So(closed(), ShouldResemble, []bool{false, false, true})
		Convey("a connection whose request is not known goes before them", func() {
			next()
			So(closed(), ShouldResemble, []bool{false, false, true})
		})
		Convey("one that comes steadily keeps its place", func() {
			conns[1].reading.restart(time.Now().Add(time.Hour))
			StateChanged(conns[0], fasthttp.StateIdle)
			next()
			So(closed(), ShouldResemble, []bool{true, false, true})
		})
	})
}

// Guards against: a caller that sends a byte now and then counts as one that sends.
func TestReadRate(t *testing.T) {
	Convey("Given a caller that has sent much at once", t, func() {
		var r readRate
		start := time.Now()
		at := func(windows float64) time.Time { return start.Add(time.Duration(windows * float64(stallTime))) }
		r.restart(start)
		r.add(at(0.5), 1<<20)
		So(r.slow(at(0.9)), ShouldBeFalse)
		So(r.slow(at(1.1)), ShouldBeFalse)
		Convey("it is slow when it sends little from then on", func() {
			for i := 2.0; i < 8; i += 0.5 {
				r.add(at(i), 1)
			}
			So(r.slow(at(7.9)), ShouldBeTrue)
		})
		Convey("it is not while it goes on", func() {
			for i := 2.0; i < 8; i += 0.5 {
				r.add(at(i), minBytesPerSecond)
			}
			So(r.slow(at(7.9)), ShouldBeFalse)
		})
	})
}
