package forward

import (
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
)

// Guards against: a server turns a request away and asks for no others for a while, and nobody
// reads it, or nonsense is read.
func TestPushbacksOfServersAreReported(t *testing.T) {
	asking := func(value, status, extra string) *backend {
		return newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Signed: s\r\nRetry-After: %s\r\n%sContent-Length: 0\r\n\r\n",
				status, headerOf(head, "X-Request-Id"), value, extra)
			return true
		})
	}
	const refused = "X-Refused: 1\r\n"
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "999999999": maxPushback,
		"0": 0, "": 0, "-1": 0, "1e9": 0, "NaN": 0, "Wed, 21 Oct 2015 07:28:00 GMT": 0,
	} {
		Convey(fmt.Sprintf("%q is reported as %v", value, want), t, func() {
			r := newHarness(t, asking(value, "503 Busy", refused), newEchoBackend(t))
			So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
			total := time.Duration(0)
			for _, wait := range r.broker.pushbacks {
				total += wait
			}
			So(total, ShouldEqual, want)
		})
	}
	for status, extra := range map[string]string{"200 OK": "", "429 Slow": refused, "421 Other": refused, "500 Failed": ""} {
		Convey("An answer "+status+" asks for nothing", t, func() {
			r := newHarness(t, asking("3", status, extra), newEchoBackend(t))
			r.call("POST", "/again/", "1", "", "x")
			So(r.broker.pushbacks, ShouldBeEmpty)
		})
	}
	Convey("A failure 503 of a request that ran asks for it, too", t, func() {
		r := newHarness(t, asking("3", "503 Failed", ""))
		r.call("POST", "/once/", "1", "", "x")
		So(r.broker.pushbacks, ShouldHaveLength, 1)
	})
	Convey("A request whose server asks for it while the connection opens is sent to another", t, func() {
		first := newEchoBackend(t)
		r := newHarness(t, first, newEchoBackend(t))
		r.broker.recordPushback(r.broker.servers[0].Name, 3*time.Second)
		So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
		So(first.requests(), ShouldBeEmpty)
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeNotDispatched, pool.OutcomeDone})
	})
}
