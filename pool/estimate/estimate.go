// Package estimate tells how long answers will be, from the recent ones of
// the same mix: workspace, template and model. Lengths within a mix differ
// much less than the hundredfold between mixes, so a quantile of a mix's last
// answers serves better than any average over all.
//
// An Estimator is used by one goroutine at a time.
package estimate

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxMixes bounds the mixes remembered; the least recently used go first.
	maxMixes = 2048
	// window is how many recent answers of a mix are kept.
	window = 64
	// trusted is how many answers make a mix known. Below it, the safe
	// assumption (the cap) fills up the missing ones.
	trusted = 8
	// highQuantile is what memory is reserved for.
	highQuantile = 0.9
	// safeTokens is assumed of a mix that is unknown and has no cap.
	safeTokens = 1024
)

// Mix identifies requests whose answers are alike in length.
type Mix struct{ Workspace, Template, Model string }

// Length is an estimate of an answer's length, in tokens.
type Length struct {
	// Mean is for costs, High is exceeded by one in ten.
	Mean, High int
	// Known is false where they are safe assumptions rather than measured.
	Known bool
}

// Estimator keeps the recent lengths of each mix.
type Estimator struct {
	mixes *simplelru.LRU[Mix, *history]
}

// New returns an empty estimator.
func New() *Estimator {
	mixes, err := simplelru.NewLRU[Mix, *history](maxMixes, nil)
	if err != nil {
		panic(err) // only a size below one is an error
	}
	return &Estimator{mixes: mixes}
}

// Observe records the length of a whole answer.
func (e *Estimator) Observe(m Mix, tokens int) {
	e.history(m).add(tokens)
	e.history(m.general()).add(tokens)
}

// Expect estimates an answer's length. maxTokens caps it; 0 is no cap.
func (e *Estimator) Expect(m Mix, maxTokens int) Length {
	limit := maxTokens
	if limit <= 0 {
		limit = safeTokens
	}
	h, ok := e.mixes.Get(m)
	if !ok || len(h.sorted) < trusted {
		if general, found := e.mixes.Get(m.general()); found && len(general.sorted) >= trusted {
			h, ok = general, true
		}
	}
	if !ok {
		return Length{Mean: limit, High: limit}
	}
	l := h.expect(limit)
	if maxTokens > 0 {
		l.Mean, l.High = min(l.Mean, maxTokens), min(l.High, maxTokens)
	}
	return l
}

// Remaining estimates how many tokens are still to come of an answer that has
// had some: the mean of those recent answers that were longer.
func (e *Estimator) Remaining(m Mix, maxTokens, had int) int {
	limit := maxTokens
	if limit <= 0 {
		limit = had + safeTokens
	}
	rest := max(1, limit-had)
	h, ok := e.mixes.Peek(m)
	if !ok || len(h.sorted) < trusted {
		return rest
	}
	i, _ := slices.BinarySearch(h.sorted, had+1)
	longer := h.sorted[i:]
	if len(longer) == 0 {
		return max(1, rest/2)
	}
	sum := 0
	for _, n := range longer {
		sum += n
	}
	return max(1, min(rest, sum/len(longer)-had))
}

// general is the mix that stands in for an unknown one.
func (m Mix) general() Mix { return Mix{Template: m.Template, Model: m.Model} }

func (e *Estimator) history(m Mix) *history {
	if h, ok := e.mixes.Get(m); ok {
		return h
	}
	h := &history{}
	e.mixes.Add(m, h)
	return h
}

// history is the last lengths of a mix, in order of arrival and of size.
type history struct {
	ring   [window]int
	next   int
	sorted []int
	sum    int
}

func (h *history) add(tokens int) {
	if len(h.sorted) == window {
		oldest := h.ring[h.next]
		i, _ := slices.BinarySearch(h.sorted, oldest)
		h.sorted = slices.Delete(h.sorted, i, i+1)
		h.sum -= oldest
	}
	h.ring[h.next] = tokens
	h.next = (h.next + 1) % window
	i, _ := slices.BinarySearch(h.sorted, tokens)
	h.sorted = slices.Insert(h.sorted, i, tokens)
	h.sum += tokens
}

func (h *history) expect(limit int) Length {
	n := len(h.sorted)
	missing := max(0, trusted-n)
	mean := (h.sum + missing*limit) / max(1, n+missing)
	high := limit
	if missing == 0 {
		high = h.sorted[int(highQuantile*float64(n-1))]
	}
	return Length{Mean: max(1, mean), High: max(1, high), Known: missing == 0}
}
