package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lycheekeel/lycheekeel/request"
	"github.com/lycheekeel/lycheekeel/workspace"
)

// Request and response headers.
const (
	headerTier           = "X-Lycheekeel-Tier"
	headerDeadline       = "X-Lycheekeel-Deadline-Ms"
	headerWorkspace      = "X-Lycheekeel-Workspace"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	// headerReplayed marks a response that repeats a stored answer.
	headerReplayed = "Idempotent-Replayed"

	// headerPrefix is the common prefix of lycheekeel's own headers.
	headerPrefix = "X-Lycheekeel-"
)

// maxIdempotencyKey is the maximum length of an Idempotency-Key, in bytes.
const maxIdempotencyKey = 255

// maxDeadline is the longest deadline that is accepted; a longer one is probably given
// in the wrong unit.
const maxDeadline = 24 * time.Hour

// callerHeader holds copies of the header fields that the entry uses.
type callerHeader struct {
	bearer         string
	tier           string
	deadline       string
	idempotencyKey string
}

// readHeader copies the fields, because the HTTP server reuses its buffers for later
// requests.
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

// pickTier returns the tier requested by the caller, else the given default.
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

// targets returns the tier's targets. The caller's deadline applies if it is shorter
// than the tier's.
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

// checkIdempotencyKey validates the key, which non-idempotent requests must have.
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
