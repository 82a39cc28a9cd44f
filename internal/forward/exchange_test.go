package forward

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// slowDeadlineConn sets no write deadline until release is closed.
type slowDeadlineConn struct {
	net.Conn
	release chan struct{}
}

func (c *slowDeadlineConn) SetReadDeadline(time.Time) error { return nil }

func (c *slowDeadlineConn) SetWriteDeadline(time.Time) error {
	<-c.release
	return nil
}

// endsBeforeItsWriteDeadline tells whether an exchange whose time is up ends while its write
// deadline is being set.
func endsBeforeItsWriteDeadline() bool {
	c := &slowDeadlineConn{release: make(chan struct{})}
	x := &exchange{
		server: &Server{}, conn: c, receivedAt: time.Now(),
		spec: &request.Spec{Targets: request.Targets{Deadline: runningLogDelay / 2}},
	}
	x.watchCaller()
	<-x.ctx.Done()
	synctest.Wait()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		x.cleanUp()
	}()
	synctest.Wait()
	early := false
	select {
	case <-ended:
		early = true
	default:
	}
	close(c.release)
	<-ended
	return early
}

// Guards against cutting an answer by the write deadline of the request before it on the same connection.
func TestWriteDeadlineIsSetBeforeTheNextRequest(t *testing.T) {
	var early bool
	synctest.Test(t, func(*testing.T) { early = endsBeforeItsWriteDeadline() })
	Convey("An exchange ends after its write deadline was set", t, func() { So(early, ShouldBeFalse) })
}
