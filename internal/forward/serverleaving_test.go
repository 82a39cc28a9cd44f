package forward

import (
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/pool"
)

// Guards against: a server says in an answer that it leaves, and nobody reads it.
func TestLeavingServersAreReported(t *testing.T) {
	saying := func(value, status, extra string) *backend {
		return newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Signed: s\r\nX-Leaves: %s\r\n%sContent-Length: 0\r\n\r\n",
				status, headerOf(head, "X-Request-Id"), value, extra)
			return true
		})
	}
	for value, reported := range map[string]bool{"1": true, "0": false, "": false, "true": false, "11": false} {
		Convey(fmt.Sprintf("%q is reported: %v", value, reported), t, func() {
			r := newHarness(t, saying(value, "200 OK", ""))
			So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
			So(len(r.broker.leaving) == 1, ShouldEqual, reported)
		})
	}
	Convey("A refusal says it, too, and the next request is not sent there", t, func() {
		r := newHarness(t, saying("1", "503 Busy", "X-Refused: 1\r\n"), newEchoBackend(t))
		So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
		So(r.broker.leaving, ShouldHaveLength, 1)
		So(r.call("POST", "/once/", "2", "", "x").status, ShouldEqual, 200)
		So(r.broker.outcomes(), ShouldResemble, []pool.Outcome{pool.OutcomeRefused, pool.OutcomeDone, pool.OutcomeRefused, pool.OutcomeDone})
		So(r.broker.leaving, ShouldHaveLength, 1)
	})
	Convey("Another server at the address says nothing about this one", t, func() {
		r := newHarness(t, saying("1", "421 Other", "X-Refused: 1\r\n"), newEchoBackend(t))
		So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
		So(r.broker.leaving, ShouldBeEmpty)
	})
}
