package forward

import (
	"bufio"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/internal/httpconn"
)

// header is one header field.
type header struct{ name, value string }

// outboundRequest is a caller's request as it is sent to servers. Method, target and body
// are those of the caller, byte for byte.
type outboundRequest struct {
	method  string
	target  string
	headers []header // without those that each send sets anew
	body    body

	wire     *Wire
	deadline time.Time
	// serverID and lastEvent are set for each send. lastEvent is empty if the stream
	// begins at its start.
	serverID  string
	lastEvent string
}

// newOutboundRequest copies the request's head, because the HTTP server reuses its buffers. needsKeys is
// set where routes need keys, although this one may be public. lastEvent is the last event of a
// stream that the caller has.
func (s *Server) newOutboundRequest(ctx *fasthttp.RequestCtx, workspaceName string, needsKeys bool, lastEvent string) *outboundRequest {
	o := &outboundRequest{
		method: string(ctx.Method()), target: string(ctx.Request.Header.RequestURI()),
		wire: &s.wire, headers: make([]header, 0, 12),
	}
	options := httpconn.ConnectionOptions(string(ctx.Request.Header.Peek(fasthttp.HeaderConnection)))
	for k, v := range ctx.Request.Header.All() {
		name := string(k)
		if s.reservedHeaders[name] || httpconn.HopByHop(name, options) {
			continue
		}
		if name == fasthttp.HeaderAuthorization && (workspaceName != "" || needsKeys && holdsKey(v)) {
			continue // the key stays within the entry
		}
		o.headers = append(o.headers, header{name, string(v)})
	}
	if workspaceName != "" {
		o.headers = append(o.headers, header{s.wire.Workspace, workspaceName})
	}
	o.lastEvent = lastEvent
	return o
}

// Write implements httpconn.Request. It writes the time left until the deadline as of now.
func (o *outboundRequest) Write(w *bufio.Writer) error {
	writeStrings(w, o.method, " ", o.target, " HTTP/1.1\r\n")
	for _, h := range o.headers {
		writeStrings(w, h.name, ": ", h.value, "\r\n")
	}
	remaining := max(1, time.Until(o.deadline).Milliseconds())
	writeStrings(w, o.wire.Deadline, ": ", strconv.FormatInt(remaining, 10), "\r\n")
	writeStrings(w, o.wire.ExpectServer, ": ", o.serverID, "\r\n")
	if o.lastEvent != "" {
		writeStrings(w, o.wire.LastEvent, ": ", o.lastEvent, "\r\n")
	}
	if o.body.size > 0 || o.method != fasthttp.MethodGet && o.method != fasthttp.MethodHead {
		writeStrings(w, "Content-Length: ", strconv.Itoa(o.body.size), "\r\n")
	}
	writeStrings(w, "\r\n")
	for _, piece := range o.body.pieces {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// writeStrings ignores errors: a bufio.Writer keeps its first one and returns it again.
func writeStrings(w *bufio.Writer, parts ...string) {
	for _, p := range parts {
		_, _ = w.WriteString(p)
	}
}
