package forward

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// defaultRetryAfter is for refusals after which a retry is likely to find a free slot.
	defaultRetryAfter = 300 * time.Millisecond
	// staleRetryAfter is for refusals while this daemon does not know whether its
	// configuration is still active. Another daemon may know.
	staleRetryAfter = 200 * time.Millisecond
)

// refuse answers the caller with a refusal. A status that promises "not run" is used only
// if that is certain.
func (x *exchange) refuse(err error) {
	var r *request.Refusal
	if !errors.As(err, &r) {
		r = x.newRefusal(request.ReasonInternal, "%v", err)
	}
	x.server.counters.countRefusal(r.Reason)
	x.status = statusOf(r)
	x.logRefusal(r)
	if r.Reason == request.ReasonCallerGone {
		x.httpCtx.SetConnectionClose()
	}
	x.httpCtx.Response.Reset()
	x.httpCtx.Response.SetStatusCode(x.status)
	if x.callerRequestID != "" {
		x.httpCtx.Response.Header.Set(x.server.wire.RequestID, x.callerRequestID)
	}
	if r.RetryAfter > 0 && r.NotRun == request.NotRunTrue {
		x.httpCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatRetryAfter(r.RetryAfter))
	}
	x.httpCtx.Response.Header.SetContentType("text/plain; charset=utf-8")
	x.httpCtx.Response.SetBodyString(string(r.Reason) + "\n")
	if x.server.draining.Load() {
		x.httpCtx.SetConnectionClose()
	}
}

// statusOf returns the status of a refusal. 400, 401, 404, 408, 413, 429 and 503 promise that
// the request did not run; 502 and 504 promise nothing.
func statusOf(r *request.Refusal) int {
	if r.NotRun != request.NotRunTrue {
		if r.Reason == request.ReasonExpired {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusBadGateway
	}
	switch status := r.Reason.Status(); status {
	case fasthttp.StatusBadRequest, fasthttp.StatusUnauthorized, fasthttp.StatusNotFound,
		fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
		return status
	default:
		return fasthttp.StatusServiceUnavailable
	}
}
