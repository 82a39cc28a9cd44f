package forward

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// exchange is one caller's request from its first byte to the last of its
// answer. One goroutine at a time works on it.
type exchange struct {
	server   *Server
	http     *fasthttp.RequestCtx
	conn     net.Conn
	received time.Time
	callerID string // the caller's name for this attempt
	key      string

	table     *route.Table
	route     *route.Route
	workspace *route.Workspace // nil: a public route
	service   string
	cost      float64 // of the quota, taken

	spec     *request.Spec
	demand   broker.Demand
	attempts request.Attempts
	hedges   int   // begun
	denied   error // the refusal met just before a send; nil: none
	canary   canary
	out      *outbound
	failure  *failure // of an earlier server

	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc // of the deadline
	watch  *callerwatch.Watch
	// unstick stops what bounds the last write.
	unstick func() bool
	stream  *stream // nil: no stream is being passed on
	status  int
	trail   trail
	running running
	done    bool
}

func (s *Server) newExchange(ctx *fasthttp.RequestCtx) *exchange {
	return &exchange{
		server: s, http: ctx, conn: ctx.Conn(), received: time.Now(),
		callerID: string(ctx.Request.Header.Peek(s.wire.RequestID)),
	}
}

// serve answers the request, or returns the refusal to answer it with.
func (x *exchange) serve() error {
	if err := x.admit(); err != nil {
		return err
	}
	x.classify()
	if err := x.takeQuota(); err != nil {
		return err
	}
	x.out = x.server.newOutbound(x.http, x.workspaceName())
	x.out.deadline = x.received.Add(x.spec.Targets.Deadline)
	x.server.deps.Budget(x.service).RecordRequest()
	x.open()
	err := x.forward()
	if err != nil && x.passFailure() {
		return nil
	}
	return err
}

// forward sends the request until a server's answer is passed on.
func (x *exchange) forward() error {
	for {
		r, g, err := x.send()
		if err != nil {
			return err
		}
		ok, err := x.answer(r, g)
		if ok || err != nil {
			return err
		}
	}
}

// admit finds the route and checks the key.
func (x *exchange) admit() error {
	s := x.server
	x.table = s.deps.Routes.Load()
	if x.table == nil {
		return request.Refuse(request.ReasonNoConfiguration, "no configuration is in force yet").WithRetryAfter(retrySoon)
	}
	if len(x.http.Request.Body()) > x.table.Limits.MaxBodyBytes && x.table.Limits.MaxBodyBytes > 0 {
		return request.Refuse(request.ReasonBodyTooLarge, "body of %d bytes", len(x.http.Request.Body()))
	}
	path, _, _ := strings.Cut(string(x.http.Request.Header.RequestURI()), "?")
	x.route = x.table.Lookup(string(x.http.Host()), path)
	if x.route == nil {
		return x.unlessStale(request.Refuse(request.ReasonUnknownPath, "no route"))
	}
	return x.authorize()
}

// authorize finds the workspace of the key. A key counts only while the
// configuration is known to be in force: it may have been withdrawn.
func (x *exchange) authorize() error {
	if x.route.Public || !x.table.NeedsKeys() {
		return nil
	}
	key, _ := bearer(&x.http.Request.Header)
	x.key = key
	x.workspace = x.table.ByKey(key)
	if x.workspace == nil {
		return x.unlessStale(request.Refuse(request.ReasonUnauthorized, "unknown key"))
	}
	if !x.server.deps.Admission.Fresh() {
		return staleRefusal()
	}
	return nil
}

// unlessStale replaces a refusal that may be wrong because the configuration
// is out of date: it says that the request may never be served.
func (x *exchange) unlessStale(r *request.Refusal) error {
	if x.server.deps.Admission.Fresh() {
		return r
	}
	return staleRefusal()
}

func staleRefusal() *request.Refusal {
	return request.Refuse(request.ReasonStoreUnavailable, "the configuration in force is not known").WithRetryAfter(retryStale)
}

// classify makes the request's specification and its demand for a slot.
func (x *exchange) classify() {
	s, h := x.server, &x.http.Request.Header
	x.service = x.route.Pick(rand.Float64())
	deadline := x.route.Timeout
	if d, ok := milliseconds(h.Peek(s.wire.Deadline)); ok {
		deadline = min(deadline, d)
	}
	x.spec = &request.Spec{
		ID:        request.ID(s.deps.Self + "-" + strconv.FormatUint(s.sequence.Add(1), 36)),
		Workspace: x.workspaceName(), Template: x.route.Name, Tier: x.table.Tier(x.workspace, x.route),
		Targets:    request.Targets{FirstToken: x.route.LatencyTarget, Deadline: deadline},
		Idempotent: x.route.Repeatable(), Received: x.received,
	}
	if prompt, most, ok := s.wire.ParseTokens(h.Peek(s.wire.Tokens)); ok {
		x.spec.Model = x.service
		x.spec.PromptTokens, x.spec.MaxTokens = prompt, most
		x.spec.ExpectedTokens = lengthHint(h.Peek(s.wire.LengthHint))
		x.cost = float64(prompt + most)
	} else {
		x.spec.Service = x.service
	}
	x.attempts = request.Attempts{Repeatable: x.route.Repeatable(), Max: x.route.MaxAttempts}
	x.demand = broker.Demand{Spec: x.spec}
}

// takeQuota uses the workspace's quota.
func (x *exchange) takeQuota() error {
	if x.workspace == nil || x.workspace.Quota.PerSecond <= 0 {
		x.cost = 0
		return nil
	}
	x.cost = x.workspace.Quota.Cost(int(x.cost))
	ok, wait := x.server.deps.Quotas.Take(x.workspace, x.spec.Tier, x.cost)
	if ok {
		return nil
	}
	x.cost = 0
	return request.Refuse(request.ReasonWorkspaceLimit, "quota used up").WithRetryAfter(wait)
}

// open begins to watch for the caller's leaving and for the deadline.
func (x *exchange) open() {
	base, cancel := context.WithCancelCause(context.Background())
	x.cancel = cancel
	x.ctx, x.stop = context.WithDeadline(base, x.received.Add(x.spec.Targets.Deadline))
	x.watch = callerwatch.Start(x.conn, cancel)
	x.running.start(x)
	x.unstick = context.AfterFunc(x.ctx, func() { _ = x.conn.SetWriteDeadline(time.Now().Add(lastWrite)) })
}

// lastWrite is how long an answer may still be written when the request's time
// is up.
//
// What goes wrong without it: a caller that went silent takes no more bytes;
// the write of its stream waits for ever, and with it the connection to the
// server, whose run goes on for nobody. One would notice runs past their
// deadlines.
const lastWrite = time.Second

// pools returns the candidates now: those of the stable version or, where one is named,
// of a new one.
func (x *exchange) pools(version string) []*workspace.ResolvedPool {
	snapshot := x.server.deps.Pools.Load()
	if snapshot == nil {
		return nil
	}
	return snapshot.ModelPools[workspace.ModelRegion{Model: x.service, Version: version, Region: x.server.deps.Region}]
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// end frees what the exchange holds; the answer has been written or given up.
func (x *exchange) end() {
	if x.done {
		return
	}
	x.done = true
	x.running.end()
	if x.watch != nil {
		x.watch.Stop()
		x.unstick()
		x.stop()
		x.cancel(nil)
	}
	if x.cost > 0 && x.attempts.NotRun() == request.NotRunTrue {
		x.server.deps.Quotas.Return(x.workspace, x.cost)
	}
	x.server.running.Add(-1)
}

// gone tells whether the caller has left.
func (x *exchange) gone() bool { return errors.Is(context.Cause(x.ctx), callerwatch.ErrGone) }
