package forward

import (
	"bufio"
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// line is a request that is written as it is.
type line string

// Write implements httpconn.Request.
func (l line) Write(w *bufio.Writer) error {
	_, err := w.WriteString(string(l))
	return err
}

// Guards against sending the first request to a restarted server on a connection to its old incarnation.
func TestIdleConnectionsOfOldIncarnationAreClosed(t *testing.T) {
	Convey("An idle connection is reused only for the same incarnation", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		address := ln.Addr().String()
		s := NewConnPools(httpconn.Settings{}, nil)
		send := func() {
			c, err := s.pool(address).Send(context.Background(), line("x"), httpconn.MayReuse, nil)
			So(err, ShouldBeNil)
			c.Release()
		}
		s.Update(map[string]string{address: "a/1"})
		send()
		s.Update(map[string]string{address: "a/1"})
		send()
		So(s.pool(address).Counts().Dialed, ShouldEqual, 1)
		s.Update(map[string]string{address: "a/2"})
		send()
		So(s.pool(address).Counts().Dialed, ShouldEqual, 2)
	})
}
