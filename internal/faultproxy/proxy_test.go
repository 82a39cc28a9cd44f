package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// patience bounds a read that must succeed; quiet bounds one that must not.
const (
	patience = 10 * time.Second
	quiet    = 50 * time.Millisecond
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

// echo writes a line and returns what came back within the time.
func echo(c net.Conn, within time.Duration) (string, error) {
	_, _ = c.Write([]byte("hello"))
	_ = c.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, 5)
	n, err := io.ReadFull(c, buf)
	return string(buf[:n]), err
}

func works(c net.Conn) {
	got, err := echo(c, patience)
	So(err, ShouldBeNil)
	So(got, ShouldEqual, "hello")
}

func TestProxy(t *testing.T) {
	Convey("Given a proxy before an echo server", t, func() {
		ln := echoServer()
		Reset(func() { ln.Close() })
		p, err := New("127.0.0.1:0", ln.Addr().String())
		So(err, ShouldBeNil)
		Reset(p.Close)
		old := dial(p)
		works(old)

		Convey("a silent connection stays silent, new ones work", func() {
			for _, d := range []Direction{ToTarget, ToClient, Both} {
				c := dial(p)
				works(c)
				p.Silence(d)
				got, err := echo(c, quiet)
				So(got, ShouldEqual, "")
				So(err.(net.Error).Timeout(), ShouldBeTrue)
				works(dial(p))
				p.Pass()
				_, err = echo(c, quiet)
				So(err, ShouldNotBeNil)
			}
		})
		Convey("a cut resets and refuses until it passes again", func() {
			p.Cut()
			// A write would take the reset's error away from the read.
			_ = old.SetReadDeadline(time.Now().Add(patience))
			_, err := old.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "reset")
			// The reset may come before the dial returns.
			if c, err := net.Dial("tcp", p.Addr()); err == nil {
				_, err = echo(c, patience)
				So(err, ShouldNotBeNil)
			}
			p.Pass()
			works(dial(p))
		})
		Convey("a delay holds bytes back both ways", func() {
			p.Delay(quiet)
			began := time.Now()
			works(old)
			So(time.Since(began), ShouldBeGreaterThanOrEqualTo, 2*quiet)
		})
		Convey("an end is passed on", func() {
			So(old.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			_ = old.SetReadDeadline(time.Now().Add(patience))
			_, err := old.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
		})
	})
}
