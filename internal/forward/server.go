// Package forward is the HTTP front end that forwards callers' requests unchanged. It
// finds the route, waits for a slot, sends the request to the backend server of the grant,
// and passes the answer on as it arrives.
//
// It owns each request from its first byte to the last byte of the answer. A request is
// sent once, unless a server reports that it did not run it or its route allows more
// attempts. A refusal says "not run" only if that is certain.
package forward

import (
	"bytes"
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/retry"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Limits of the HTTP server.
const (
	// maxHeaderBytes bounds a caller's header. It is also the size of the read buffer of
	// each active connection.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds a caller's body if the configuration has no limit.
	maxBodyBytes = 8 << 20
	// maxBufferedAnswerBytes bounds an answer that is buffered until it is complete.
	maxBufferedAnswerBytes = 16 << 20
	// readTimeout bounds reading a request's head, and then its body.
	readTimeout = 15 * time.Second
	// headerSlack is what a head may take on its way in addition to the configuration's limit.
	headerSlack = time.Second
	// idleTimeout is longer than any caller keeps a connection idle. A caller that sends
	// on a connection while it is being closed loses its request.
	idleTimeout = 75 * time.Second
	// writeTimeout bounds writing an answer. It is longer than any request may take. Its
	// purpose is that each answer starts with a write deadline of its own, whatever
	// deadline the previous answer left on the connection.
	writeTimeout = 15 * time.Minute
	// defaultMaxConnections bounds the callers' connections.
	defaultMaxConnections = 3000
	// defaultCallerBytes bounds what callers make the process hold.
	defaultCallerBytes = 256 << 20
	// connBytes is what a connection holds: the read buffer, its goroutine and the HTTP
	// server's record of it. busyBytes is what a request holds in addition, with the first of
	// its body and of its answer.
	connBytes, busyBytes = 24 << 10, 24 << 10
	// includedBytes is the part of a body, and of an answer, that busyBytes covers.
	includedBytes = 8 << 10
	// streamSilenceTimeout is how long a resumable stream may bring no event after its
	// first before another server is asked. Callers give up after 2 s or more, and a
	// healthy server sends several events per second.
	streamSilenceTimeout = 1500 * time.Millisecond
)

// Deps are the dependencies of a Server.
type Deps struct {
	Routes    *route.Live
	Snapshot  *workspace.CurrentSnapshot
	Broker    broker.Broker
	Admission Admission
	Quotas    Quotas
	// Budget returns the retry budget of a service.
	Budget    func(service string) *retry.Budget
	ConnPools *ConnPools
	// StreamVersions knows which version began a stream that a caller takes up; nil: nobody
	// does, and any version may go on.
	StreamVersions StreamVersions
	// Rollouts splits requests between two versions of servers; nil if there are no rollouts.
	Rollouts Rollouts
	// PoolRemoved returns a context that ends when a pool of a service is removed; nil if
	// pools are never removed.
	PoolRemoved func(service string) context.Context
	Metrics     *metrics.Registry
	// MaxConnections bounds the callers' connections, and CallerBytes what callers make the
	// process hold, in bytes; 0 means a default.
	MaxConnections int
	CallerBytes    int64
	// Region is the region whose pools are used.
	Region string
	// RequestIDPrefix makes request ids unique across daemons and their restarts.
	RequestIDPrefix string
	Wire            Wire
}

// Server forwards callers' requests. It is safe for concurrent use.
type Server struct {
	deps            Deps
	wire            Wire
	reservedHeaders map[string]bool
	httpServer      *fasthttp.Server
	account         *callermem.Account
	eventMemory     *eventMemory
	answerMemory    *answerMemory
	gate            *overloadGate
	// longAnswer is held while an answer of unknown length is read that is long.
	longAnswer chan struct{}
	// oversizeAnswer is held while an answer is read that exceeds what all others may take.
	oversizeAnswer chan struct{}
	counters       *counters
	log            *logrus.Entry
	// runningLogLimiter limits the rate of "Still running." lines.
	runningLogLimiter *logs.Limiter
	requestSequence   atomic.Uint64
	draining          atomic.Bool
	openRequests      atomic.Int64
	open              openRequests
	shutdownEnd       atomic.Pointer[time.Time] // nil until Shutdown
}

// New returns a server that is not listening yet.
func New(d Deps) *Server {
	s := &Server{eventMemory: newEventMemory(d), answerMemory: newAnswerMemory(d), oversizeAnswer: make(chan struct{}, 1), deps: d, wire: d.Wire, log: logs.For("forward"), runningLogLimiter: logs.NewLimiter(maxRunningLinesPerSecond), reservedHeaders: map[string]bool{}}
	// Accept-Encoding is not forwarded: an encoded answer would not be the server's own body.
	ownHeaders := []string{d.Wire.Deadline, d.Wire.Workspace, d.Wire.ExpectServer, d.Wire.LastEvent, fasthttp.HeaderAcceptEncoding}
	for _, name := range append(ownHeaders, d.Wire.Reserved...) {
		s.reservedHeaders[name] = true
	}
	s.counters = newCounters(d.Metrics)
	maxConnections := cmp.Or(d.MaxConnections, defaultMaxConnections)
	s.gate, s.longAnswer = newOverloadGate(), make(chan struct{}, 1)
	s.account = callermem.New(callermem.Limits{
		Bytes: cmp.Or(d.CallerBytes, defaultCallerBytes), Connections: maxConnections, ConnBytes: connBytes, BusyBytes: busyBytes,
	}, s.accountEvents())
	d.Metrics.Gauge("forward", "caller_bytes", func() any { return s.account.Used() })
	s.httpServer = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.rejectMalformed,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxBodyBytes,
		HeaderReceived:               s.headerReceived,
		ExpectHandler:                s.expectBody,
		StreamRequestBody:            true,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout,
		Concurrency:                  2 * maxConnections, // the account keeps the bound
		ConnState:                    callermem.StateChanged,
		ReduceMemoryUsage:            true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       logs.Discard{},
	}
	d.Metrics.Gauge("forward", "answer_bytes", func() any { return s.answerMemory.usedBytes() })
	d.Metrics.Gauge("forward", "event_bytes", func() any { return s.eventMemory.usedBytes() })
	return s
}

// Serve serves callers on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { s.watchLag(ctx) })
	bounded := callermem.Listener{Listener: ln, Account: s.account, Timeouts: s.callerTimeouts, Admits: s.admitsConnection}
	return errors.Wrap(s.httpServer.Serve(bounded), "serve callers")
}

// limits returns those of the configuration in force.
func (s *Server) limits() route.Limits {
	if table := s.deps.Routes.Load(); table != nil {
		return table.Limits
	}
	return route.Limits{}
}

// headerReceived is called by the HTTP server before it reads any of a request's body. The
// handler reads the body; the server itself reads as little as it can be told to.
func (s *Server) headerReceived(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if s.bodyTooLong(h) {
		h.Set(fasthttp.HeaderExpect, expectContinue) // so that expectBody decides
	}
	return fasthttp.RequestConfig{ReadTimeout: readTimeout, MaxRequestBodySize: 1}
}

// expectContinue is the value of Expect by which a caller asks whether it may send a body.
const expectContinue = "100-continue"

// expectBody decides whether the body of a request is read that has an Expect header.
func (s *Server) expectBody(ctx *fasthttp.RequestCtx) int {
	if !s.bodyTooLong(&ctx.Request.Header) {
		return fasthttp.StatusContinue
	}
	s.counters.countRefusal(request.ReasonBodyTooLarge)
	if id := ctx.Request.Header.Peek(s.wire.RequestID); len(id) > 0 {
		ctx.Response.Header.SetBytesV(s.wire.RequestID, id)
	}
	return fasthttp.StatusRequestEntityTooLarge
}

// bodyTooLong reports whether the announced length of a body exceeds the configuration's limit.
func (s *Server) bodyTooLong(h *fasthttp.RequestHeader) bool {
	return h.ContentLength() > maxBody(s.limits())
}

// maxBody returns the most bytes that a body may have.
func maxBody(l route.Limits) int { return cmp.Or(l.MaxBodyBytes, maxBodyBytes) }

// callerTimeouts returns how long a caller may take for a head, and stay idle.
func (s *Server) callerTimeouts() callermem.Timeouts {
	l := s.limits()
	t := callermem.Timeouts{Idle: l.IdleTimeout}
	if l.HeaderTimeout > 0 {
		t.Head = l.HeaderTimeout + headerSlack
	}
	return t
}

// admitsConnection reports whether a new connection is accepted, as far as the processor bears.
func (s *Server) admitsConnection() bool {
	if s.gate.admits(time.Now()) {
		return true
	}
	s.counters.connectionsShed.Add(1)
	return false
}

// Drain makes every further answer ask its caller to close the connection.
func (s *Server) Drain() { s.draining.Store(true) }

// finalAnswerTime is how long Shutdown may go on after its context has ended, so that the
// callers whose requests it ends get their answers.
const finalAnswerTime = 200 * time.Millisecond

// Shutdown closes the listener and waits until every request has been answered. It logs and
// ends those that are still open when ctx ends, refuses those that are read from now on and may
// last longer than that, and returns the context's error if there were
// any or a connection is still open.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	if end, ok := ctx.Deadline(); ok {
		s.shutdownEnd.Store(&end)
	}
	final, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := 0
	endedAll := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(endedAll)
		ended = s.open.endAll()
		time.AfterFunc(finalAnswerTime, cancel)
	})
	err := s.httpServer.ShutdownWithContext(final)
	if stop() {
		return errors.Wrap(err, "shut down")
	}
	<-endedAll
	if err != nil || ended > 0 {
		return errors.Wrapf(ctx.Err(), "shut down: %d requests were not answered", ended)
	}
	return nil
}

// OpenCounts counts what a shutdown waits for.
type OpenCounts struct {
	Requests    int64 // whose answer is not complete
	Connections int32 // of callers, including those between two requests
}

// OpenCounts returns the current counts.
func (s *Server) OpenCounts() OpenCounts {
	return OpenCounts{Requests: s.openRequests.Load(), Connections: s.httpServer.GetOpenConnectionsCount()}
}

// rejectMalformed answers input that is not a valid HTTP request.
func (s *Server) rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	s.counters.malformedRequests.Add(1)
	status := fasthttp.StatusBadRequest
	var headerTooLarge *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.As(err, &headerTooLarge), errors.Is(err, errHeaderTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

// errAmbiguousLength is the error of a request with both Content-Length and Transfer-Encoding.
var errAmbiguousLength = errors.New("both Content-Length and Transfer-Encoding")

// errHeaderTooLarge: the head exceeds the limit of the configuration.
var errHeaderTooLarge = errors.New("head exceeds the limit")

// hasAmbiguousLength tells whether a request has both Content-Length and
// Transfer-Encoding, so that two readers may disagree on its end (request smuggling).
func hasAmbiguousLength(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	return hasHeader(raw, "transfer-encoding:") && hasHeader(raw, "content-length:")
}

// checkHead returns why a head is not accepted.
func (s *Server) checkHeader(h *fasthttp.RequestHeader) error {
	switch {
	case hasAmbiguousLength(h):
		return errAmbiguousLength
	case exceedsHeaderLimit(h, s.limits().MaxHeaderBytes):
		return errHeaderTooLarge
	}
	return nil
}

func hasHeader(raw []byte, name string) bool {
	return bytes.HasPrefix(raw, []byte(name)) || bytes.Contains(raw, []byte("\n"+name))
}

// handle serves one request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.openRequests.Add(1)
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	if err := s.checkHeader(&ctx.Request.Header); err != nil {
		s.rejectMalformed(ctx, err)
		s.openRequests.Add(-1)
		return
	}
	x := s.newExchange(ctx)
	if err := x.contain(x.serve); err != nil {
		x.refuse(err)
		x.cleanUp()
		return
	}
	if x.stream == nil {
		x.cleanUp()
	}
}
