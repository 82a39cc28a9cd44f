package entry

import (
	"time"

	"github.com/lycheekeel/lycheekeel/broker"
	"github.com/lycheekeel/lycheekeel/pool"
	"github.com/lycheekeel/lycheekeel/request"
)

// measurements are the timings and token counts of one dispatched request.
type measurements struct {
	sent            time.Time // when the request was sent
	first           time.Time // when the first token arrived; zero: not yet
	tokens          int
	promptTokens    int
	prefillComputed int
}

// firstToken returns the time from dispatch to the first token, or zero without one.
func (m *measurements) firstToken() time.Duration {
	if m.first.IsZero() {
		return 0
	}
	return m.first.Sub(m.sent)
}

// perToken returns the mean time between tokens up to now.
func (m *measurements) perToken(now time.Time) time.Duration {
	if m.first.IsZero() || m.tokens < 2 {
		return 0
	}
	return now.Sub(m.first) / time.Duration(m.tokens-1)
}

// metTargets reports whether the answer met all targets of its tier.
func (m *measurements) metTargets(s *request.Spec, now time.Time) bool {
	t := s.Targets
	switch {
	case t.Deadline > 0 && now.Sub(s.Received) > t.Deadline:
		return false
	case t.FirstToken > 0 && m.first.Sub(s.Received) > t.FirstToken:
		return false
	case t.PerToken > 0 && m.perToken(now) > t.PerToken:
		return false
	}
	return true
}

// completion returns the measurements in the broker's form.
func (m *measurements) completion(o pool.Outcome, now time.Time) broker.Completion {
	return broker.Completion{
		Outcome:         o,
		FirstToken:      m.firstToken(),
		Total:           now.Sub(m.sent),
		OutputTokens:    m.tokens,
		PromptTokens:    m.promptTokens,
		PrefillComputed: m.prefillComputed,
	}
}
