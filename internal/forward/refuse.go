package forward

import (
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/request"
)

const (
	// retrySoon is told where the next try is likely to find room.
	retrySoon = 300 * time.Millisecond
	// retryStale is told while the configuration is not known to be in force:
	// another daemon may know it.
	retryStale = 200 * time.Millisecond
)

// refuse answers with the refusal. A status that promises "not run" is used
// only where that is certain.
func (x *exchange) refuse(err error) {
	var r *request.Refusal
	if !errors.As(err, &r) {
		r = x.outcome(request.ReasonInternal, "%v", err)
	}
	x.server.count.refused(r.Reason)
	x.status = statusOf(r)
	x.logRefusal(r)
	if r.Reason == request.ReasonCallerGone {
		x.http.SetConnectionClose()
	}
	x.http.Response.Reset()
	x.http.Response.SetStatusCode(x.status)
	if x.callerID != "" {
		x.http.Response.Header.Set(x.server.wire.RequestID, x.callerID)
	}
	if r.RetryAfter > 0 && r.NotRun == request.NotRunTrue {
		x.http.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter(r.RetryAfter))
	}
	x.http.Response.Header.SetContentType("text/plain; charset=utf-8")
	x.http.Response.SetBodyString(string(r.Reason) + "\n")
	if x.server.draining.Load() {
		x.http.SetConnectionClose()
	}
}

// statusOf returns the status of a refusal: 503, 429, 401, 404, 413 say that
// the request did not run; 502 and 504 say nothing of it.
func statusOf(r *request.Refusal) int {
	if r.NotRun != request.NotRunTrue {
		if r.Reason == request.ReasonExpired {
			return fasthttp.StatusGatewayTimeout
		}
		return fasthttp.StatusBadGateway
	}
	switch status := r.Reason.Status(); status {
	case fasthttp.StatusBadRequest, fasthttp.StatusUnauthorized, fasthttp.StatusNotFound,
		fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusTooManyRequests:
		return status
	default:
		return fasthttp.StatusServiceUnavailable
	}
}
