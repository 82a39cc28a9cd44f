package forward

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against: a caller's key is passed on to a server, by way of a route that needs none.
func TestKeysArePassedToNoServer(t *testing.T) {
	for _, value := range []string{"Bearer " + testKey, "bearer  " + testKey, "BEARER withdrawn", "Bearer", "Bearer\t" + testKey} {
		Convey(fmt.Sprintf("%q is kept within the entry", value), t, func() {
			b := newEchoBackend(t)
			c := newHarness(t, b).dial()
			fmt.Fprintf(c, "GET /public/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: p\r\nAuthorization: %s\r\n\r\n", value)
			So(c.receive().status, ShouldEqual, 200)
			So(headerOf(b.requests()[0], "Authorization"), ShouldBeEmpty)
		})
	}
	const own = "Basic dTpw"
	Convey("What is no key reaches the server, and so does anything where no route needs keys", t, func() {
		for _, c := range []struct {
			value string
			keys  bool
		}{{own, true}, {own, false}, {"Bearer " + testKey, false}} {
			b := newEchoBackend(t)
			r := newHarness(t, b)
			if !c.keys {
				d := testDocument(2)
				d.Workspaces = nil
				r.applyConfig(d)
			}
			caller := r.dial()
			fmt.Fprintf(caller, "GET /public/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: p\r\nAuthorization: %s\r\n\r\n", c.value)
			So(caller.receive().status, ShouldEqual, 200)
			So(headerOf(b.requests()[0], "Authorization"), ShouldEqual, c.value)
		}
	})
}
