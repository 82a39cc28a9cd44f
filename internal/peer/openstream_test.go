package peer

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// serveEcho answers the opening of a stream and returns what the peer writes.
func serveEcho(_ context.Context, _ Name, payload []byte) ([]byte, func(net.Conn)) {
	if string(payload) == "refuse" {
		return []byte("no"), nil
	}
	return append([]byte("re:"), payload...), func(c net.Conn) { _, _ = io.Copy(c, c) }
}

func TestStreams(t *testing.T) {
	Convey("Given two daemons, one of which serves streams", t, func() {
		a, b := startNode("a", nil), startNode("b", nil)
		b.streamHandlers[TypeRelay] = serveEcho
		a.setAddresses(b)
		b.setAddresses(a)
		open := func(payload string) (net.Conn, string, error) {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			c, answer, err := a.OpenStream(ctx, "b", TypeRelay, []byte(payload))
			return c, string(answer), err
		}

		Convey("bytes pass in both directions after the answer, until the opener closes", func() {
			c, answer, err := open("x")
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, "re:x")
			_, err = c.Write([]byte("hello"))
			So(err, ShouldBeNil)
			got := make([]byte, 5)
			_, err = io.ReadFull(c, got)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, "hello")
			So(c.Close(), ShouldBeNil)
			So(c.Close(), ShouldBeNil)
		})
		Convey("a refused stream ends after its answer", func() {
			c, answer, err := open("refuse")
			So(err, ShouldBeNil)
			So(answer, ShouldEqual, "no")
			_, err = c.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			So(c.Close(), ShouldBeNil)
		})
		Convey("a type that the peer does not know gives ErrUnknownType", func() {
			_, _, err := b.OpenStream(context.Background(), "a", TypeRelay, nil)
			So(errors.Is(err, ErrUnknownType), ShouldBeTrue)
		})
		Convey("an exceeded deadline is told from the end of the connection", func() {
			c, _, err := open("x")
			So(err, ShouldBeNil)
			So(c.SetReadDeadline(time.Unix(1, 0)), ShouldBeNil)
			_, err = c.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(c.SetReadDeadline(time.Time{}), ShouldBeNil)
			b.Close()
			_, err = c.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeFalse)
			So(c.Close(), ShouldBeNil)
		})
	})
}
