package httpengine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/engine/httpengine"
	"github.com/lycheekeel/lycheekeel/internal/faultproxy"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	standin "github.com/lycheekeel/lycheekeel/internal/standin/engine"
	"github.com/lycheekeel/lycheekeel/internal/standin/malformed"
)

// fakeServer passes each request that it has read to answer, which returns false to close
// the connection.
type fakeServer struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
	closed   chan struct{} // receives a value for each connection that it closed
}

func newFakeServer(t testing.TB, answer func(c net.Conn, request int64) bool) *fakeServer {
	ln := listen(t)
	server := &fakeServer{address: ln.Addr().String(), closed: make(chan struct{}, 100)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			server.conns.Add(1)
			context.AfterFunc(ctx, func() { _ = c.Close() })
			wg.Go(func() { server.serve(c, answer) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		cancel()
		wg.Wait()
	})
	return server
}

func (server *fakeServer) serve(c net.Conn, answer func(net.Conn, int64) bool) {
	r := bufio.NewReader(c)
	var req fasthttp.Request
	for req.Read(r) == nil && answer(c, server.requests.Add(1)) {
	}
	_ = c.Close()
	select {
	case server.closed <- struct{}{}:
	default: // no test waits for so many
	}
}

// writeAnswer writes the lines as a complete streamed response.
func writeAnswer(c net.Conn, lines ...string) bool {
	var resp fasthttp.Response
	resp.SetBodyStream(strings.NewReader(strings.Join(lines, "\n")+"\n"), -1)
	w := bufio.NewWriter(c)
	return resp.Write(w) == nil && w.Flush() == nil
}

// longIdle keeps idle connections open, however slow the machine is.
var longIdle = httpconn.Settings{IdleTimeout: time.Hour}

const endLine = `{"request_id":"r","offset":0,"tokens":1,"text":"word","end":true,"finish_reason":"stop"}`

func runToEnd(ctx context.Context, e engine.Engine) (string, error) {
	s, err := e.Run(ctx, echoRun("r", "x"))
	if err != nil {
		return "", err
	}
	text, _, err := readToEnd(ctx, s)
	_ = s.Close()
	return text, err
}

// Guards against: a request runs on an engine twice, after a connection closed without an answer.
func TestClosedAfterReadIsNotRetried(t *testing.T) {
	Convey("with an idle connection and without one", t, func() {
		server := newFakeServer(t, func(c net.Conn, n int64) bool { return n == 1 && writeAnswer(c, endLine) })
		e := httpengine.New(server.address, longIdle)
		_, err := runToEnd(testContext(t), e)
		So(err, ShouldBeNil)
		for sent := int64(2); sent <= 4; sent++ {
			_, err := runToEnd(testContext(t), e)
			So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
			So(server.requests.Load(), ShouldEqual, sent)
		}
		So(server.conns.Load(), ShouldEqual, 4) // one for each request; no connection was reused
	})
}

// Guards against: an answer whose head is malformed is taken for an engine's answer or refusal.
func TestMalformedHeadsAreLostAnswers(t *testing.T) {
	heads := malformed.Heads()
	for name, body := range map[string]string{"an answer": endLine + "\n", "a refusal": `{"not_run":true}`} {
		for call, do := range map[string]func(e *httpengine.Engine) error{
			"a run":    func(e *httpengine.Engine) error { _, err := runToEnd(testContext(t), e); return err },
			"an order": func(e *httpengine.Engine) error { return e.Order(testContext(t), engine.Order{}) },
		} {
			Convey("It is lost, whatever comes with the head: "+call+", "+name, t, func() {
				server := newFakeServer(t, func(c net.Conn, n int64) bool {
					_, _ = io.WriteString(c, heads[n-1].Answer("X-Request-Id: r\r\n", body))
					return false
				})
				e := httpengine.New(server.address, httpconn.Settings{})
				wrong := []string(nil)
				for _, h := range heads {
					if err := do(e); !errors.Is(err, engine.ErrConnectionLost) {
						wrong = append(wrong, fmt.Sprintf("%s: %v", h.Name, err))
					}
				}
				So(wrong, ShouldBeEmpty)
				So(server.requests.Load(), ShouldEqual, len(heads))
			})
		}
	}
}

// Guards against: a request is sent on a dead idle connection and its outcome is unknown.
func TestRunAlwaysUsesANewConnection(t *testing.T) {
	Convey("the next run gets a new connection and is sent once", t, func() {
		core, err := standin.New(fastEngine)
		So(err, ShouldBeNil)
		defer core.Close()
		proxy := proxyTo(t, core)
		e := httpengine.New(proxy.Addr(), longIdle)
		for i := range 3 {
			s, err := e.Run(testContext(t), echoRun(fmt.Sprint("r-", i), "text"))
			So(err, ShouldBeNil)
			text, _, err := readToEnd(testContext(t), s)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "text")
			proxy.Silence(faultproxy.Both)
		}
		So(core.Runs(), ShouldHaveLength, 3)
	})
}

// proxyTo serves an engine behind a fault-injecting proxy.
func proxyTo(t *testing.T, core *standin.Engine) *faultproxy.Proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	proxy, err := faultproxy.New("127.0.0.1:0", ln.Addr().String())
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- standin.ServeEngine(ctx, ln, core) }()
	t.Cleanup(func() {
		cancel()
		<-served
		proxy.Close()
	})
	return proxy
}

// Guards against: calls such as load reports fail on idle connections that the engine has closed.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	Convey("the next call gets a new connection and is sent once", t, func() {
		server := newFakeServer(t, func(c net.Conn, n int64) bool { return writeAnswer(c, endLine) && n > 1 })
		e := httpengine.New(server.address, longIdle)
		_, err := runToEnd(testContext(t), e)
		So(err, ShouldBeNil)
		<-server.closed
		_ = e.Cancel(testContext(t), "r")
		So(server.requests.Load(), ShouldEqual, 2)
		So(e.Counts(), ShouldResemble, httpconn.Counts{Dialed: 2, Dead: 1})
	})
}

// Guards against: a dispatch right is lost, or returned for a request that may run.
func TestNotSent(t *testing.T) {
	Convey("the connect is refused", t, func() {
		ln := listen(t)
		_ = ln.Close()
		sending := 0
		r := echoRun("r", "x")
		r.BeforeSend = func() error { sending++; return nil }
		_, err := httpengine.New(ln.Addr().String(), httpconn.Settings{}).Run(testContext(t), r)
		So(errors.Is(err, engine.ErrNotSent), ShouldBeTrue)
		So(sending, ShouldEqual, 0)
	})
	Convey("BeforeSend returns an error", t, func() {
		server := newFakeServer(t, func(c net.Conn, _ int64) bool { return writeAnswer(c, endLine) })
		e := httpengine.New(server.address, longIdle)
		r := echoRun("r", "x")
		r.BeforeSend = func() error { return errors.New("no") }
		_, err := e.Run(testContext(t), r)
		So(errors.Is(err, engine.ErrNotSent), ShouldBeTrue)
		So(server.requests.Load(), ShouldEqual, 0)
		_ = e.Cancel(testContext(t), "r") // reuses the connection, on which nothing was sent
		So(server.requests.Load(), ShouldEqual, 1)
		So(server.conns.Load(), ShouldEqual, 1)
	})
}

// Guards against: a caller gets another request's answer, a corrupted one, or an incomplete one as complete.
func TestInvalidAnswersAreRejected(t *testing.T) {
	first := `{"request_id":"r","offset":0,"tokens":2,"text":"wordword"}`
	cases := []struct {
		name  string
		lines []string
		want  error
	}{
		{"another request's id", []string{`{"request_id":"other","offset":0,"tokens":1,"text":"word","end":true}`}, engine.ErrRequestMismatch},
		{"another request's keepalive", []string{`{"request_id":"other","keepalive":true}`}, engine.ErrRequestMismatch},
		{"a gap in the offsets", []string{first, `{"request_id":"r","offset":3,"tokens":1,"text":"word","end":true}`}, engine.ErrConnectionLost},
		{"a repeated chunk", []string{first, first}, engine.ErrConnectionLost},
		{"no End chunk", []string{first}, engine.ErrConnectionLost},
		{"invalid JSON", []string{first, `{"request_id":"r",`}, engine.ErrConnectionLost},
		{"a reported failure", []string{first, `{"request_id":"r","error":"out of memory"}`}, engine.ErrRunFailed},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			server := newFakeServer(t, func(conn net.Conn, _ int64) bool { return writeAnswer(conn, c.lines...) })
			_, err := runToEnd(testContext(t), httpengine.New(server.address, httpconn.Settings{}))
			So(errors.Is(err, c.want), ShouldBeTrue)
			So(server.requests.Load(), ShouldEqual, 1)
		})
	}
}

// Guards against: a request is reported as not run although it may be running.
func TestOnlyTheEngineReportsNotRun(t *testing.T) {
	answer := func(body string) func(net.Conn, int64) bool {
		return func(c net.Conn, _ int64) bool {
			var resp fasthttp.Response
			resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
			resp.SetBodyString(body)
			w := bufio.NewWriter(c)
			return resp.Write(w) == nil && w.Flush() == nil
		}
	}
	Convey("a 503 alone does not prove that the request did not run; not_run does", t, func() {
		_, err := runToEnd(testContext(t), httpengine.New(newFakeServer(t, answer("busy")).address, httpconn.Settings{}))
		So(errors.Is(err, engine.ErrRunFailed), ShouldBeTrue)
		_, err = runToEnd(testContext(t), httpengine.New(newFakeServer(t, answer(`{"not_run":true}`)).address, httpconn.Settings{}))
		So(errors.Is(err, engine.ErrRefusedNotRun), ShouldBeTrue)
	})
}

// Guards against: requests of callers that disconnected keep connections and slots.
func TestContextCancelsRunAndNext(t *testing.T) {
	Convey("in Run and in Next, where each call obeys only its own context", t, func() {
		noTimeout := httpconn.Settings{SilenceTimeout: time.Hour}
		got := make(chan struct{}, 1)
		server := newFakeServer(t, func(net.Conn, int64) bool { got <- struct{}{}; return true })
		ctx, cancel := context.WithCancel(testContext(t))
		go func() { <-got; cancel() }()
		_, err := runToEnd(ctx, httpengine.New(server.address, noTimeout))
		So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)

		_, e := serve(t, fastEngine, noTimeout)
		ctx, cancel = context.WithCancel(testContext(t))
		s, err := e.Run(ctx, echoRun("r", "x"))
		So(err, ShouldBeNil)
		cancel()
		text, _, err := readToEnd(testContext(t), s)
		So(err, ShouldBeNil)
		So(text, ShouldEqual, "x")

		So(postFaults(e, `{"answer_delay_ms":3600000}`), ShouldBeNil)
		s, err = e.Run(testContext(t), echoRun("r2", "x"))
		So(err, ShouldBeNil)
		ctx, cancel = context.WithCancel(testContext(t))
		defer cancel()
		go cancel()
		_, err = s.Next(ctx)
		So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
	})
}

// Guards against: a stream hangs on a silent connection, or its prefill is computed again.
func TestSilentConnectionIsDetectedAndResumed(t *testing.T) {
	Convey("the stream fails, is resumed on a new connection, and its request ran once", t, func() {
		o := fastEngine
		o.Faults.Speed = 0.002
		core, e := serve(t, o, httpconn.Settings{})
		ctx := testContext(t)
		want := strings.Repeat("0123456789", 40)
		s, err := e.Run(ctx, echoRun("r", want))
		So(err, ShouldBeNil)
		c, err := s.Next(ctx)
		So(err, ShouldBeNil)
		text := c.Text
		So(postFaults(e, `{"silent":"existing","speed":1}`), ShouldBeNil)
		for err == nil && !c.End {
			if c, err = s.Next(ctx); err == nil {
				text += c.Text
			}
		}
		So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
		_ = s.Close()
		s, err = e.Resume(ctx, "r", (len(text)+3)/4)
		So(err, ShouldBeNil)
		rest, _, err := readToEnd(ctx, s)
		So(err, ShouldBeNil)
		So(text+rest, ShouldEqual, want)
		So(core.Runs(), ShouldHaveLength, 1)
	})
}

// Guards against: a request that is queued inside a busy engine is treated as lost.
func TestKeepalivePreventsSilenceTimeout(t *testing.T) {
	Convey("an answer that takes longer than the silence timeout arrives", t, func() {
		o := fastEngine
		o.KeepaliveMs, o.Faults.AnswerDelayMs = 20, 2_500
		_, e := serve(t, o, httpconn.Settings{SilenceTimeout: 2 * time.Second})
		text, err := runToEnd(testContext(t), e)
		So(err, ShouldBeNil)
		So(text, ShouldEqual, "x")
	})
}

// Guards against: after an engine's crash its requests hang or are run again.
func TestEngineCrash(t *testing.T) {
	Convey("connection lost, then not sent until the restart, then unknown to the new incarnation", t, func() {
		o := fastEngine
		o.RestartMs, o.Faults.CrashText = 2_000, "poison"
		core, e := serve(t, o, httpconn.Settings{})
		ctx := testContext(t)
		before, err := e.Load(ctx)
		So(err, ShouldBeNil)
		s, err := e.Run(ctx, echoRun("r", "some poison"))
		if err == nil {
			_, _, err = readToEnd(ctx, s)
		}
		So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
		So(core.Runs()[0].Outcome, ShouldEqual, standin.OutcomeCrashed)
		_, err = e.Run(ctx, echoRun("r2", "x"))
		So(errors.Is(err, engine.ErrNotSent), ShouldBeTrue)
		after, err := e.Load(ctx)
		for errors.Is(err, engine.ErrNotSent) && ctx.Err() == nil {
			after, err = e.Load(ctx)
		}
		So(err, ShouldBeNil)
		So(after.Incarnation, ShouldNotEqual, before.Incarnation)
		_, err = e.Resume(ctx, "r", 0)
		So(errors.Is(err, engine.ErrUnknownRun), ShouldBeTrue)
		So(core.Runs(), ShouldHaveLength, 1)
	})
}

// Guards against: a partly written request is reported as not sent.
func TestPartialWriteHasUnknownOutcome(t *testing.T) {
	Convey("the outcome is unknown", t, func() {
		ln := listen(t)
		defer ln.Close()
		e := httpengine.New(ln.Addr().String(), httpconn.Settings{SilenceTimeout: 100 * time.Millisecond})
		_, err := e.Run(testContext(t), echoRun("r", strings.Repeat("x", 8<<20)))
		So(errors.Is(err, engine.ErrConnectionLost), ShouldBeTrue)
	})
}
