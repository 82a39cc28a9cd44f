package experiment

import (
	"github.com/lycheekeel/lycheekeel/internal/load"
	"github.com/lycheekeel/lycheekeel/request"
)

// CheckCallers checks what callers got against the engines' run logs. runs counts the
// log entries of each request.
func CheckCallers(results []load.Result, runs map[request.ID]int) []Violation {
	var out []Violation
	add := func(rule Rule, id, detail string) {
		out = append(out, Violation{Rule: rule, Request: id, Detail: detail})
	}
	for id, n := range runs {
		if n > 1 {
			add(RuleRunOnce, string(id), "stands in the run logs more than once")
		}
	}
	answered := map[string]bool{}
	for i := range results {
		for j := range results[i].Attempts {
			attempt := &results[i].Attempts[j]
			if attempt.Outcome == load.OutcomeRefused && attempt.NotRun == "true" && runs[request.ID(attempt.RequestID)] > 0 {
				add(RuleNotRun, attempt.RequestID, attempt.Reason+" with not_run true")
			}
			if !isFinal(attempt) {
				add(RuleOneAnswer, attempt.RequestID, "ended as "+string(attempt.Outcome))
			}
			if attempt.RequestID != "" && answered[attempt.RequestID] {
				add(RuleOneAnswer, attempt.RequestID, "two callers got this id")
			}
			answered[attempt.RequestID] = true
		}
	}
	return out
}

// isFinal reports whether an attempt ended as allowed: with a complete answer, with a
// typed refusal (also within a stream, if the engine was lost), or because its caller
// disconnected or gave up.
func isFinal(attempt *load.Attempt) bool {
	switch attempt.Outcome {
	case load.OutcomeComplete, load.OutcomeRefused, load.OutcomeFailed, load.OutcomeDisconnected, load.OutcomeTooLate:
		return true
	default:
		return false
	}
}
