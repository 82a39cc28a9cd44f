package httpservice_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/internal/standin/malformed"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/service"
	"github.com/lycheekeel/lycheekeel/service"
	"github.com/lycheekeel/lycheekeel/service/httpservice"
)

func serve(t *testing.T, s httpservice.Settings) (*standin.Service, *httpservice.Service) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core := standin.New(standin.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = core.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return core, httpservice.New(ln.Addr().String(), s)
}

func call(id string) service.Call {
	return service.Call{
		RequestID: id, Method: "POST", Path: "/book?teacher=7&at=a%2Fb", Body: []byte("Bảng Xanh"),
		Header: [][2]string{{"X-Request-Id", "forged"}, {"Connection", "X-Hop"}, {"X-Hop", "1"}, {"Transfer-Encoding", "chunked"}, {"Accept-Language", "vi"}},
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestCallIsPassedThrough(t *testing.T) {
	Convey("method, path, query and body arrive unchanged, with the request id of the call", t, func() {
		core, s := serve(t, httpservice.Settings{})
		for range 2 {
			reply, err := s.Do(testContext(t), call("r"))
			So(err, ShouldBeNil)
			So(reply.Status, ShouldEqual, 200)
			var echo standin.Echo
			So(json.Unmarshal(reply.Body, &echo), ShouldBeNil)
			So(echo.Method+" "+echo.Path, ShouldEqual, "POST /book?teacher=7&at=a%2Fb")
			So(echo.Body, ShouldEqual, "Bảng Xanh")
			So(echo.Header, ShouldContain, [2]string{"X-Request-Id", "r"})
			So(echo.Header, ShouldContain, [2]string{"Accept-Language", "vi"})
			for _, h := range echo.Header {
				So(h[0], ShouldNotBeIn, "X-Hop", "Transfer-Encoding", "Connection")
				So(h[1], ShouldNotEqual, "forged")
			}
			So(reply.Header, ShouldContain, [2]string{"Content-Type", "application/json"})
		}
		So(core.Calls(), ShouldResemble, []standin.CallCount{
			{Call: standin.Call{Method: "POST", Path: "/book?teacher=7&at=a%2Fb", RequestID: "r"}, Count: 2},
		})
	})
}

// Guards against: a call is sent twice, after a connection closed or went silent without an answer.
func TestNoCallIsSentTwice(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		want   error
		count  int
	}{
		{"read and closed", standin.Faults{CloseAfterRead: true}, engine.ErrConnectionLost, 1},
		{"read and silent", standin.Faults{Silent: true}, engine.ErrConnectionLost, 1},
		{"refused", standin.Faults{Refuse: true}, engine.ErrRefusedNotRun, 0},
	}
	for _, c := range cases {
		Convey(c.name+", with an idle connection and without one", t, func() {
			core, s := serve(t, httpservice.Settings{})
			_, err := s.Do(testContext(t), call("first"))
			So(err, ShouldBeNil)
			core.SetFaults(c.faults)
			for _, id := range []string{"a", "b"} {
				ctx, cancel := context.WithCancel(testContext(t))
				var wg conc.WaitGroup
				wg.Go(func() { // cancels the call to a silent service after it has arrived there
					for c.faults.Silent && core.Count(id) == 0 && ctx.Err() == nil {
						runtime.Gosched()
					}
					if c.faults.Silent {
						cancel()
					}
				})
				_, err = s.Do(ctx, call(id))
				wg.Wait()
				cancel()
				So(errors.Is(err, c.want), ShouldBeTrue)
			}
			So(core.Count("a"), ShouldEqual, c.count)
			So(core.Count("b"), ShouldEqual, c.count)
		})
	}
}

// serveMalformed answers a call for /N with the Nth malformed head.
func serveMalformed(t *testing.T, fields string) *httpservice.Service {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg conc.WaitGroup
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	heads := malformed.Heads()
	wg.Go(func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			var req fasthttp.Request
			if req.Read(bufio.NewReader(c)) == nil {
				n, _ := strconv.Atoi(strings.TrimPrefix(string(req.RequestURI()), "/"))
				_, _ = c.Write([]byte(heads[n].Answer(fields, "the body of a service in trouble")))
			}
			_ = c.Close()
		}
	})
	return httpservice.New(ln.Addr().String(), httpservice.Settings{})
}

// Guards against: an answer whose head is malformed is returned, repaired or as it came.
func TestMalformedHeadsAreLostAnswers(t *testing.T) {
	Convey("The answer is lost, also one that says that the call was not run", t, func() {
		for _, fields := range []string{"X-Request-Id: r\r\n", httpservice.HeaderNotRun + ": true\r\n"} {
			s := serveMalformed(t, fields)
			wrong := []string(nil)
			for i, h := range malformed.Heads() {
				reply, err := s.Do(testContext(t), service.Call{RequestID: "r", Method: "POST", Path: fmt.Sprint("/", i)})
				if !errors.Is(err, engine.ErrConnectionLost) {
					wrong = append(wrong, fmt.Sprintf("%s: %d %q, %v", h.Name, reply.Status, reply.Body, err))
				}
			}
			So(wrong, ShouldBeEmpty)
		}
	})
}

// Guards against: one caller's call smuggles in a second one, or a dispatch right is lost.
func TestNotSent(t *testing.T) {
	Convey("nothing is sent, and BeforeSend is not called", t, func() {
		core, s := serve(t, httpservice.Settings{})
		bad := []service.Call{
			{Method: "GET", Path: "/a HTTP/1.1\r\nHost: x\r\n\r\nGET /b"},
			{Method: "GET", Path: "no-slash"},
			{Method: "GET /x", Path: "/"},
			{Method: "GET", Path: "/", Header: [][2]string{{"A: b\r\nC", "d"}}},
			{Method: "GET", Path: "/", Header: [][2]string{{"A", "b\r\nC: d"}}},
			{Method: "GET", Path: "/", RequestID: "r\nC: d"},
		}
		sending := 0
		for _, c := range bad {
			c.BeforeSend = func() error { sending++; return nil }
			_, err := s.Do(testContext(t), c)
			So(errors.Is(err, engine.ErrNotSent), ShouldBeTrue)
		}
		unreachable := httpservice.NewDialer(httpservice.Settings{Settings: httpconn.Settings{DialTimeout: time.Second}}).Service("127.0.0.1:1")
		_, err := unreachable.Do(testContext(t), service.Call{Method: "GET", Path: "/", BeforeSend: func() error { sending++; return nil }})
		So(errors.Is(err, engine.ErrNotSent), ShouldBeTrue)
		So(sending, ShouldEqual, 0)
		So(core.Calls(), ShouldBeEmpty)
	})
}
