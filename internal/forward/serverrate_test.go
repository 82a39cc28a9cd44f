package forward

import (
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against: the limit that a server names in an answer is not read, or nonsense is.
func TestLimitsOfServersAreReported(t *testing.T) {
	naming := func(value, status, extra string) *backend {
		return newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Signed: s\r\nX-Rate: %s\r\n%sContent-Length: 0\r\n\r\n",
				status, headerOf(head, "X-Request-Id"), value, extra)
			return true
		})
	}
	for value, want := range map[string][]float64{
		"1.1": {1.1}, "12": {12}, "0.25": {0.25}, "0": {minReportedRate},
		"": nil, "-1": nil, "+1": nil, "NaN": nil, "Inf": nil, "1e9": nil, "1,5": nil, ".5": nil, "0x1p4": nil, "99999999999": nil,
	} {
		Convey(fmt.Sprintf("%q is reported as %v", value, want), t, func() {
			r := newHarness(t, naming(value, "200 OK", ""))
			So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
			So(r.broker.rates, ShouldResemble, want)
		})
	}
	Convey("A refusal names a limit, too", t, func() {
		r := newHarness(t, naming("1.5", "503 Busy", "X-Refused: 1\r\n"), newEchoBackend(t))
		So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
		So(r.broker.rates, ShouldResemble, []float64{1.5})
	})
	Convey("Another server at the address says nothing about this one", t, func() {
		r := newHarness(t, naming("1.5", "421 Other", "X-Refused: 1\r\n"), newEchoBackend(t))
		So(r.call("POST", "/once/", "1", "", "x").status, ShouldEqual, 200)
		So(r.broker.rates, ShouldBeEmpty)
	})
	Convey("The caller gets the header as the server sent it", t, func() {
		r := newHarness(t, naming("1.1", "200 OK", ""))
		got := r.call("POST", "/once/", "1", "", "x")
		So(string(got.header.Peek("X-Rate")), ShouldEqual, "1.1")
	})
}
