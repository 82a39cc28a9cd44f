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

// answer passes a server's answer on. It returns false without an error where
// the request is to be sent again.
func (x *exchange) answer(r *reply, g *run) (bool, error) {
	status := r.header.StatusCode()
	if status/100 == 2 && len(r.header.Peek(x.server.wire.Signature)) == 0 {
		r.ended = false
		r.finish()
		return false, x.failed(x.lostRun(g, errors.Wrap(errMalformed, "no signature")))
	}
	if x.route.Kind == route.Stream && status == fasthttp.StatusOK {
		return x.startStream(r, g)
	}
	body, err := r.all()
	r.finish()
	if err != nil {
		return false, x.failed(x.lostRun(g, err))
	}
	if status >= fasthttp.StatusInternalServerError {
		g.release(outcomeOf(status))
		if x.worthAnother(status) {
			x.server.count.retryFailed.Add(1)
			x.noteSent(g)
			x.failure = &failure{body: body}
			r.header.CopyTo(&x.failure.header)
			return false, nil
		}
	} else {
		g.release(pool.OutcomeDone)
	}
	x.pass(&r.header, body)
	return true, nil
}

// outcomeOf returns how a run ended that failed with a status.
//
// What goes wrong where a gateway timeout counts as the server's failure: a server that is
// slow under load answers several in a row, and is taken out of use although it works.
func outcomeOf(status int) pool.Outcome {
	if status == fasthttp.StatusGatewayTimeout {
		return pool.OutcomeCanceled // the request's own time was over
	}
	return pool.OutcomeFailed
}

// pass answers with a server's whole answer.
func (x *exchange) pass(head *fasthttp.ResponseHeader, body []byte) {
	x.copyHead(head)
	x.http.Response.SetBodyRaw(body)
	x.trail.first = time.Since(x.received)
	x.logAnswer(nil)
}

// failure is a server's whole answer that tells a failure. It is the caller's
// answer where no other server gives a better one.
type failure struct {
	header fasthttp.ResponseHeader
	body   []byte
}

// passFailure answers with the failure of an earlier server, if there was one.
func (x *exchange) passFailure() bool {
	if x.failure == nil || x.gone() {
		return false
	}
	x.pass(&x.failure.header, x.failure.body)
	return true
}

// worthAnother decides whether a failed run is repeated at another server.
func (x *exchange) worthAnother(status int) bool {
	return status != fasthttp.StatusGatewayTimeout && x.attempts.CanSend() && x.ctx.Err() == nil &&
		x.server.deps.Budget(x.service).Take()
}

// copyHead passes the answer's status and headers on.
func (x *exchange) copyHead(head *fasthttp.ResponseHeader) {
	x.status = head.StatusCode()
	named := httpconn.ConnectionNames(string(head.Peek(fasthttp.HeaderConnection)))
	x.http.Response.Header.SetStatusCode(x.status)
	for k, v := range head.All() {
		if !httpconn.HopByHop(string(k), named) {
			x.http.Response.Header.AddBytesKV(k, v)
		}
	}
}

// startStream waits for the first event, while the request may still be sent
// elsewhere, and then hands the stream to the HTTP server.
func (x *exchange) startStream(r *reply, g *run) (bool, error) {
	s := &stream{x: x, run: g, events: events{from: r}}
	if last, ok := parseID(x.out.lastEvent); ok {
		s.events.last, s.events.known = last, true
	}
	whole, n, err := s.events.next()
	switch {
	case err == io.EOF:
		// A stream without events is a whole answer.
	case err != nil:
		s.drop()
		return false, x.failed(x.lostRun(g, err))
	}
	s.pending = whole
	s.took(n)
	s.eof = err == io.EOF
	x.stream = s
	x.copyHead(&r.header)
	x.http.Response.SetBodyStream(s, -1)
	return true, nil
}

// progressEvery is the least time between two reports of a stream's progress;
// it doubles with each report.
const progressEvery = 500 * time.Millisecond
