package gateway_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// silence is how long a sound server may take nothing.
const silence = 1500 * time.Millisecond

// silentConn is a connection whose peer takes nothing for a while in the middle of each
// write. A write whose deadline is earlier fails; no time passes.
type silentConn struct {
	net.Conn
	mu       sync.Mutex
	deadline time.Time
}

func (c *silentConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

func (c *silentConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && time.Until(c.deadline) < silence {
		n, _ := c.Conn.Write(b[:len(b)/2])
		return n, os.ErrDeadlineExceeded
	}
	return c.Conn.Write(b)
}

// Guards against: a call is lost because its server took nothing for a second while it was
// being sent.
func TestServerIsSilentDuringSend(t *testing.T) {
	Convey("Given a server that is silent in the middle of each request", t, func() {
		c := newCluster(t)
		c.addServer("a1", "app")
		c.putConfig()
		n := c.startWith("n1", func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := httpconn.DialTCP(ctx, address)
			return &silentConn{Conn: conn}, err
		})
		eventually(t, "the gateway is ready", n.ready)
		eventually(t, "the server is known", func() bool { return n.status("/again/", "first", "key-1") == http.StatusOK })
		Convey("a call that may run once is answered", func() {
			So(n.status("/once/", "r1", "key-1"), ShouldEqual, http.StatusOK)
		})
	})
}
