// Package entry is the HTTP server for callers. It owns a request from its first byte
// to the last byte of its answer, and is the only place that dispatches it.
//
// A request takes one configuration snapshot, is classified into a request.Spec and
// waits at the broker for a slot. Its dispatch right is taken once, when the
// connection to the backend server is up; then its answer is streamed to the caller.
// Every other end of a request is a typed refusal.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/service"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Limits bound the resources that callers can occupy. A zero field takes its default.
type Limits struct {
	// ReadTimeout bounds the time to read one request, header and body.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between requests.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// MaxConnections bounds the number of open connections.
	MaxConnections int
	// BodyBytes bounds the memory of all waiting requests: their bodies and a fixed
	// overhead for each.
	BodyBytes int64
	// MaxRequestBytes bounds one body, in addition to the template's limit.
	MaxRequestBytes int
	// ClaimSlotTimeout is how long a request keeps its slot while it waits for the
	// claim store.
	ClaimSlotTimeout time.Duration
	// ResumeWindow is how long a broken stream may stay without a new chunk.
	ResumeWindow time.Duration
	// MaxRunTime bounds the time from dispatch to the end of the answer, whatever the
	// request's deadline.
	MaxRunTime time.Duration
	// KeepaliveInterval is the time without data after which a stream gets an SSE comment.
	KeepaliveInterval time.Duration
	// ProgressInterval is the initial interval of a running request's progress reports.
	ProgressInterval time.Duration
}

// Defaults of Limits.
const (
	DefaultReadTimeout       = 10 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultMaxConnections    = 50_000
	DefaultBodyBytes         = 256 << 20
	DefaultMaxRequestBytes   = 8 << 20
	DefaultClaimSlotTimeout  = 250 * time.Millisecond
	DefaultResumeWindow      = 5 * time.Second
	DefaultMaxRunTime        = 10 * time.Minute
	DefaultKeepaliveInterval = 5 * time.Second
	DefaultProgressInterval  = 500 * time.Millisecond
)

// withDefaults returns l with its zero fields set.
func (l Limits) withDefaults() Limits {
	setDuration(&l.ReadTimeout, DefaultReadTimeout)
	setDuration(&l.IdleTimeout, DefaultIdleTimeout)
	setDuration(&l.WriteTimeout, DefaultWriteTimeout)
	setDuration(&l.ClaimSlotTimeout, DefaultClaimSlotTimeout)
	setDuration(&l.ResumeWindow, DefaultResumeWindow)
	setDuration(&l.MaxRunTime, DefaultMaxRunTime)
	setDuration(&l.KeepaliveInterval, DefaultKeepaliveInterval)
	setDuration(&l.ProgressInterval, DefaultProgressInterval)
	if l.MaxConnections <= 0 {
		l.MaxConnections = DefaultMaxConnections
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.MaxRequestBytes <= 0 {
		l.MaxRequestBytes = DefaultMaxRequestBytes
	}
	return l
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

// Deps are the dependencies of an Entry.
type Deps struct {
	// Config holds the current configuration snapshot.
	Config   *workspace.CurrentSnapshot
	Broker   broker.Broker
	Ledger   claim.Ledger
	Engines  engine.Dialer
	Services service.Dialer
	Metrics  *metrics.Registry
	// Region is the region whose pools this entry uses.
	Region string
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	deps    Deps
	limits  Limits
	app     *fiber.App
	account *callermem.Account
	// longReply is held while a service's reply of unknown length is read that is long.
	longReply chan struct{}
	counters  *counters
	log       *logrus.Entry
	draining  drainFlag
}

// requestOverhead is the memory of a waiting request, in bytes, in addition to its
// body: stacks, buffers and garbage collector overhead (see BenchmarkEntryMemory).
const requestOverhead = 32 << 10

// maxHeaderBytes bounds a request's header. It is also the size of each active
// connection's read buffer.
const maxHeaderBytes = 4 << 10

// connectionMargin keeps the HTTP server's own connection limit above MaxConnections.
const connectionMargin = 1024

// New returns an entry that does not listen yet.
func New(d Deps, l Limits) *Entry {
	e := &Entry{deps: d, longReply: make(chan struct{}, 1), limits: l.withDefaults(), log: logs.For("entry")}
	e.counters = newCounters(d.Metrics)
	e.account = callermem.New(callermem.Limits{
		Bytes: e.limits.BodyBytes, Connections: e.limits.MaxConnections, RequestBytes: requestOverhead,
	}, callermem.Events{})
	e.counters.registerGauges(d.Metrics, e)
	e.app = fiber.New(fiber.Config{
		AppName: "lycheekeel",
		// The entry reads the body itself, after it has checked the caller's key, and
		// within the memory budget.
		StreamRequestBody: true,
		BodyLimit:         e.limits.MaxRequestBytes,
		ReadBufferSize:    maxHeaderBytes,
		ReadTimeout:       e.limits.ReadTimeout,
		IdleTimeout:       e.limits.IdleTimeout,
		Concurrency:       e.limits.MaxConnections + connectionMargin,
		ReduceMemoryUsage: true,
		ErrorHandler:      e.httpError,
	})
	e.app.Server().DisablePreParseMultipartForm = true
	e.app.Server().CloseOnShutdown = true
	e.app.Server().ConnState = callermem.StateChanged
	e.routes()
	return e
}

// Serve serves callers on ln until Shutdown, and then returns nil.
func (e *Entry) Serve(ln net.Listener) error {
	refuser := &connRefuser{entry: e}
	err := e.app.Listener(callermem.Listener{Listener: ln, Account: e.account, Refuse: refuser.refuse}, fiber.ListenConfig{DisableStartupMessage: true})
	return errors.Wrap(err, "serve callers")
}

// Drain sets "Connection: close" on all further responses, so that callers reconnect
// to other entries while this one still serves.
func (e *Entry) Drain() { e.draining.set() }

// Shutdown closes the listener and waits until every request is answered. It returns
// ctx's error if ctx ends first.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.Drain()
	return errors.Wrap(e.app.ShutdownWithContext(ctx), "shut down entry")
}
