package callonce

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/standin/malformed"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// serveWithoutAnswer starts a server that reads requests and closes their connections
// without an answer.
func serveWithoutAnswer(t *testing.T) (address string, requests *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				requests.Add(1)
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String(), requests
}

// serveHeads starts a server that answers a call of path /N with the Nth malformed head.
func serveHeads(t *testing.T, body string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	heads := malformed.Heads()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				n, _ := strconv.Atoi(strings.TrimPrefix(req.URL.Path, "/"))
				_, _ = io.WriteString(c, heads[n].Answer("X-Era: 7\r\n", body))
			}
			_ = c.Close()
		}
	}()
	return ln.Addr().String()
}

// Guards against: a write counts as done, or as not done, by an answer whose head is malformed.
func TestMalformedHeadsLeaveTheOutcomeUnknown(t *testing.T) {
	Convey("The outcome is unknown, the error says why, and nothing that the head says is used", t, func() {
		c := New(Options{Addr: serveHeads(t, `{"metadata":{"name":"x"}}`), ConnectTimeout: time.Second, IdleTimeout: time.Second})
		wrong := []string(nil)
		for i, h := range malformed.Heads() {
			for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
				headers := 0
				body, err := c.Do(Call{Method: method, Path: fmt.Sprint("/", i), OnHeader: func(*fasthttp.ResponseHeader) { headers++ }}, time.Now().Add(10*time.Second))
				var malformedHead *httpconn.HeadError
				if !errors.Is(err, objectstore.ErrUnknownOutcome) || !errors.As(err, &malformedHead) || headers > 0 {
					wrong = append(wrong, fmt.Sprintf("%s %s: %q, %v, headers read %d", method, h.Name, body, err, headers))
				}
			}
		}
		So(wrong, ShouldBeEmpty)
	})
}

// Guards against: a call on a kept connection is judged by the answer before it.
func TestEachAnswerOfAConnectionIsJudged(t *testing.T) {
	Convey("Sound answers are read, also in pieces and after interim ones; a malformed head after them is not", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer ln.Close()
		conns, long := atomic.Int64{}, strings.Repeat("x", 100_000)
		answers := []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 100000\r\n\r\n" + long, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"}
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				conns.Add(1)
				r := bufio.NewReader(c)
				for _, a := range answers {
					if _, err := http.ReadRequest(r); err != nil {
						break
					}
					for _, piece := range strings.SplitAfter(a, "\r\n") {
						_, _ = io.WriteString(c, piece)
					}
				}
				_ = c.Close()
			}
		}()
		c := New(Options{Addr: ln.Addr().String(), ConnectTimeout: time.Second, IdleTimeout: time.Minute})
		for i, want := range []string{"{}", long, ""} {
			body, err := c.Do(Call{Method: "GET", Path: "/x"}, time.Now().Add(10*time.Second))
			So(string(body), ShouldEqual, want)
			So(errors.Is(err, objectstore.ErrUnknownOutcome), ShouldEqual, i == 2)
		}
		So(conns.Load(), ShouldEqual, 1)
	})
}

// Guards against: the HTTP client retries a call by itself, so that it is charged or done twice.
func TestEachCallIsSentOnce(t *testing.T) {
	Convey("A call whose connection breaks is not retried, and its outcome is unknown", t, func() {
		for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
			address, requests := serveWithoutAnswer(t)
			c := New(Options{Addr: address, ConnectTimeout: time.Second, IdleTimeout: time.Second})
			_, err := c.Do(Call{Method: method, Path: "/x"}, time.Now().Add(10*time.Second))
			So(errors.Is(err, objectstore.ErrUnknownOutcome), ShouldBeTrue)
			So(requests.Load(), ShouldEqual, 1)
		}
	})
	Convey("Without a connection the call certainly had no effect", t, func() {
		c := New(Options{Addr: "127.0.0.1:1", ConnectTimeout: time.Second})
		_, err := c.Do(Call{Method: "PUT", Path: "/x"}, time.Now().Add(10*time.Second))
		So(errors.Is(err, objectstore.ErrUnavailable), ShouldBeTrue)
	})
}
