package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
	"github.com/lycheekeel/lycheekeel/request"
)

// errorBody is a refusal in OpenAI's error format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	NotRun  any    `json:"not_run"`
}

// Error types of the OpenAI API.
const (
	typeInvalidRequest = "invalid_request_error"
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeNotFound       = "not_found_error"
	typeConflict       = "conflict_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

// defaultRetryAfter is the Retry-After of reasons for which a retry can help, unless the
// refusal itself has a value.
var defaultRetryAfter = map[request.Reason]time.Duration{
	request.ReasonShed:               2 * time.Second,
	request.ReasonWorkspaceLimit:     2 * time.Second,
	request.ReasonEntryMemory:        2 * time.Second,
	request.ReasonTooManyConnections: 2 * time.Second,
	request.ReasonExpired:            2 * time.Second,
	request.ReasonNoServer:           3 * time.Second,
	request.ReasonNoOwner:            3 * time.Second,
	request.ReasonNoConfiguration:    3 * time.Second,
	request.ReasonSuspectBusy:        3 * time.Second,
	request.ReasonClaimInProgress:    3 * time.Second,
	request.ReasonStoreUnavailable:   5 * time.Second,
	request.ReasonEngineRefused:      time.Second,
	request.ReasonEngineUnreachable:  2 * time.Second,
	request.ReasonShuttingDown:       time.Second,
}

// errorType returns the error type for a reason's HTTP status.
func errorType(r request.Reason) string {
	switch r.Status() {
	case fasthttp.StatusUnauthorized:
		return typeAuthentication
	case fasthttp.StatusForbidden:
		return typePermission
	case fasthttp.StatusNotFound:
		return typeNotFound
	case fasthttp.StatusConflict:
		return typeConflict
	case fasthttp.StatusTooManyRequests:
		return typeRateLimit
	}
	if r.Status() < fasthttp.StatusInternalServerError {
		return typeInvalidRequest
	}
	return typeServer
}

// asRefusal returns err as a refusal. For an error of any other type it is unknown
// whether the request ran.
func asRefusal(err error) *request.Refusal {
	var r *request.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &request.Refusal{Reason: request.ReasonInternal, NotRun: request.RanUnknown, Message: "internal error"}
}

// refusalJSON returns the body of a refusal.
func refusalJSON(r *request.Refusal) []byte {
	b, err := json.Marshal(errorBody{errorDetail{
		Message: r.Message,
		Type:    errorType(r.Reason),
		Code:    string(r.Reason),
		NotRun:  r.NotRun.JSON(),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"internal","not_run":"unknown"}}`)
	}
	return b
}

// retrySeconds returns the value of Retry-After, or zero for none. Jitter keeps callers
// that were refused together from retrying together.
func retrySeconds(r *request.Refusal) int {
	d := r.RetryAfter
	if d <= 0 {
		d = defaultRetryAfter[r.Reason]
	}
	if d <= 0 {
		return 0
	}
	jittered := d + time.Duration(rand.Int64N(int64(d/2)+1))
	return int((jittered + time.Second - 1) / time.Second)
}

// writeRefusal counts a refusal and writes it as the response.
func (e *Entry) writeRefusal(ctx *fasthttp.RequestCtx, id request.ID, r *request.Refusal) {
	e.counters.countRefusal(r.Reason)
	ctx.Response.ResetBody()
	ctx.Response.Header.SetContentType(contentJSON)
	ctx.Response.SetStatusCode(r.Reason.Status())
	if s := retrySeconds(r); s > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(s))
	}
	e.finishHeader(ctx, id)
	ctx.Response.SetBody(refusalJSON(r))
}

// finishHeader sets the headers common to all responses and the write deadline.
func (e *Entry) finishHeader(ctx *fasthttp.RequestCtx, id request.ID) {
	ctx.Response.Header.Set(headerRequestID, string(id))
	if e.draining.isSet() {
		ctx.Response.SetConnectionClose()
	}
	_ = ctx.Conn().SetWriteDeadline(time.Now().Add(e.limits.WriteTimeout))
}

// httpError handles errors before a handler runs, such as malformed HTTP or unknown paths.
func (e *Entry) httpError(c fiber.Ctx, err error) error {
	e.writeRefusal(c.RequestCtx(), request.NewID(), httpRefusal(err))
	return nil
}

// httpRefusal maps an error of the HTTP server to a refusal. Such a request was never
// queued.
func httpRefusal(err error) *request.Refusal {
	var f *fiber.Error
	if !errors.As(err, &f) {
		return request.Refuse(request.ReasonBadRequest, "malformed request")
	}
	switch f.Code {
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed, fiber.StatusNotImplemented:
		return request.Refuse(request.ReasonUnknownPath, "no such path or method; see /v1/models")
	case fiber.StatusRequestEntityTooLarge:
		return request.Refuse(request.ReasonBodyTooLarge, "the body is too large")
	case fiber.StatusRequestTimeout:
		return request.Refuse(request.ReasonReadTimeout, "the request was not read in time; send it faster")
	default:
		return request.Refuse(request.ReasonBadRequest, "malformed request: %s", f.Message)
	}
}

// contextRefusal returns the refusal of a request whose ctx ended before it ran.
func contextRefusal(ctx context.Context) *request.Refusal {
	err := context.Cause(ctx)
	var r *request.Refusal
	switch {
	case errors.As(err, &r):
		return r
	case errors.Is(err, callerwatch.ErrDisconnected):
		return request.Refuse(request.ReasonCallerGone, "the caller left")
	case errors.Is(err, context.DeadlineExceeded):
		return request.Refuse(request.ReasonExpired, "the deadline passed before the request was dispatched")
	default:
		return request.Refuse(request.ReasonShuttingDown, "the entry is shutting down")
	}
}
