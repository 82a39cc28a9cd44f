package load

import (
	"time"

	"github.com/lycheekeel/lycheekeel/engine"
)

// Ending is how one try of a request ended for its caller.
type Ending string

// The endings.
const (
	// Whole: the caller got its own whole answer.
	Whole Ending = "whole"
	// Refused: a typed refusal and nothing else.
	Refused Ending = "refused"
	// Left: the caller left before the end, as the mix wanted.
	Left Ending = "left"
	// Failed: an answer began and ended with a typed error.
	Failed Ending = "failed"
	// Cut: an answer began and just stopped.
	Cut Ending = "cut"
	// TooLate: the answer was still on its way so long after its deadline
	// that the caller gave up.
	TooLate Ending = "too_late"
	// Crossed: the answer of another request.
	Crossed Ending = "crossed"
	// Doubled: more text came after the answer's end.
	Doubled Ending = "doubled"
	// Wrong: an answer that ended and is neither the expected text nor known
	// to be another's.
	Wrong Ending = "wrong"
	// Lost: sent, and no answer came.
	Lost Ending = "lost"
	// NotSent: no connection to the target.
	NotSent Ending = "not_sent"
)

// Endings returns all endings, for reports that show zeros.
func Endings() []Ending {
	return []Ending{Whole, Refused, Left, Failed, Cut, TooLate, Crossed, Doubled, Wrong, Lost, NotSent}
}

// Try is one sending of a request. Its times count from the moment when the
// request was meant to be sent first.
type Try struct {
	Ending Ending
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
	// Lag is how late the load tool itself sent the first try.
	Lag time.Duration
	// Tries in order; the last one is what the caller was left with.
	Tries []Try
}

// Last returns the last try.
func (r *Result) Last() *Try { return &r.Tries[len(r.Tries)-1] }

// Offered tells whether the request counts as offered: one whose caller meant
// to leave does not, unless its answer was there before.
func (r *Result) Offered() bool { return r.Last().Ending != Left }

// Miss is why a request does not count as good.
type Miss string

// The misses, in the order in which they are looked for.
const (
	NoMiss         Miss = ""
	MissNotWhole   Miss = "not_whole"
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
	y := r.Last()
	switch {
	case y.Ending != Whole:
		return MissNotWhole
	case r.Arrival.Stream && !within(y.FirstToken, t.FirstTokenMs):
		return MissFirstToken
	case r.Arrival.Stream && !within(y.PerToken(), t.PerTokenMs):
		return MissPerToken
	case !r.Arrival.Stream && !plainInTime(y, t):
		return MissFirstToken
	case !within(y.Total, t.DeadlineMs):
		return MissDeadline
	default:
		return NoMiss
	}
}

func plainInTime(y *Try, t Targets) bool {
	if t.FirstTokenMs == 0 || t.PerTokenMs == 0 {
		return true
	}
	return within(y.Total, t.FirstTokenMs+t.PerTokenMs*max(0, y.Tokens-1))
}

// PerToken is the mean time between the tokens after the first, or zero.
func (y *Try) PerToken() time.Duration {
	if y.Tokens < 2 || y.FirstToken == 0 {
		return 0
	}
	return (y.Total - y.FirstToken) / time.Duration(y.Tokens-1)
}

// within tells whether d is at most limit milliseconds; 0 limits nothing.
func within(d time.Duration, limit int) bool {
	return limit == 0 || d <= milliseconds(limit)
}

// estimateTokens counts an answer's tokens where nobody told their number.
func estimateTokens(text string) int { return engine.EstimateTokens(text) }
