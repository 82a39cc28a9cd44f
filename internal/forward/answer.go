package forward

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/route"
)

// handleReply passes a server's answer on to the caller. It returns false and no error if
// the request is to be sent again.
func (x *exchange) handleReply(r *reply, a *attempt) (bool, error) {
	status := r.header.StatusCode()
	if status/100 == 2 && len(r.header.Peek(x.server.wire.Signature)) == 0 {
		r.complete = false
		r.releaseConn()
		return false, x.retryOrRefuse(x.endLostAttempt(a, errors.Wrap(errMalformedAnswer, "signature header is missing")))
	}
	if x.route.Kind == route.Stream && status == fasthttp.StatusOK {
		return x.startStream(r, a)
	}
	content, err := x.readAnswer(r)
	r.releaseConn()
	if err != nil {
		return false, x.retryOrRefuse(x.endLostAttempt(a, err))
	}
	if status >= fasthttp.StatusInternalServerError {
		a.release(failureOutcome(status))
		if x.shouldRetry(status) {
			x.server.counters.retriedFailures.Add(1)
			x.recordSentTo(a)
			x.earlierFailure = &failedAnswer{body: content}
			r.header.CopyTo(&x.earlierFailure.header)
			return false, nil
		}
	} else {
		a.release(pool.OutcomeDone)
	}
	x.writeAnswer(&r.header, content)
	return true, nil
}

// failureOutcome returns the outcome of an attempt that failed with a 5xx status.
//
// A gateway timeout does not count as the server's failure. Otherwise a server that is slow
// under load, and so answers several in a row, would be taken out of use although it works.
func failureOutcome(status int) pool.Outcome {
	if status == fasthttp.StatusGatewayTimeout {
		return pool.OutcomeCanceled // the request's own deadline had passed
	}
	return pool.OutcomeFailed
}

// writeAnswer answers the caller with a complete answer of a server.
func (x *exchange) writeAnswer(head *fasthttp.ResponseHeader, content body) {
	x.copyHeaders(head)
	switch len(content.pieces) {
	case 0:
	case 1:
		x.httpCtx.Response.SetBodyRaw(content.pieces[0])
	default:
		x.httpCtx.Response.SetBodyStream(&content.pieces, content.size)
	}
	x.answerBytes = content.size
	x.history.firstEvent = time.Since(x.receivedAt)
	x.logAnswer(nil)
}

// failedAnswer is a server's complete answer with a 5xx status. The caller gets it if no
// other server gives a better one.
type failedAnswer struct {
	header fasthttp.ResponseHeader
	body   body
}

// canWriteEarlierFailure reports whether the request can be answered with the failure of an
// earlier server.
func (x *exchange) canWriteEarlierFailure() bool {
	return x.earlierFailure != nil && !x.callerDisconnected()
}

// shouldRetry decides whether a failed attempt is retried on another server.
func (x *exchange) shouldRetry(status int) bool {
	return status != fasthttp.StatusGatewayTimeout && x.attempts.CanSend() && x.ctx.Err() == nil && x.reserveRetry()
}

// copyHeaders copies the status and the end-to-end headers of the answer.
func (x *exchange) copyHeaders(head *fasthttp.ResponseHeader) {
	x.status = head.StatusCode()
	options := httpconn.ConnectionOptions(string(head.Peek(fasthttp.HeaderConnection)))
	x.httpCtx.Response.Header.SetStatusCode(x.status)
	for k, v := range head.All() {
		if !httpconn.HopByHop(string(k), options) {
			x.httpCtx.Response.Header.AddBytesKV(k, v)
		}
	}
}

// startStream waits for the first event, while the request may still be sent to another
// server, and then hands the stream to the HTTP server.
func (x *exchange) startStream(r *reply, a *attempt) (bool, error) {
	s := &stream{exchange: x, attempt: a, events: newEventReader(r, x.server.eventMemory, x.outbound.lastEvent)}
	batch, n, err := s.events.next()
	switch {
	case err == io.EOF:
		// A stream without events is a complete answer.
	case err != nil:
		s.discardReply()
		return false, x.retryOrRefuse(x.endLostAttempt(a, err))
	}
	s.pending = batch
	s.recordEvents(n)
	s.eof = err == io.EOF
	x.stream = s
	x.binding.bind(a.grant.Server().Version)
	x.copyHeaders(&r.header)
	x.httpCtx.Response.SetBodyStream(s, -1)
	return true, nil
}

// minProgressInterval is the base of the least time between two progress reports of a
// stream: twice the base after the first report, then doubling with each report up to 16
// times the base.
const minProgressInterval = 500 * time.Millisecond
