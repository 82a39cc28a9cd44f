package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/claim"
	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
	"github.com/lycheekeel/lycheekeel/internal/logs"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// exchange is one caller's request and its answer. It is used by one goroutine at a
// time.
type exchange struct {
	entry       *Entry
	id          request.ID
	received    time.Time
	header      callerHeader
	snapshot    *workspace.Snapshot
	workspace   *workspace.ResolvedWorkspace
	spec        *request.Spec
	lifecycle   request.Lifecycle
	conn        *callermem.Conn // of the caller; nil: the account does not know it
	body        *callermem.Reservation
	answer      *callermem.Reservation // nil: nothing is reserved
	answerKept  bool                   // until the answer is written
	heldClaim   claim.Claim            // nil: none
	contentHash claim.Hash
	demand      broker.Demand
	log         *logrus.Entry

	// ctx ends when the caller disconnects or the request is evicted.
	ctx         context.Context
	cancel      context.CancelCauseFunc
	callerWatch *callerwatch.Watch
	// runTimer enforces MaxRunTime; it starts at the dispatch.
	runTimer *time.Timer
}

// errRunTooLong is the cancellation cause of a request that exceeded MaxRunTime.
var errRunTooLong = errors.New("run exceeded its time limit")

// begin creates the exchange of a request whose header has been read. It takes the
// configuration snapshot and looks up the workspace.
func (e *Entry) begin(ctx *fasthttp.RequestCtx) (*exchange, error) {
	e.counters.received.Add(1)
	x := &exchange{entry: e, id: request.NewID(), received: time.Now(), header: readHeader(ctx)}
	x.log = logs.WithRequest(e.log, string(x.id))
	if ctx.RequestBodyStream() == nil {
		bodyRead(ctx)
	}
	x.snapshot = e.deps.Config.Load()
	if x.snapshot == nil {
		return x, request.Refuse(request.ReasonNoConfiguration, "no configuration is in force yet")
	}
	ws, ok := x.snapshot.ByKey(x.header.bearer)
	if !ok {
		return x, request.Refuse(request.ReasonUnauthorized, "unknown key; send Authorization: Bearer KEY")
	}
	x.workspace = ws
	x.ctx, x.cancel = context.WithCancelCause(context.Background())
	return x, nil
}

// readBody reads the body within the memory budget. Until the body is parsed, the
// request counts in the tier of its header, else in the template's default tier.
func (x *exchange) readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	tier, err := x.header.pickTier(x.workspace, x.workspace.DefaultTier)
	if err != nil {
		return nil, err
	}
	conn := ctx.Conn()
	x.conn = callerConn(ctx)
	x.body = x.entry.account.Reserve(x.conn, x.workspace.Workspace, tier.Tier, func() {
		x.cancel(memoryRefusal())
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // interrupts a read in progress
	})
	limit := min(x.workspace.MaxBodyBytes, x.entry.limits.MaxRequestBytes)
	if x.workspace.MaxBodyBytes <= 0 {
		limit = x.entry.limits.MaxRequestBytes
	}
	body, err := readBody(ctx, limit, x.body)
	if err != nil {
		return nil, err
	}
	bodyRead(ctx)
	return body, nil
}

// classify fills the parts of the spec that all kinds of calls have in common.
func (x *exchange) classify(tier *workspace.ResolvedTier, idempotent bool) error {
	t, err := x.header.pickTier(x.workspace, tier)
	if err != nil {
		return err
	}
	targets, err := x.header.targets(x.workspace, t)
	if err != nil {
		return err
	}
	if err := x.header.checkIdempotencyKey(idempotent); err != nil {
		return err
	}
	x.spec = &request.Spec{
		ID:             x.id,
		Workspace:      x.workspace.Workspace,
		Template:       x.workspace.Template,
		Tier:           t.Tier,
		Targets:        targets,
		Idempotent:     idempotent,
		IdempotencyKey: x.header.idempotencyKey,
		Received:       x.received,
	}
	x.body.SetTier(t.Tier)
	x.demand = broker.Demand{Spec: x.spec, MaxWaiting: t.MaxWaiting}
	return nil
}

// watchCaller starts to watch for the caller's disconnect.
func (x *exchange) watchCaller(ctx *fasthttp.RequestCtx) {
	x.callerWatch = callerwatch.Start(ctx.Conn(), x.cancel)
}

// end releases the exchange's resources after its answer was written or abandoned.
func (x *exchange) end() {
	x.lifecycle.End()
	if x.runTimer != nil {
		x.runTimer.Stop()
	}
	if x.callerWatch != nil {
		x.callerWatch.Stop()
		x.callerWatch = nil
	}
	if x.body != nil {
		x.body.Release()
	}
	if x.answer != nil && !x.answerKept {
		x.answer.Release()
	}
	if x.cancel != nil {
		x.cancel(nil)
	}
}

// deadline returns the time at which the request expires, and false if it has none.
func (x *exchange) deadline() (time.Time, bool) {
	if x.spec.Targets.Deadline <= 0 {
		return time.Time{}, false
	}
	return x.received.Add(x.spec.Targets.Deadline), true
}

// waitContext returns a context that ends at the request's deadline or with x.ctx.
func (x *exchange) waitContext() (context.Context, context.CancelFunc) {
	if at, ok := x.deadline(); ok {
		return context.WithDeadline(x.ctx, at)
	}
	return context.WithCancel(x.ctx)
}
