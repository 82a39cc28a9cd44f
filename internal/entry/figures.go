package entry

import (
	"time"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// figures are the measurements of one dispatched request.
type figures struct {
	sent            time.Time // its bytes left
	first           time.Time // its first token came; zero: none yet
	tokens          int
	promptTokens    int
	prefillComputed int
}

// firstToken returns the time from dispatch to first token, zero before it.
func (f *figures) firstToken() time.Duration {
	if f.first.IsZero() {
		return 0
	}
	return f.first.Sub(f.sent)
}

// perToken returns the mean time between the tokens until now.
func (f *figures) perToken(now time.Time) time.Duration {
	if f.first.IsZero() || f.tokens < 2 {
		return 0
	}
	return now.Sub(f.first) / time.Duration(f.tokens-1)
}

// met tells whether the answer was in time for every target of its tier.
func (f *figures) met(s *request.Spec, now time.Time) bool {
	t := s.Targets
	switch {
	case t.Deadline > 0 && now.Sub(s.Received) > t.Deadline:
		return false
	case t.FirstToken > 0 && f.first.Sub(s.Received) > t.FirstToken:
		return false
	case t.PerToken > 0 && f.perToken(now) > t.PerToken:
		return false
	}
	return true
}

// end returns the figures as the broker wants them.
func (f *figures) end(o pool.Outcome, now time.Time) broker.Completion {
	return broker.Completion{
		Outcome:         o,
		FirstToken:      f.firstToken(),
		Total:           now.Sub(f.sent),
		OutputTokens:    f.tokens,
		PromptTokens:    f.promptTokens,
		PrefillComputed: f.prefillComputed,
	}
}
