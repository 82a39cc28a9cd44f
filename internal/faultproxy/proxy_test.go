package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// readTimeout limits a read that must succeed. shortWait limits a read that must
// time out, and is the delay that the proxy adds.
const (
	readTimeout = 10 * time.Second
	shortWait   = 50 * time.Millisecond
)

func echoServer() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return ln
}

func dial(p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Addr())
	So(err, ShouldBeNil)
	return c
}

// echo writes five bytes and returns what was read back before the timeout.
func echo(c net.Conn, within time.Duration) (string, error) {
	_, _ = c.Write([]byte("hello"))
	_ = c.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, 5)
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), err
}

func checkEcho(c net.Conn) {
	got, err := echo(c, readTimeout)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, "hello")
}

func TestProxy(t *testing.T) {
	Convey("Given a proxy in front of an echo server", t, func() {
		ln := echoServer()
		Reset(func() { ln.Close() })
		p, err := New("127.0.0.1:0", ln.Addr().String())
		So(err, ShouldBeNil)
		Reset(p.Close)
		existing := dial(p)
		checkEcho(existing)

		Convey("a silent connection stays silent, new ones work", func() {
			for _, d := range []Direction{ToTarget, ToClient, Both} {
				c := dial(p)
				checkEcho(c)
				p.Silence(d)
				got, err := echo(c, shortWait)
				So(got, ShouldEqual, "")
				So(err.(net.Error).Timeout(), ShouldBeTrue)
				checkEcho(dial(p))
				p.ClearFaults()
				_, err = echo(c, shortWait)
				So(err, ShouldNotBeNil)
			}
		})
		Convey("ResetAndRefuse resets and refuses connections until ClearFaults", func() {
			p.ResetAndRefuse()
			// Read without writing first: a write could consume the reset error.
			_ = existing.SetReadDeadline(time.Now().Add(readTimeout))
			_, err := existing.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "reset")
			// The reset may arrive before Dial returns.
			if c, err := net.Dial("tcp", p.Addr()); err == nil {
				_, err = echo(c, readTimeout)
				So(err, ShouldNotBeNil)
			}
			p.ClearFaults()
			checkEcho(dial(p))
		})
		Convey("a delay applies to both directions", func() {
			p.Delay(shortWait)
			start := time.Now()
			checkEcho(existing)
			So(time.Since(start), ShouldBeGreaterThanOrEqualTo, 2*shortWait)
		})
		Convey("held bytes are delivered when the hold ends", func() {
			p.Hold()
			got, _ := echo(existing, shortWait)
			So(got, ShouldEqual, "")
			p.ClearFaults()
			buf := make([]byte, 5)
			_ = existing.SetReadDeadline(time.Now().Add(readTimeout))
			_, err := io.ReadFull(existing, buf)
			So(err, ShouldBeNil)
			So(string(buf), ShouldEqual, "hello")
		})
		Convey("the end of a stream is forwarded", func() {
			So(existing.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			_ = existing.SetReadDeadline(time.Now().Add(readTimeout))
			_, err := existing.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
		})
	})
}
