package request

import (
	"fmt"
	"net/http"
	"time"
)

// NotRun says what is known about whether a refused request ran. A refusal never claims
// more than is known.
type NotRun uint8

// The values of NotRun.
const (
	// RanUnknown: bytes may have been sent, and there is no proof either way.
	RanUnknown NotRun = iota
	// NotRunTrue: the request did not run on any server.
	NotRunTrue
	// NotRunFalse: the request ran, at least in part.
	NotRunFalse
)

// JSON returns the value of the refusal's not_run member: true, false or "unknown".
func (n NotRun) JSON() any {
	switch n {
	case NotRunTrue:
		return true
	case NotRunFalse:
		return false
	default:
		return "unknown"
	}
}

// Reason is the machine-readable code of a refusal, and the name of its counter.
type Reason string

// The refusal reasons.
const (
	ReasonBadRequest   Reason = "bad_request"
	ReasonBodyTooLarge Reason = "body_too_large"
	ReasonReadTimeout  Reason = "read_timeout"
	// ReasonTooManyConnections refuses a connection before anything is read from it.
	ReasonTooManyConnections Reason = "too_many_connections"
	ReasonUnknownPath        Reason = "unknown_path"
	ReasonUnauthorized       Reason = "unauthorized"
	ReasonUnknownModel       Reason = "unknown_model"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonTierNotAllowed     Reason = "tier_not_allowed"
	ReasonDeadlineInvalid    Reason = "deadline_invalid"
	ReasonNoConfiguration    Reason = "no_configuration"
	ReasonShed               Reason = "shed"
	ReasonWorkspaceLimit     Reason = "workspace_limit"
	ReasonEntryMemory        Reason = "entry_memory"
	ReasonExpired            Reason = "expired"
	ReasonNoServer           Reason = "no_server"
	ReasonNoOwner            Reason = "no_owner"
	// ReasonVersionUnavailable refuses the rest of a stream because no server of the version
	// that began it may be used. Its caller may begin anew.
	ReasonVersionUnavailable Reason = "version_unavailable"
	// ReasonVersionUnknown refuses the rest of a stream because nobody knows which version
	// began it, and several may have.
	ReasonVersionUnknown    Reason = "version_unknown"
	ReasonSuspectBusy       Reason = "suspect_busy"
	ReasonSuspectConfirmed  Reason = "convicted"
	ReasonClaimConflict     Reason = "claim_conflict"
	ReasonClaimInProgress   Reason = "claim_in_progress"
	ReasonClaimRan          Reason = "claim_ran"
	ReasonClaimUnknown      Reason = "claim_unknown"
	ReasonClaimKeyMissing   Reason = "claim_key_missing"
	ReasonStoreUnavailable  Reason = "store_unavailable"
	ReasonEngineRefused     Reason = "engine_refused"
	ReasonEngineUnreachable Reason = "engine_unreachable"
	ReasonEngineLost        Reason = "engine_lost"
	ReasonEngineFailed      Reason = "engine_failed"
	ReasonAnswerIncomplete  Reason = "answer_incomplete"
	ReasonCallerGone        Reason = "caller_gone"
	ReasonShuttingDown      Reason = "shutting_down"
	ReasonInternal          Reason = "internal"
)

// reasonStatus maps each reason to its HTTP status.
var reasonStatus = map[Reason]int{
	ReasonBadRequest:         http.StatusBadRequest,
	ReasonBodyTooLarge:       http.StatusRequestEntityTooLarge,
	ReasonReadTimeout:        http.StatusRequestTimeout,
	ReasonTooManyConnections: http.StatusServiceUnavailable,
	ReasonUnknownPath:        http.StatusNotFound,
	ReasonUnauthorized:       http.StatusUnauthorized,
	ReasonUnknownModel:       http.StatusNotFound,
	ReasonUnknownService:     http.StatusNotFound,
	ReasonTierNotAllowed:     http.StatusForbidden,
	ReasonDeadlineInvalid:    http.StatusBadRequest,
	ReasonNoConfiguration:    http.StatusServiceUnavailable,
	ReasonShed:               http.StatusTooManyRequests,
	ReasonWorkspaceLimit:     http.StatusTooManyRequests,
	ReasonEntryMemory:        http.StatusServiceUnavailable,
	ReasonExpired:            http.StatusGatewayTimeout,
	ReasonNoServer:           http.StatusServiceUnavailable,
	ReasonNoOwner:            http.StatusServiceUnavailable,
	ReasonVersionUnavailable: http.StatusServiceUnavailable,
	ReasonVersionUnknown:     http.StatusServiceUnavailable,
	ReasonSuspectBusy:        http.StatusTooManyRequests,
	ReasonSuspectConfirmed:   http.StatusUnprocessableEntity,
	ReasonClaimConflict:      http.StatusConflict,
	ReasonClaimInProgress:    http.StatusConflict,
	ReasonClaimRan:           http.StatusConflict,
	ReasonClaimUnknown:       http.StatusConflict,
	ReasonClaimKeyMissing:    http.StatusBadRequest,
	ReasonStoreUnavailable:   http.StatusServiceUnavailable,
	ReasonEngineRefused:      http.StatusBadGateway,
	ReasonEngineUnreachable:  http.StatusBadGateway,
	ReasonEngineLost:         http.StatusBadGateway,
	ReasonEngineFailed:       http.StatusBadGateway,
	ReasonAnswerIncomplete:   http.StatusBadGateway,
	ReasonCallerGone:         499,
	ReasonShuttingDown:       http.StatusServiceUnavailable,
	ReasonInternal:           http.StatusInternalServerError,
}

// Reasons returns all refusal reasons in no particular order, for counters and tests.
func Reasons() []Reason {
	out := make([]Reason, 0, len(reasonStatus))
	for r := range reasonStatus {
		out = append(out, r)
	}
	return out
}

// Status returns the reason's HTTP status.
func (r Reason) Status() int {
	if s, ok := reasonStatus[r]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Refusal is the error that ends a request without a complete answer.
type Refusal struct {
	Reason  Reason
	NotRun  NotRun
	Message string
	// RetryAfter is the delay after which a retry may succeed; zero: a retry does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Reason, r.Message)
}

// Refuse returns a refusal of a request that is known not to have run.
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Reason: reason, NotRun: NotRunTrue, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the retry delay and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}
