package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/internal/callermem"
	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/route"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// exchange is one caller's request, from its first byte to the last byte of its answer. It
// is used by one goroutine at a time.
type exchange struct {
	server          *Server
	httpCtx         *fasthttp.RequestCtx
	conn            net.Conn
	receivedAt      time.Time // when the whole request had been read
	callerRequestID string    // the request id that the caller chose; unique per attempt of the caller
	takeUp          takeUp
	key             string

	table     *route.Table
	route     *route.Route
	workspace *route.Workspace // nil for a public route
	service   string
	quotaCost float64 // taken from the quota; 0: nothing

	spec          *request.Spec
	demand        broker.Demand
	attempts      request.Attempts
	lastGrant     broker.Grant // of the last attempt; nil: none was made
	hedgesStarted int
	// retryReserved is set while a retry is reserved, since retryReservedAt.
	retryReserved   bool
	retryReservedAt time.Time
	preSendRefusal  error // from the check directly before the last send; nil if it passed
	// resuming is set while a stream that broke off after its first event waits for another
	// server's next one.
	resuming bool
	canary   canaryState
	binding  versionBinding
	// versionRecorded is set once the version that began the stream was recorded.
	versionRecorded bool
	outbound        *outboundRequest
	body            body
	memory          *callermem.Reservation // nil: nothing was reserved yet
	unreadBytes     int64                  // the connection's receive buffer, as set for the body; 0: not set
	answerBytes     int                    // of an answer that is written when the exchange has ended
	earlierFailure  *failedAnswer          // of an earlier server; nil if there is none

	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopDeadline context.CancelFunc // releases the deadline's timer
	watch        *callerwatch.Watch
	// stopWriteTimeout cancels the write deadline that is set when the request's time is up,
	// or waits until it is set.
	stopWriteTimeout func()
	stream           *stream // nil unless a stream is being passed on
	status           int
	history          requestHistory
	runningLog       runningLog
	waits            waits
	ended            bool
}

func (s *Server) newExchange(ctx *fasthttp.RequestCtx) *exchange {
	h := &ctx.Request.Header
	x := &exchange{
		server: s, httpCtx: ctx, conn: ctx.Conn(), receivedAt: time.Now(),
		callerRequestID: string(h.Peek(s.wire.RequestID)),
		takeUp:          takeUp{lastEvent: string(h.Peek(s.wire.LastEvent)), resumes: string(h.Peek(s.wire.Resumes))},
	}
	if ctx.RequestBodyStream() == nil {
		x.endBodyRead()
	}
	return x
}

// serve answers the request, or returns the refusal to answer it with.
func (x *exchange) serve() error {
	if err := x.receive(); err != nil {
		return err
	}
	x.buildDemand()
	if x.mayOutlastServer() {
		return request.Refuse(request.ReasonShuttingDown, "may last longer than the shutdown").WithRetryAfter(defaultRetryAfter)
	}
	if err := x.takeQuota(); err != nil {
		return err
	}
	x.outbound = x.server.newOutboundRequest(x.httpCtx, x.workspaceName(), x.table.NeedsKeys(), x.takeUp.lastEvent)
	x.outbound.body = x.body
	x.outbound.deadline = x.receivedAt.Add(x.spec.Targets.Deadline)
	if x.takeUp.lastEvent != "" {
		x.server.counters.streamsTakenUp.Add(1)
	}
	x.server.deps.Budget(x.service).RecordRequest(x.receivedAt)
	x.watchCaller()
	if !x.memory.SetOnEvict(func() { x.cancel(errNoMemory) }) {
		return x.memoryRefusal()
	}
	if err := x.bindTakenUp(); err != nil {
		return err
	}
	err := x.forward()
	if err != nil && x.canWriteEarlierFailure() {
		x.logRetry().WithError(err).Info("Retry given up.")
		x.writeAnswer(&x.earlierFailure.header, x.earlierFailure.body)
		return nil
	}
	return err
}

// receive admits the request and reads its body. A configuration that came into force
// meanwhile decides again.
func (x *exchange) receive() error {
	if err := x.admit(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.receivedAt = time.Now()
	if x.server.deps.Routes.Load() == x.table {
		return nil
	}
	if err := x.admit(); err != nil {
		return err
	}
	if x.body.size > maxBody(x.table.Limits) {
		return request.Refuse(request.ReasonBodyTooLarge, "body of %d bytes", x.body.size)
	}
	return nil
}

// errNoMemory is the cancellation cause of a request that another one has evicted.
var errNoMemory = errors.New("no memory left for the request")

// forward sends the request until a server's answer is passed on or no attempt is left.
func (x *exchange) forward() error {
	for {
		r, a, err := x.send()
		if err != nil {
			return err
		}
		ok, err := x.handleReply(r, a)
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
		return request.Refuse(request.ReasonNoConfiguration, "no configuration is in force yet").WithRetryAfter(defaultRetryAfter)
	}
	path, _, _ := strings.Cut(string(x.httpCtx.Request.Header.RequestURI()), "?")
	x.route = x.table.Lookup(string(x.httpCtx.Host()), path)
	if x.route == nil {
		return x.orStaleRefusal(request.Refuse(request.ReasonUnknownPath, "no route"))
	}
	return x.authorize()
}

// authorize finds the workspace of the key. A key is accepted only while the configuration
// is known to be active, because it may have been withdrawn.
func (x *exchange) authorize() error {
	if x.route.Public || !x.table.NeedsKeys() {
		return nil
	}
	key, _ := bearerKey(&x.httpCtx.Request.Header)
	x.key = key
	x.workspace = x.table.ByKey(key)
	if x.workspace == nil {
		return x.orStaleRefusal(request.Refuse(request.ReasonUnauthorized, "unknown key"))
	}
	if !x.server.deps.Admission.Fresh() {
		return staleRefusal()
	}
	return nil
}

// orStaleRefusal returns r, or a retryable refusal if the configuration is stale. r is
// final, and with an outdated configuration it may be wrong.
func (x *exchange) orStaleRefusal(r *request.Refusal) error {
	if x.server.deps.Admission.Fresh() {
		return r
	}
	return staleRefusal()
}

func staleRefusal() *request.Refusal {
	return request.Refuse(request.ReasonStoreUnavailable, "the configuration in force is not known").WithRetryAfter(staleRetryAfter)
}

// buildDemand builds the request's specification and its demand for a slot.
func (x *exchange) buildDemand() {
	s, h := x.server, &x.httpCtx.Request.Header
	x.service = x.pickService()
	deadline := x.route.Timeout
	if d, ok := parseMilliseconds(h.Peek(s.wire.Deadline)); ok {
		deadline = min(deadline, d)
	}
	x.spec = &request.Spec{
		ID:        request.ID(s.deps.RequestIDPrefix + "-" + strconv.FormatUint(s.requestSequence.Add(1), 36)),
		Workspace: x.workspaceName(), Template: x.route.Name, Tier: x.table.Tier(x.workspace, x.route),
		Targets:    request.Targets{FirstToken: x.route.LatencyTarget, Deadline: deadline},
		Idempotent: x.route.Repeatable(), Received: x.receivedAt,
	}
	if promptTokens, maxTokens, ok := s.wire.ParseTokens(h.Peek(s.wire.Tokens)); ok {
		x.spec.Model = x.service
		x.spec.PromptTokens, x.spec.MaxTokens = promptTokens, maxTokens
		x.spec.ExpectedTokens = parseLengthHint(h.Peek(s.wire.LengthHint))
		x.quotaCost = float64(promptTokens + maxTokens)
	} else {
		x.spec.Service = x.service
	}
	x.spec.Fingerprint = x.fingerprint()
	x.spec.Parts = partFingerprints(x.service, s.wire.ParseParts(h.Peek(s.wire.Parts)))
	x.attempts = request.Attempts{Repeatable: x.route.Repeatable(), Max: x.route.MaxAttempts}
	x.demand = broker.Demand{Spec: x.spec}
}

// pickService picks one of the route's services by weight. The id of the caller's request
// decides, so that the rest of a stream goes to the service that began it.
func (x *exchange) pickService() string {
	id := cmp.Or(x.takeUp.resumes, x.callerRequestID)
	if id == "" {
		return x.route.Pick(rand.Float64())
	}
	const bits = 53 // of a float's fraction
	return x.route.Pick(float64(xxhash.Sum64String(x.workspaceName()+" "+id)>>(64-bits)) / (1 << bits))
}

// fingerprint returns the fingerprint of what a server would run: the same for each send and
// for each request of the workspace with this method, target and body.
func (x *exchange) fingerprint() uint64 {
	r := &x.httpCtx.Request
	target := x.service + " " + string(r.Header.Method()) + " " + string(r.Header.RequestURI())
	return request.Fingerprint(x.workspaceName(), target, x.body.pieces...)
}

// maxParts bounds the parts of one prompt that are looked at.
const maxParts = 128

// partFingerprints returns the fingerprints of the different parts of a prompt.
func partFingerprints(model string, ids []uint64) []uint64 {
	var out []uint64
	for _, id := range ids[:min(maxParts, len(ids))] {
		if f := request.PartFingerprint(model, id); !slices.Contains(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// takeQuota takes the request's cost from the workspace's quota.
func (x *exchange) takeQuota() error {
	if x.workspace == nil || x.workspace.Quota.PerSecond <= 0 {
		x.quotaCost = 0
		return nil
	}
	x.quotaCost = x.workspace.Quota.Cost(int(x.quotaCost))
	ok, wait := x.server.deps.Quotas.Take(x.workspace, x.spec.Tier, x.quotaCost)
	if ok {
		return nil
	}
	x.quotaCost = 0
	return request.Refuse(request.ReasonWorkspaceLimit, "quota used up").WithRetryAfter(wait)
}

// watchCaller starts watching for the caller's disconnect and for the deadline.
func (x *exchange) watchCaller() {
	parent, cancel := context.WithCancelCause(httpconn.WithRequestID(context.Background(), x.callerRequestID))
	x.cancel = cancel
	x.ctx, x.stopDeadline = context.WithDeadline(parent, x.receivedAt.Add(x.spec.Targets.Deadline))
	x.watch = callerwatch.Start(x.conn, cancel)
	x.runningLog.start(x)
	x.stopWriteTimeout = x.startWriteTimeout()
	x.server.open.add(x)
}

// startWriteTimeout sets a write deadline when the request's context has ended. The
// returned function must be called before the connection serves another request: a deadline
// that is set later would cut that request's answer.
func (x *exchange) startWriteTimeout() (stop func()) {
	done := make(chan struct{})
	cancel := context.AfterFunc(x.ctx, func() {
		defer close(done)
		_ = x.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
	})
	return func() {
		if !cancel() {
			<-done
		}
	}
}

// finalWriteTimeout is how long an answer may still be written when the request's context
// has ended.
//
// Without it, a write to a caller that stopped reading blocks forever. It holds the
// connection to the server, whose run goes on for nobody. The symptom is runs past their
// deadlines.
const finalWriteTimeout = time.Second

// candidatePools returns the current candidate pools: those of the stable versions, or those
// of the given version on trial if it is not empty.
func (x *exchange) candidatePools(version string) []*workspace.ResolvedPool {
	snapshot := x.server.deps.Snapshot.Load()
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

// cleanUp releases what the exchange holds, after its answer was written or given up.
func (x *exchange) cleanUp() {
	if x.ended {
		return
	}
	x.ended = true
	x.releaseRetry()
	x.runningLog.stop()
	x.keepAnswer()
	if x.watch != nil {
		x.server.open.remove(x)
		x.watch.Stop()
		x.stopWriteTimeout()
		x.stopDeadline()
		x.cancel(nil)
	}
	if x.quotaCost > 0 && x.attempts.NotRun() == request.NotRunTrue {
		x.server.deps.Quotas.Return(x.workspace, x.quotaCost)
	}
	x.server.openRequests.Add(-1)
}

// callerDisconnected tells whether the caller has disconnected.
func (x *exchange) callerDisconnected() bool {
	return errors.Is(context.Cause(x.ctx), callerwatch.ErrDisconnected)
}
