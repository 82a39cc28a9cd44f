package load

import (
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
)

// Outcome is how one try of a request ended for its caller.
type Outcome string

// The endings.
const (
	// OutcomeComplete: the caller got its own whole answer.
	OutcomeComplete Outcome = "whole"
	// OutcomeRefused: a typed refusal and nothing else.
	OutcomeRefused Outcome = "refused"
	// OutcomeDisconnected: the caller left before the end, as the mix wanted.
	OutcomeDisconnected Outcome = "left"
	// OutcomeFailed: an answer began and ended with a typed error.
	OutcomeFailed Outcome = "failed"
	// OutcomeTruncated: an answer began and just stopped.
	OutcomeTruncated Outcome = "cut"
	// OutcomeTooLate: the answer was still on its way so long after its deadline
	// that the caller gave up.
	OutcomeTooLate Outcome = "too_late"
	// OutcomeMisrouted: the answer of another request.
	OutcomeMisrouted Outcome = "crossed"
	// OutcomeDuplicated: more text came after the answer's end.
	OutcomeDuplicated Outcome = "doubled"
	// OutcomeWrong: an answer that ended and is neither the expected text nor known
	// to be another's.
	OutcomeWrong Outcome = "wrong"
	// OutcomeNoAnswer: sent, and no answer came.
	OutcomeNoAnswer Outcome = "lost"
	// OutcomeNotSent: no connection to the target.
	OutcomeNotSent Outcome = "not_sent"
)

// Outcomes returns all endings, for reports that show zeros.
func Outcomes() []Outcome {
	return []Outcome{OutcomeComplete, OutcomeRefused, OutcomeDisconnected, OutcomeFailed, OutcomeTruncated, OutcomeTooLate, OutcomeMisrouted, OutcomeDuplicated, OutcomeWrong, OutcomeNoAnswer, OutcomeNotSent}
}

// Attempt is one sending of a request. Its times count from the moment when the
// request was meant to be sent first.
type Attempt struct {
	Outcome Outcome
	// RequestID is the system's id for it, where the answer told it.
	RequestID string
	// Status, Reason and NotRun are a refusal's; NotRun is "true", "false" or
	// "unknown".
	Status int
	Reason string
	NotRun string
	// RetryAfter tells whether a refusal said when to come back.
	RetryAfter bool
	// FirstToken is zero where none came, or the answer was not streamed.
	FirstToken time.Duration
	Total      time.Duration
	Tokens     int
}

// Result is what became of one arrival.
type Result struct {
	Arrival *Arrival
	// SendLag is how late the load tool itself sent the first try.
	SendLag time.Duration
	// Attempts in order; the last one is what the caller was left with.
	Attempts []Attempt
}

// LastAttempt returns the last try.
func (r *Result) LastAttempt() *Attempt { return &r.Attempts[len(r.Attempts)-1] }

// Offered tells whether the request counts as offered: one whose caller meant
// to leave does not, unless its answer was there before.
func (r *Result) Offered() bool { return r.LastAttempt().Outcome != OutcomeDisconnected }

// Miss is why a request does not count as good.
type Miss string

// The misses, in the order in which they are looked for.
const (
	NoMiss         Miss = ""
	MissIncomplete Miss = "not_whole"
	MissFirstToken Miss = "first_token"
	MissPerToken   Miss = "per_token"
	MissDeadline   Miss = "deadline"
)

// Good tells whether the caller got its whole answer within the tier's
// targets.
func (r *Result) Good(t Targets) bool { return r.Miss(t) == NoMiss }

// Miss returns the first target that was missed. The first token of an answer
// that is not streamed can't be seen: it must be whole by the time at which a
// streamed one would have to be.
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

// PerToken is the mean time between the tokens after the first, or zero.
func (a *Attempt) PerToken() time.Duration {
	if a.Tokens < 2 || a.FirstToken == 0 {
		return 0
	}
	return (a.Total - a.FirstToken) / time.Duration(a.Tokens-1)
}

// within tells whether d is at most limit milliseconds; 0 limits nothing.
func within(d time.Duration, limit int) bool {
	return limit == 0 || d <= milliseconds(limit)
}

// estimateTokens counts an answer's tokens where nobody told their number.
func estimateTokens(text string) int { return engine.EstimateTokens(text) }
