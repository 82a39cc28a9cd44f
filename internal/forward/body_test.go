package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/lycheekeel/lycheekeel/route"
)

// sendHead sends the head of a request without the line that ends it.
func (c *caller) sendHead(path, id, extra string) {
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer %s\r\nX-Left-Ms: 15000\r\n%s", path, id, testKey, extra)
}

// Guards against: a body over the configuration's limit is read to its end, or forwarded.
func TestLimitsHoldBeforeABodyIsRead(t *testing.T) {
	Convey("Given a limit of 1 MiB", t, func() {
		b := newBackend(t, echoBody)
		r := newHarness(t, b)
		c := r.dial()
		served := 0
		Convey("an announced length over it is refused before a byte of the body", func() {
			c.sendHead("/once/", "1", "Content-Length: 1048577\r\n\r\n")
			got := c.receive()
			So(got.status, ShouldEqual, 413)
			So(string(got.header.Peek("X-Request-Id")), ShouldEqual, "1")
		})
		Convey("so is the question for a body over it, and one within it is answered", func() {
			c.sendHead("/once/", "1", "Expect: 100-continue\r\nContent-Length: 1048577\r\n\r\n")
			So(c.receive().status, ShouldEqual, 413)
			c = r.dial()
			c.sendHead("/once/", "2", "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n")
			line, err := c.reader.ReadString('\n')
			So(err, ShouldBeNil)
			So(line, ShouldEqual, "HTTP/1.1 100 Continue\r\n")
			_, _ = c.reader.ReadString('\n')
			fmt.Fprint(c, "abc")
			So(c.receive().body, ShouldEqual, "echo abc")
			served = 1
		})
		Convey("chunks over it are refused without their end", func() {
			c.sendHead("/once/", "1", "Transfer-Encoding: chunked\r\n\r\n")
			for range 17 {
				fmt.Fprintf(c, "10000\r\n%s\r\n", strings.Repeat("x", 1<<16))
			}
			So(c.receive().status, ShouldEqual, 413)
		})
		Convey("a body of just the limit is served", func() {
			body := strings.Repeat("x", 1<<20)
			So(r.call("POST", "/once/", "1", "", body).body, ShouldEqual, "echo "+body)
			served = 1
		})
		Convey("a limit that is lowered while a body comes holds for it", func() {
			c.sendHead("/once/", "1", "Content-Length: 1000\r\n\r\nx")
			r.waitUntil("the body is read", func() bool { return r.server.openRequests.Load() == 1 })
			d := testDocument(2)
			d.Limits = route.Limits{MaxBodyBytes: 999}
			r.applyConfig(d)
			fmt.Fprint(c, strings.Repeat("x", 999))
			So(c.receive().status, ShouldEqual, 413)
		})
		Convey("without a limit in the configuration, the server's own holds", func() {
			r.applyConfig(route.Document{Version: 2, Routes: testDocument(2).Routes, Services: testDocument(2).Services, Workspaces: testDocument(2).Workspaces})
			c.sendHead("/once/", "1", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes+1))
			So(c.receive().status, ShouldEqual, 413)
		})
		Convey("a head over the configuration's limit is refused", func() {
			d := testDocument(2)
			d.Limits = route.Limits{MaxHeaderBytes: 1000}
			r.applyConfig(d)
			So(r.call("POST", "/once/", "1", "X-Fill: "+strings.Repeat("x", 1000)+"\r\n", "").status, ShouldEqual, 431)
		})
		So(len(b.requests()), ShouldEqual, served)
	})
}

// Guards against: a caller that takes longer than the configuration allows gets an answer that
// keeps it from coming again.
func TestSlowHeadersAreTimedOut(t *testing.T) {
	Convey("A head that does not come in time is answered with 408", t, func() {
		r := newHarness(t, newBackend(t, echoBody))
		d := testDocument(2)
		d.Limits = route.Limits{HeaderTimeout: time.Millisecond}
		r.applyConfig(d)
		c := r.dial()
		fmt.Fprint(c, "POST /once/ HTTP/1.1\r\nHost: h")
		So(c.receive().status, ShouldEqual, 408)
	})
	Convey("An idle connection is closed after the configuration's time", t, func() {
		r := newHarness(t, newBackend(t, echoBody))
		d := testDocument(2)
		d.Limits = route.Limits{IdleTimeout: 50 * time.Millisecond}
		r.applyConfig(d)
		c := r.dial()
		c.send("POST", "/once/", "1", "", "x")
		So(c.receive().status, ShouldEqual, 200)
		_, err := c.reader.ReadByte()
		So(err, ShouldEqual, io.EOF)
	})
}

// Guards against: a request that was evicted runs, or its caller isn't told that it did not; or
// a lower tier keeps its memory while a higher one is refused.
func TestHigherTiersEvictRequestsThatWait(t *testing.T) {
	Convey("Given a request that waits, and no memory for another", t, func() {
		b := newBackend(t, echoBody)
		r := newHarnessWith(t, harnessOptions{callerBytes: 800 << 10}, b)
		d := testDocument(2)
		for i := range d.Routes {
			if d.Routes[i].Prefix == "/again/" {
				d.Routes[i].Tier = 2
			}
		}
		r.applyConfig(d)
		r.broker.unblock = make(chan struct{})
		content := strings.Repeat("x", 350<<10)
		low := r.dial()
		low.send("POST", "/again/", "low", "", content)
		r.waitUntil("it waits", func() bool { return r.broker.acquireCount() == 1 })
		Convey("one of its own tier is refused as not run", func() {
			got := r.call("POST", "/again/", "same", "", content)
			So(got.status, ShouldEqual, 503)
			So(got.body, ShouldEqual, "entry_memory\n")
			So(string(got.header.Peek("Retry-After")), ShouldNotBeEmpty)
			close(r.broker.unblock)
			So(low.receive().body, ShouldEqual, "echo "+content)
		})
		Convey("it gives way to a higher tier, and never runs", func() {
			high := r.dial()
			high.send("POST", "/once/", "high", "", content)
			got := low.receive()
			So(got.status, ShouldEqual, 503)
			So(got.body, ShouldEqual, "entry_memory\n")
			So(string(got.header.Peek("Retry-After")), ShouldNotBeEmpty)
			close(r.broker.unblock)
			So(high.receive().body, ShouldEqual, "echo "+content)
			So(len(b.requests()), ShouldEqual, 1)
		})
	})
}

// Guards against: what a request held is not given back on one of its ways out.
func TestWhatARequestHeldIsGivenBack(t *testing.T) {
	long := strings.Repeat("y", 300<<10)
	for name, way := range map[string]func(r *harness){
		"served":          func(r *harness) { r.call("POST", "/once/", "1", "", long) },
		"unknown path":    func(r *harness) { r.call("POST", "/none/", "1", "", long) },
		"refused by pool": func(r *harness) { r.broker.refusal = staleRefusal(); r.call("POST", "/once/", "1", "", long) },
		"quota used up":   func(r *harness) { r.quotas.deny = true; r.call("POST", "/once/", "1", "", long) },
		"too long":        func(r *harness) { r.call("POST", "/once/", "1", "", strings.Repeat(long, 5)) },
		"cut in a body": func(r *harness) {
			c := r.dial()
			c.sendHead("/once/", "1", "Content-Length: 9\r\n\r\nx")
			_ = c.Close()
		},
		"malformed chunk": func(r *harness) {
			c := r.dial()
			c.sendHead("/once/", "1", "Transfer-Encoding: chunked\r\n\r\nzz\r\n")
			c.receive()
		},
		"left while it waits": func(r *harness) {
			r.broker.unblock = make(chan struct{})
			c := r.dial()
			c.send("POST", "/once/", "1", "", long)
			r.waitUntil("it waits", func() bool { return r.broker.acquireCount() == 1 })
			_ = c.Close()
		},
		"panic": func(r *harness) {
			r.admission.onMayUse = func(int) { panic("test") }
			r.call("POST", "/once/", "1", "", long)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, newBackend(t, func(_ int, head, _ string, c net.Conn) bool {
				writeSignedAnswer(c, head, "200 OK", long)
				return true
			}))
			way(r)
			r.waitUntil("nothing but connections is held", func() bool {
				return r.server.account.Used() == int64(r.server.account.Open())*connBytes
			})
		})
	}
}
