package estimate

const (
	// ratioUnit is the ratio of an answer as long as its hint.
	ratioUnit = 1000
	// maxRatio bounds what one answer says of the others' hints: single hints
	// are far off.
	maxRatio = 8 * ratioUnit
	// unknownHigh is the ratio that is reserved for while a mix is unknown.
	unknownHigh = 2 * ratioUnit
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
func (h *Hints) Observe(m Mix, hint, tokens int) {
	h.ratios.Observe(m, min(maxRatio, tokens*ratioUnit/hint))
}

// Expect estimates an answer's length. maxTokens caps it; 0 is no cap. It is
// never Known: what a single answer needs between its tokens to end in time is
// no target, or long ones would wait for fast servers while slow ones idle.
func (h *Hints) Expect(m Mix, hint, maxTokens int) Length {
	l := Length{Mean: hint, High: scaled(hint, unknownHigh)}
	if ratio := h.ratios.Expect(m, unknownHigh); ratio.Known {
		l = Length{Mean: scaled(hint, ratio.Mean), High: scaled(hint, ratio.High)}
	}
	if maxTokens > 0 {
		l.Mean, l.High = min(l.Mean, maxTokens), min(l.High, maxTokens)
	}
	return l
}

// Remaining estimates how many tokens are still to come of an answer that has
// had some.
func (h *Hints) Remaining(m Mix, hint, maxTokens, had int) int {
	rest := scaled(hint, h.ratios.Remaining(m, 0, had*ratioUnit/hint))
	if maxTokens > 0 {
		rest = min(rest, maxTokens-had)
	}
	return max(1, rest)
}

func scaled(hint, ratio int) int { return max(1, hint*ratio/ratioUnit) }
