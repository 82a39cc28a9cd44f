package forward

import (
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/request"
)

// failingListener accepts connections to callers on which each write after the first fails.
type failingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l failingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	return &failingConn{Conn: c}, nil
}

// failingConn has no SyscallConn, so that the watch can't see the caller's connection end.
type failingConn struct {
	net.Conn
	written bool
}

var errTestWrite = errors.New("write to the caller failed")

// Write implements net.Conn.
func (c *failingConn) Write(b []byte) (int, error) {
	if c.written {
		return 0, errTestWrite
	}
	c.written = true
	n, err := c.Conn.Write(b)
	return n, errors.Wrap(err, "write")
}

// Guards against a log in which a stream that its caller did not get looks complete.
func TestFailedWriteToTheCallerIsLogged(t *testing.T) {
	Convey("The line of a stream that could not be written tells it", t, func() {
		r := newHarness(t, newBackend(t, streamEvents(20, 0, "")))
		logger, lines := logtest.NewNullLogger()
		r.server.log = logrus.NewEntry(logger)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		done := make(chan error, 1)
		go func() { done <- r.server.Serve(failingListener{ln}) }()
		r.address = ln.Addr().String()
		r.dial().send("POST", "/resume/", "1", "", "x")
		r.waitUntil("the request ends", func() bool { return len(lines.AllEntries()) > 0 })
		So(lines.LastEntry().Message, ShouldEqual, "Answered.")
		So(lines.LastEntry().Data["write_failed"], ShouldEqual, true)
		So(ln.Close(), ShouldBeNil)
		<-done
	})
	Convey("The line of a complete stream does not", t, func() {
		r := newHarness(t, newBackend(t, streamEvents(20, 0, "")))
		logger, lines := logtest.NewNullLogger()
		r.server.log = logrus.NewEntry(logger)
		So(r.call("POST", "/resume/", "1", "", "x").complete, ShouldBeTrue)
		r.waitUntil("the request ends", func() bool { return len(lines.AllEntries()) > 0 })
		So(lines.LastEntry().Data, ShouldNotContainKey, "write_failed")
	})
}

// Guards against retries that no log tells apart: allowed and sent, or allowed and not sent.
func TestRetriesAreLoggedAndCounted(t *testing.T) {
	Convey("A retry's permission and its send have a line each; a denied one has a line, too", t, func() {
		closes := newBackend(t, func(int, string, string, net.Conn) bool { return false })
		r := newHarness(t, closes, newBackend(t, echoBody))
		r.budget = newTestBudget(1)
		logger, lines := logtest.NewNullLogger()
		r.server.log = logrus.NewEntry(logger)
		So(r.call("POST", "/again/", "first", "", "b").status, ShouldEqual, 200)
		So(r.call("POST", "/again/", "second", "", "b").status, ShouldEqual, 502)
		counts := map[string]int{}
		for _, l := range lines.AllEntries() {
			counts[l.Message]++
		}
		So([]int{counts["Retry allowed."], counts["Retry sent."], counts["Retry denied."]}, ShouldResemble, []int{1, 1, 1})
		c := r.server.counters
		So([]int64{c.retriesAllowed.Value(), c.retriesSent.Value(), c.retriesDenied.Value()}, ShouldResemble, []int64{1, 1, 1})
	})
}

// Guards against a retry whose end no log tells, because the caller gets the earlier server's failure.
func TestRetryThatIsGivenUpIsLogged(t *testing.T) {
	Convey("The line tells why the retry was given up", t, func() {
		fails := newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			writeSignedAnswer(c, head, "500 Failed", "b")
			return true
		})
		r := newHarness(t, fails)
		r.broker.refusal, r.broker.refuseAfter = request.Refuse(request.ReasonShed, "full"), 1
		logger, lines := logtest.NewNullLogger()
		r.server.log = logrus.NewEntry(logger)
		So(r.call("POST", "/again/", "1", "", "b").status, ShouldEqual, 500)
		var given *logrus.Entry
		for _, l := range lines.AllEntries() {
			if l.Message == "Retry given up." {
				given = l
			}
		}
		So(given, ShouldNotBeNil)
		So(given.Data[logrus.ErrorKey].(error).Error(), ShouldContainSubstring, "full")
		So(r.budget.Left(time.Now()), ShouldEqual, 100)
	})
}
