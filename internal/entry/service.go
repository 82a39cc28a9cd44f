package entry

import (
	"context"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/engine"
	"github.com/lycheekeel/lycheekeel/internal/callerwatch"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/service"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// droppedHeaders are not forwarded: headers of a single connection, those that are set
// anew, and the caller's key, which must not reach the service.
var droppedHeaders = map[string]bool{
	fasthttp.HeaderConnection:         true,
	fasthttp.HeaderKeepAlive:          true,
	fasthttp.HeaderProxyAuthenticate:  true,
	fasthttp.HeaderProxyAuthorization: true,
	fasthttp.HeaderProxyConnection:    true,
	fasthttp.HeaderTE:                 true,
	fasthttp.HeaderTrailer:            true,
	fasthttp.HeaderTransferEncoding:   true,
	fasthttp.HeaderUpgrade:            true,
	fasthttp.HeaderContentLength:      true,
	fasthttp.HeaderExpect:             true,
	fasthttp.HeaderHost:               true,
	fasthttp.HeaderAuthorization:      true,
	fasthttp.HeaderDate:               true,
	headerRequestID:                   true,
}

// servicePath is a call's request target, relative to /services/.
type servicePath struct {
	service string
	path    string // decoded, matched against the template's rules
	target  string // path and query as sent
}

// parseServicePath splits and validates the target. Ambiguous paths are refused: the rule
// that decides whether a call may be repeated must see the same path as the service.
func parseServicePath(target string) (servicePath, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return servicePath{}, badRequest("malformed path")
	}
	escaped := u.EscapedPath()
	lower := strings.ToLower(escaped)
	ambiguous := strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%00") ||
		strings.Contains(u.Path, `\`) || strings.Contains(u.Path, "//")
	for _, segment := range strings.Split(u.Path, "/") {
		ambiguous = ambiguous || segment == "." || segment == ".."
	}
	if ambiguous {
		return servicePath{}, badRequest("the path has an empty, relative or encoded segment")
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(u.Path, pathServices), "/")
	_, rest, _ := strings.Cut(strings.TrimPrefix(escaped, pathServices), "/")
	out := servicePath{service: name, path: "/" + path, target: "/" + rest}
	if u.RawQuery != "" {
		out.target += "?" + u.RawQuery
	}
	return out, nil
}

// callService handles a call to a plain service.
func (x *exchange) callService(ctx *fasthttp.RequestCtx) error {
	path, err := parseServicePath(string(ctx.Request.Header.RequestURI()))
	if err != nil {
		return err
	}
	s, ok := x.workspace.Services[path.service]
	if !ok {
		return request.Refuse(request.ReasonUnknownService, "no service %q in this workspace", path.service)
	}
	method := string(ctx.Method())
	body, err := x.readBody(ctx)
	if err != nil {
		return err
	}
	if err := x.classifyServiceCall(s, method, path, body); err != nil {
		return err
	}
	x.watchCaller(ctx)
	call := service.Call{
		RequestID: string(x.id),
		Method:    method,
		Path:      path.target,
		Header:    x.forwardedHeader(ctx),
		Body:      body,
		ReadBody:  x.readReply,
	}
	reply, err := x.dispatchCall(call)
	if err != nil {
		return err
	}
	x.writeReply(ctx, reply)
	return nil
}

// classifyServiceCall makes the spec of a call. The template's first matching rule decides
// whether it is idempotent; without one, only GET and HEAD are.
func (x *exchange) classifyServiceCall(s *workspace.ResolvedService, method string, path servicePath, body []byte) error {
	idempotent := method == fasthttp.MethodGet || method == fasthttp.MethodHead
	tier := s.Tier
	for i := range s.Rules {
		r := &s.Rules[i]
		if !ruleMatches(r, method, path.path) {
			continue
		}
		idempotent = r.Idempotent
		if r.Tier != nil {
			tier = r.Tier
		}
		break
	}
	if tier == nil {
		tier = x.workspace.DefaultTier
	}
	if err := x.classify(tier, idempotent); err != nil {
		return err
	}
	x.spec.Service = s.Name
	x.spec.Fingerprint = request.Fingerprint(x.spec.Workspace, s.Name, []byte(method+" "+path.target+"\n"+string(body)))
	if !idempotent {
		x.contentHash = claimHash([]byte(s.Name), []byte(method), []byte(path.target), body)
	}
	p, ok := x.snapshot.Pools[s.Pool]
	if !ok || p.Region != x.entry.deps.Region || len(p.Servers) == 0 {
		return request.Refuse(request.ReasonNoServer, "no pool serves service %q here", s.Name)
	}
	x.demand.Candidates = []*workspace.ResolvedPool{p}
	return nil
}

// dispatchCall dispatches the call. An incomplete reply is not requested again: services
// cannot resume.
func (x *exchange) dispatchCall(c service.Call) (service.Reply, error) {
	var reply service.Reply
	var m measurements
	grant, err := x.dispatch(func(s workspace.BackendServer, beforeSend func() error) error {
		c.BeforeSend = func() error {
			m.sent = time.Now()
			return beforeSend()
		}
		var err error
		reply, err = x.entry.deps.Services.Service(s.Address).Do(x.ctx, c)
		return err
	})
	if grant == nil {
		x.settleClaim(request.NotRunTrue, nil)
		return reply, err
	}
	now := time.Now()
	if err != nil {
		r, outcome := x.serviceCallRefusal(err)
		grant.Release(m.completion(outcome, now))
		x.settleClaim(r.NotRun, nil)
		return reply, r
	}
	m.first = now
	x.entry.counters.countAnswer(x.spec, m, now)
	grant.Release(m.completion(pool.OutcomeDone, now))
	x.settleClaim(request.NotRunFalse, storedAnswer(reply.Body, replyType(reply), reply.Status))
	return reply, nil
}

// serviceCallRefusal returns the refusal and outcome of a dispatched call without a reply.
func (x *exchange) serviceCallRefusal(err error) (*request.Refusal, pool.Outcome) {
	switch {
	case errors.Is(err, engine.ErrRefusedNotRun):
		return request.Refuse(request.ReasonEngineRefused, "the service refused the call and did not run it"), pool.OutcomeRefused
	case errors.Is(err, engine.ErrNotSent):
		return request.Refuse(request.ReasonEngineUnreachable, "the connection to the service was lost before anything was sent"),
			pool.OutcomeNotSent
	case errors.Is(context.Cause(x.ctx), callerwatch.ErrDisconnected):
		return &request.Refusal{Reason: request.ReasonCallerGone, NotRun: request.RanUnknown, Message: "the caller left"},
			pool.OutcomeCanceled
	default:
		return &request.Refusal{Reason: request.ReasonAnswerIncomplete, NotRun: request.RanUnknown,
			Message: "the service's reply did not come whole; the call may have run"}, pool.OutcomeStreamLost
	}
}

// forwardedHeader returns the headers that are forwarded to the service.
func (x *exchange) forwardedHeader(ctx *fasthttp.RequestCtx) [][2]string {
	var out [][2]string
	for k, v := range ctx.Request.Header.All() {
		name := string(k)
		if droppedHeaders[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		out = append(out, [2]string{name, string(v)})
	}
	return append(out, [2]string{headerWorkspace, x.spec.Workspace})
}

// writeReply writes the service's reply as the response.
func (x *exchange) writeReply(ctx *fasthttp.RequestCtx, r service.Reply) {
	for _, h := range r.Header {
		if !droppedHeaders[h[0]] {
			ctx.Response.Header.Add(h[0], h[1])
		}
	}
	ctx.Response.SetStatusCode(r.Status)
	x.entry.finishHeader(ctx, x.id)
	ctx.Response.SetBodyRaw(r.Body)
}

func replyType(r service.Reply) string {
	for _, h := range r.Header {
		if h[0] == fasthttp.HeaderContentType {
			return h[1]
		}
	}
	return ""
}
