package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Headers that callers send and get.
const (
	headerTier           = "X-Lycheekeel-Tier"
	headerDeadline       = "X-Lycheekeel-Deadline-Ms"
	headerWorkspace      = "X-Lycheekeel-Workspace"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	// headerReplayed marks a stored answer that is given again.
	headerReplayed = "Idempotent-Replayed"

	// headerPrefix marks the headers that are this system's own.
	headerPrefix = "X-Lycheekeel-"
)

// maxIdempotencyKey bounds an Idempotency-Key in bytes.
const maxIdempotencyKey = 255

// maxDeadline is the longest deadline that makes sense; a longer one is taken
// for a mistake in the unit.
const maxDeadline = 24 * time.Hour

// callerHeader is what the entry takes from a request's header, copied.
type callerHeader struct {
	bearer         string
	tier           string
	deadline       string
	idempotencyKey string
}

// readHeader copies what the entry needs. The HTTP server reuses its buffers:
// a string that shared them would change under the request.
func readHeader(ctx *fasthttp.RequestCtx) callerHeader {
	h := &ctx.Request.Header
	return callerHeader{
		bearer:         bearerKey(string(h.Peek(fasthttp.HeaderAuthorization))),
		tier:           string(h.Peek(headerTier)),
		deadline:       string(h.Peek(headerDeadline)),
		idempotencyKey: string(h.Peek(headerIdempotencyKey)),
	}
}

// bearerKey returns the key in an Authorization header, or "".
func bearerKey(authorization string) string {
	const scheme = "bearer "
	if len(authorization) <= len(scheme) || !strings.EqualFold(authorization[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(authorization[len(scheme):])
}

// pickTier returns the tier that the caller asks for, else the given default.
func (h callerHeader) pickTier(w *workspace.ResolvedWorkspace, def *workspace.ResolvedTier) (*workspace.ResolvedTier, error) {
	if h.tier == "" {
		return def, nil
	}
	if !w.AllowTierHeader {
		return nil, request.Refuse(request.ReasonTierNotAllowed, "this workspace's template takes no %s header", headerTier)
	}
	t, ok := w.TierByName[h.tier]
	if !ok {
		return nil, request.Refuse(request.ReasonTierNotAllowed, "no tier %q in this workspace", h.tier)
	}
	return t, nil
}

// targets returns the tier's targets with the caller's deadline, which can
// only shorten the tier's.
func (h callerHeader) targets(w *workspace.ResolvedWorkspace, t *workspace.ResolvedTier) (request.Targets, error) {
	out := t.Targets
	if h.deadline == "" {
		return out, nil
	}
	if !w.AllowDeadlineHeader {
		return out, request.Refuse(request.ReasonDeadlineInvalid, "this workspace's template takes no %s header", headerDeadline)
	}
	ms, err := strconv.ParseInt(h.deadline, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return out, request.Refuse(request.ReasonDeadlineInvalid, "%s must be a whole number of milliseconds from 1 to %d",
			headerDeadline, maxDeadline.Milliseconds())
	}
	d := time.Duration(ms) * time.Millisecond
	if out.Deadline <= 0 || d < out.Deadline {
		out.Deadline = d
	}
	return out, nil
}

// checkIdempotencyKey checks the caller's idempotency key for a request that needs one.
func (h callerHeader) checkIdempotencyKey(idempotent bool) error {
	if len(h.idempotencyKey) > maxIdempotencyKey {
		return request.Refuse(request.ReasonBadRequest, "%s is over %d bytes", headerIdempotencyKey, maxIdempotencyKey)
	}
	if !idempotent && h.idempotencyKey == "" {
		return request.Refuse(request.ReasonClaimKeyMissing,
			"this call may not be repeated: send a unique %s header, and the same one with a resend", headerIdempotencyKey)
	}
	return nil
}
