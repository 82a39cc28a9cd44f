package load

import (
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
)

// Outcome is how one attempt ended for its caller.
type Outcome string

// The outcomes.
const (
	// OutcomeComplete: the caller got its whole answer.
	OutcomeComplete Outcome = "whole"
	// OutcomeRefused: a typed refusal before any answer.
	OutcomeRefused Outcome = "refused"
	// OutcomeDisconnected: the caller disconnected before the end, as the mix
	// demanded.
	OutcomeDisconnected Outcome = "left"
	// OutcomeFailed: an answer began and ended with a typed error.
	OutcomeFailed Outcome = "failed"
	// OutcomeTruncated: an answer began and stopped before its end.
	OutcomeTruncated Outcome = "cut"
	// OutcomeTooLate: the answer was still streaming when the caller gave up, long
	// after the deadline.
	OutcomeTooLate Outcome = "too_late"
	// OutcomeMisrouted: the caller got the answer to another request.
	OutcomeMisrouted Outcome = "crossed"
	// OutcomeDuplicated: more text followed the answer's end.
	OutcomeDuplicated Outcome = "doubled"
	// OutcomeWrong: a finished answer that is neither the expected text nor
	// recognizable as another request's.
	OutcomeWrong Outcome = "wrong"
	// OutcomeNoAnswer: the request was sent, and no answer came.
	OutcomeNoAnswer Outcome = "lost"
	// OutcomeNotSent: the connection to the target failed.
	OutcomeNotSent Outcome = "not_sent"
)

// Outcomes returns all outcomes, for reports that include zeros.
func Outcomes() []Outcome {
	return []Outcome{OutcomeComplete, OutcomeRefused, OutcomeDisconnected, OutcomeFailed, OutcomeTruncated, OutcomeTooLate, OutcomeMisrouted, OutcomeDuplicated, OutcomeWrong, OutcomeNoAnswer, OutcomeNotSent}
}

// Attempt is one sending of a request. Times count from the intended time of the first
// attempt.
type Attempt struct {
	Outcome Outcome
	// RequestID is the server's request ID, if the response carried one.
	RequestID string
	// Status, Reason and NotRun describe a refusal; NotRun is "true", "false" or
	// "unknown".
	Status int
	Reason string
	NotRun string
	// RetryAfter is true if the response had a Retry-After header.
	RetryAfter bool
	// FirstToken is 0 if no token came or the answer was not streamed.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Result is the result of one arrival.
type Result struct {
	Arrival *Arrival
	// SendLag is how late the load tool sent the first attempt.
	SendLag time.Duration
	// Attempts in order; the last one is final for the caller.
	Attempts []Attempt
}

// LastAttempt returns the last attempt.
func (r *Result) LastAttempt() *Attempt { return &r.Attempts[len(r.Attempts)-1] }

// Offered reports whether the request counts as offered. A request whose caller
// disconnected on purpose does not, unless its answer came first.
func (r *Result) Offered() bool { return r.LastAttempt().Outcome != OutcomeDisconnected }

// Miss is the reason why a request does not count as good.
type Miss string

// The misses, in the order of the checks.
const (
	NoMiss         Miss = ""
	MissIncomplete Miss = "not_whole"
	MissFirstToken Miss = "first_token"
	MissPerToken   Miss = "per_token"
	MissDeadline   Miss = "deadline"
)

// Good reports whether the caller got its whole answer within the tier's targets.
func (r *Result) Good(t Targets) bool { return r.Miss(t) == NoMiss }

// Miss returns the first missed target. The first token of an answer that is not
// streamed cannot be observed: the whole answer must arrive by the time that the
// targets allow a streamed one.
func (r *Result) Miss(t Targets) Miss {
	a := r.LastAttempt()
	switch {
	case a.Outcome != OutcomeComplete:
		return MissIncomplete
	case r.Arrival.Stream && !within(a.FirstToken, t.FirstTokenMs):
		return MissFirstToken
	case r.Arrival.Stream && !within(a.PerToken(), t.PerTokenMs):
		return MissPerToken
	case !r.Arrival.Stream && !plainWithinTargets(a, t):
		return MissFirstToken
	case !within(a.Total, t.DeadlineMs):
		return MissDeadline
	default:
		return NoMiss
	}
}

func plainWithinTargets(a *Attempt, t Targets) bool {
	if t.FirstTokenMs == 0 || t.PerTokenMs == 0 {
		return true
	}
	return within(a.Total, t.FirstTokenMs+t.PerTokenMs*max(0, a.Tokens-1))
}

// PerToken returns the mean time between tokens after the first, or 0.
func (a *Attempt) PerToken() time.Duration {
	if a.Tokens < 2 || a.FirstToken == 0 {
		return 0
	}
	return (a.Total - a.FirstToken) / time.Duration(a.Tokens-1)
}

// within reports whether d is at most limit milliseconds; 0 means no limit.
func within(d time.Duration, limit int) bool {
	return limit == 0 || d <= milliseconds(limit)
}

// estimateTokens estimates the tokens of an answer without a usage figure.
func estimateTokens(text string) int { return engine.EstimateTokens(text) }
