// Package entry is the HTTP front for callers. It holds each request from its
// first byte to its last and is the only place that ever dispatches it.
//
// A request takes one configuration snapshot, is classified into a
// request.Spec, waits at the broker for a slot, takes its one dispatch right
// when the connection to the backend server is up, and its answer is streamed
// through. Everything that can end it otherwise is a typed refusal.
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
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/internal/metrics"
	"github.com/lycheekeel/lycheekeel/service"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Limits bound what callers can make an entry hold. A zero field takes its
// default.
type Limits struct {
	// ReadTimeout bounds reading one request, header and body.
	ReadTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between requests.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller that does not read.
	WriteTimeout time.Duration
	// MaxConnections bounds the open connections.
	MaxConnections int
	// BodyBytes bounds what all waiting requests hold together: their bodies,
	// and what each holds beside its body.
	BodyBytes int64
	// MaxRequestBytes bounds one body, whatever a template says.
	MaxRequestBytes int
	// ClaimSlotTimeout is how long a granted slot is kept while the claim store
	// does not answer.
	ClaimSlotTimeout time.Duration
	// ResumeWindow is how long a broken stream may stay without a new chunk.
	ResumeWindow time.Duration
	// MaxRunTime bounds a dispatched request, whatever its deadline.
	MaxRunTime time.Duration
	// KeepaliveInterval is how often a silent stream gets a comment.
	KeepaliveInterval time.Duration
	// ProgressInterval is how often a running request's progress is reported.
	ProgressInterval time.Duration
}

// The defaults of Limits.
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

// Deps are the parts that an entry works with.
type Deps struct {
	// Config holds the snapshot in force.
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
	deps     Deps
	limits   Limits
	app      *fiber.App
	bodies   *bodyBudget
	counters *counters
	log      *logrus.Entry
	draining drainFlag
}

// maxHeaderBytes bounds a request's header; it is also the size of the read
// buffer that each active connection has.
const maxHeaderBytes = 4 << 10

// connectionMargin keeps the HTTP server's own bound out of reach.
const connectionMargin = 1024

// New returns an entry that does not listen yet.
func New(d Deps, l Limits) *Entry {
	e := &Entry{deps: d, limits: l.withDefaults(), log: logs.For("entry")}
	e.counters = newCounters(d.Metrics)
	e.bodies = newBodyBudget(e.limits.BodyBytes, requestOverhead)
	e.counters.registerGauges(d.Metrics, e)
	e.app = fiber.New(fiber.Config{
		AppName: "lycheekeel",
		// The body is read by the entry itself: after the caller's key was
		// checked, and against the memory budget.
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
	e.routes()
	return e
}

// Serve serves callers on ln until Shutdown. It returns nil after one.
func (e *Entry) Serve(ln net.Listener) error {
	err := e.app.Listener(&boundedListener{Listener: ln, entry: e}, fiber.ListenConfig{DisableStartupMessage: true})
	return errors.Wrap(err, "serve callers")
}

// Drain makes every further answer ask its caller to connect anew, so that
// kept-alive connections move to other entries while this one still serves.
func (e *Entry) Drain() { e.draining.set() }

// Shutdown closes the listener, waits until every request has its whole
// answer, and returns ctx's error where that takes longer than ctx allows.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.Drain()
	return errors.Wrap(e.app.ShutdownWithContext(ctx), "shut down entry")
}
