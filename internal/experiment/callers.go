package experiment

import (
	"github.com/lycheekeel/lycheekeel/internal/load"
	"github.com/lycheekeel/lycheekeel/request"
)

// CheckCallers compares what callers got with the engines' run logs: runs
// counts how often each request stands in them.
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
		for j := range results[i].Tries {
			y := &results[i].Tries[j]
			if y.Ending == load.Refused && y.NotRun == "true" && runs[request.ID(y.RequestID)] > 0 {
				add(RuleNotRun, y.RequestID, y.Reason+" with not_run true")
			}
			if !final(y) {
				add(RuleOneAnswer, y.RequestID, "ended as "+string(y.Ending))
			}
			if y.RequestID != "" && answered[y.RequestID] {
				add(RuleOneAnswer, y.RequestID, "two callers got this id")
			}
			answered[y.RequestID] = true
		}
	}
	return out
}

// final tells whether a try ended as it may: a whole answer, a typed refusal
// (within a stream too, where the engine was lost), or by its caller's leaving
// or giving up.
func final(y *load.Try) bool {
	switch y.Ending {
	case load.Whole, load.Refused, load.Failed, load.Left, load.TooLate:
		return true
	default:
		return false
	}
}
