package relay

import (
	"io"
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/internal/relay/wire"
)

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (a, b *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), other.Close() })
	return c.(*net.TCPConn), other.(*net.TCPConn)
}

const (
	uploadBytes = 1 << 20
	earlyAnswer = "HTTP/1.1 200 OK\r\n\r\npart of a body"
)

func newTestRelay() *Relay { return New(Config{Metrics: metrics.New()}) }

// Guards against: an early answer that its server resets while the request is still being
// written looks complete, as the write has taken note of the reset and the read finds an end.
func TestResetWithinAnUploadIsNoEnd(t *testing.T) {
	Convey("The asking daemon reads no end of the answer, however reset and write fall together", t, func() {
		r, ends := newTestRelay(), 0
		for range 300 {
			asking, stream := tcpPair(t)
			near, server := tcpPair(t)
			go r.splice(stream, near, &wire.Open{}, "peer")
			go func() { _, _ = asking.Write(make([]byte, uploadBytes)) }()
			_, err := io.ReadFull(server, make([]byte, uploadBytes/16))
			So(err, ShouldBeNil)
			_, err = server.Write([]byte(earlyAnswer))
			So(err, ShouldBeNil)
			_ = server.SetLinger(0)
			_ = server.Close()
			if _, err := readAll(newRelayedConn(asking, "peer"), chunkBytes); err == io.EOF {
				ends++
			}
		}
		So(ends, ShouldEqual, 0)
	})
	Convey("The same when the write fails first", t, func() {
		asking, stream := tcpPair(t)
		server := &failedConn{Conn: stream, wrote: make(chan struct{}), answer: earlyAnswer}
		go newTestRelay().splice(stream, server, &wire.Open{}, "peer")
		_, err := asking.Write([]byte("upload"))
		So(err, ShouldBeNil)
		got, err := readAll(newRelayedConn(asking, "peer"), chunkBytes)
		So(string(got), ShouldEqual, earlyAnswer)
		So(err, ShouldEqual, errBroken)
	})
}

// failedConn is a connection whose write takes note of a reset, so that a read then finds an
// orderly end.
type failedConn struct {
	net.Conn
	wrote  chan struct{}
	answer string
}

func (c *failedConn) Write([]byte) (int, error) {
	defer close(c.wrote)
	return 0, syscall.ECONNRESET
}

func (c *failedConn) Read(b []byte) (int, error) {
	<-c.wrote
	n := copy(b, c.answer)
	if c.answer = c.answer[n:]; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func (c *failedConn) Close() error { return nil }

// Guards against: an answer whose server has ended it in order, after the request was written
// whole, looks broken off.
func TestOrderlyEndIsPassedOn(t *testing.T) {
	Convey("The asking daemon reads the answer to its end", t, func() {
		r := newTestRelay()
		for range 100 {
			asking, stream := tcpPair(t)
			near, server := tcpPair(t)
			go r.splice(stream, near, &wire.Open{}, "peer")
			go func() { _, _ = asking.Write(make([]byte, uploadBytes)) }()
			_, err := io.ReadFull(server, make([]byte, uploadBytes))
			So(err, ShouldBeNil)
			_, err = server.Write([]byte(earlyAnswer))
			So(err, ShouldBeNil)
			_ = server.Close()
			got, err := readAll(newRelayedConn(asking, "peer"), chunkBytes)
			So(string(got), ShouldEqual, earlyAnswer)
			So(err, ShouldEqual, io.EOF)
		}
	})
}
