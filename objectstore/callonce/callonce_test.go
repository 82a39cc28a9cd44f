package callonce

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

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
