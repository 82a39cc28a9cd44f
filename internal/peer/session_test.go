package peer

import (
	"net"
	"sync"
	"testing"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"
)

// stuckConn is a connection whose Close blocks until it is released.
type stuckConn struct {
	net.Conn
	closing  chan struct{}
	once     sync.Once
	released chan struct{}
}

func (c *stuckConn) Close() error {
	c.once.Do(func() { close(c.closing) })
	<-c.released
	return c.Conn.Close()
}

// Guards against streams that use a whole core while their session's connection closes.
func TestClosingSessionEndsReads(t *testing.T) {
	Convey("Given streams with pending reads, on a connection whose Close blocks", t, func() {
		near, far := net.Pipe()
		stuck := &stuckConn{Conn: near, closing: make(chan struct{}), released: make(chan struct{})}
		a, err := newSession(stuck, yamux.Client)
		So(err, ShouldBeNil)
		b, err := newSession(far, yamux.Server)
		So(err, ShouldBeNil)
		Reset(func() { _ = b.Close() })
		const streams = 8
		ended := make(chan error, streams)
		read := func(s *yamux.Stream) {
			_, err := s.Read(make([]byte, 1))
			ended <- err
		}
		for range streams {
			opened, err := a.open()
			So(err, ShouldBeNil)
			_, err = b.accept()
			So(err, ShouldBeNil)
			go read(opened)
		}
		closed := make(chan struct{})
		go func() {
			_ = a.Close()
			close(closed)
		}()
		await(stuck.closing)
		Convey("all reads end before the connection has closed", func() {
			for range streams {
				So(await(ended), ShouldNotBeNil)
			}
			select {
			case <-closed:
				t.Fatal("the connection was closed before it was released")
			default:
			}
			close(stuck.released)
			await(closed)
		})
	})
}
