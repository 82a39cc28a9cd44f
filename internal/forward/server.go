// Package forward is the HTTP front that passes callers' requests on
// unchanged: it finds the route, waits for a slot, sends the request to the
// backend server of the grant, and passes the answer back as it comes.
//
// It holds each request from its first byte to its last. A request is sent
// once, unless a server said that it did not run it, or its route allows a
// second run. A refusal that says "not run" is sent only where that is known.
package forward

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/retry"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// The entry's bounds.
const (
	// maxHeaderBytes bounds a caller's header; it is the size of the read
	// buffer of each active connection.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds a caller's body, whatever the configuration says.
	maxBodyBytes = 8 << 20
	// maxBufferedAnswerBytes bounds an answer that is held until it is whole.
	maxBufferedAnswerBytes = 16 << 20
	// readTimeout bounds reading one request.
	readTimeout = 15 * time.Second
	// idleTimeout is longer than any caller keeps a connection idle: a caller
	// that uses one while it is being closed loses its request.
	idleTimeout = 75 * time.Second
	// writeTimeout bounds writing an answer. It is longer than any request may
	// take; what it is for is that each answer starts with a deadline of its
	// own, whatever the one before on the connection had left.
	writeTimeout = 15 * time.Minute
	// maxConnections bounds the callers' connections.
	maxConnections = 3000
	// streamSilenceTimeout is how long a stream that may be resumed elsewhere may
	// bring no event after its first. Callers give up after 2 s or more, and
	// a server that works brings several events a second.
	streamSilenceTimeout = 1500 * time.Millisecond
)

// Deps are the parts that a Server works with.
type Deps struct {
	Routes    *route.Live
	Pools     *workspace.CurrentSnapshot
	Broker    broker.Broker
	Admission Admission
	Quotas    Quotas
	// Budget returns the retry budget of a service.
	Budget    func(service string) *retry.Budget
	ConnPools *ConnPools
	// Rollouts divide requests between two versions of servers; nil: there are none.
	Rollouts Rollouts
	// PoolRemoved returns a context that ends when a pool of a service is there no more;
	// nil: pools stay.
	PoolRemoved func(service string) context.Context
	Metrics     *metrics.Registry
	// Region is the region whose pools are used.
	Region string
	// RequestIDPrefix makes request ids unique among the daemons and their restarts.
	RequestIDPrefix string
	Wire            Wire
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	deps            Deps
	wire            Wire
	reservedHeaders map[string]bool
	httpServer      *fasthttp.Server
	counters        *counters
	log             *logrus.Entry
	// runningLogLimiter bounds the lines of requests that still run.
	runningLogLimiter *logs.Limiter
	requestSequence   atomic.Uint64
	draining          atomic.Bool
	openRequests      atomic.Int64
}

// New returns a server that does not listen yet.
func New(d Deps) *Server {
	s := &Server{deps: d, wire: d.Wire, log: logs.For("forward"), runningLogLimiter: logs.NewLimiter(maxRunningLinesPerSecond), reservedHeaders: map[string]bool{}}
	// An encoded answer is not the server's body: none is asked for.
	ownHeaders := []string{d.Wire.Deadline, d.Wire.Workspace, d.Wire.ExpectServer, d.Wire.LastEvent, fasthttp.HeaderAcceptEncoding}
	for _, name := range append(ownHeaders, d.Wire.Reserved...) {
		s.reservedHeaders[name] = true
	}
	s.counters = newCounters(d.Metrics)
	s.httpServer = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.rejectMalformed,
		ReadBufferSize:               maxHeaderBytes,
		MaxRequestBodySize:           maxBodyBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		WriteTimeout:                 writeTimeout,
		Concurrency:                  maxConnections,
		ReduceMemoryUsage:            true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	return s
}

// discardLogger drops what the HTTP library says of single connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// Serve serves callers on ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	return errors.Wrap(s.httpServer.Serve(ln), "serve callers")
}

// Drain makes every further answer ask its caller to connect anew.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listener and waits until every request has its answer.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return errors.Wrap(s.httpServer.ShutdownWithContext(ctx), "shut down")
}

// OpenCounts is what keeps a shutdown waiting.
type OpenCounts struct {
	Requests    int64 // without the end of their answer
	Connections int32 // of callers, those between two requests included
}

// OpenCounts tells what is open now.
func (s *Server) OpenCounts() OpenCounts {
	return OpenCounts{Requests: s.openRequests.Load(), Connections: s.httpServer.GetOpenConnectionsCount()}
}

// rejectMalformed answers what is no HTTP request.
func (s *Server) rejectMalformed(ctx *fasthttp.RequestCtx, err error) {
	s.counters.malformedRequests.Add(1)
	status := fasthttp.StatusBadRequest
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &headerTooLarge):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetConnectionClose()
}

// errAmbiguousLength: the length is told in two ways.
var errAmbiguousLength = errors.New("both a length and chunks")

// hasAmbiguousLength tells whether a request names both a length and chunks, by
// which two readers may find different ends (request smuggling).
func hasAmbiguousLength(h *fasthttp.RequestHeader) bool {
	raw := bytes.ToLower(h.RawHeaders())
	return hasHeader(raw, "transfer-encoding:") && hasHeader(raw, "content-length:")
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
	if hasAmbiguousLength(&ctx.Request.Header) {
		s.rejectMalformed(ctx, errAmbiguousLength)
		s.openRequests.Add(-1)
		return
	}
	x := s.newExchange(ctx)
	if err := x.serve(); err != nil {
		x.refuse(err)
		x.cleanUp()
		return
	}
	if x.stream == nil {
		x.cleanUp()
	}
}
